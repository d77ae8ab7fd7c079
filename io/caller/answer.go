package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/chat"
	"savoryfall/core/decision"
	"savoryfall/core/header"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/core/spills"
	"savoryfall/io/endpoint"
)

const (
	completionsPath = "/v1/chat/completions"
	maxEvent        = 1 << 20
	maxWholeAnswer  = 64 << 20
	doneMark        = "[DONE]"
	// bytesPerToken turns text into tokens where only proportions matter.
	bytesPerToken = 4
	// expectEvery is how many tokens pass between two corrections of the expected remainder.
	expectEvery = 16
)

// errSilent cuts an attempt whose endpoint says nothing for too long.
var errSilent = errors.New("the endpoint was silent for too long")

// answer brings one whole completion to its caller, over several engines where it must.
type answer struct {
	x       *exchange
	chat    *chat.Chat
	pool    string
	class   string
	key     uint64
	exclude []string
	text    strings.Builder
	id      string
	started bool
	made    int
	worth   float64
}

func newAnswer(x *exchange, c *chat.Chat, pool string) *answer {
	a := &answer{x: x, chat: c, pool: pool, class: x.account.Name() + "/" + c.Model()}
	a.key = c.Key(x.account.Name(), x.r.Header.Get(header.Chat))
	if c.Returning() {
		a.worth = x.front.Worth.Of(pool, len(c.Body()))
	}
	x.decision.Key = fmt.Sprintf("%016x", a.key)
	return a
}

// run tries engines until the answer is whole or the request is given up; a completion may be repeated, because
// it changes nothing.
func (a *answer) run() {
	a.x.front.Retries.First(a.pool)
	warm := a.warmEndpoint()
	for {
		p := a.attempt(warm)
		if p == nil {
			return
		}
		if p.status < http.StatusInternalServerError || !a.x.mayRetry(a.pool, len(a.exclude), p) {
			a.giveUp(p)
			return
		}
		a.x.front.figures.retries.Inc()
	}
}

// warmEndpoint is where the caller's ticket says that the chat is warm, or, without one, where this router or a peer
// has spilled it.
func (a *answer) warmEndpoint() string {
	f := a.x.front
	if name := a.x.warmByTicket(); name != "" {
		return name
	}
	if !a.chat.Returning() {
		return ""
	}
	spilled, ok := f.Spills.Find(a.key)
	if !ok {
		return ""
	}
	return f.Ledger.ByHash(func(hash uint64) bool { return spills.Names(spilled, hash) })
}

// noteSpill tells the other routers where the chat is now, unless that is where they would look anyway: first by its
// rank, with nobody having said otherwise.
func (a *answer) noteSpill(c ledger.Choice, warm string) {
	f := a.x.front
	_, told := f.Spills.Find(a.key)
	if c.First && !told {
		return
	}
	if c.Endpoint != warm || !a.chat.Returning() {
		f.Spills.Add(a.key, c.Hash, time.Now())
	}
}

// giveUp tells the caller the failure: as an answer, or as an event when the stream has begun. The stream then has
// no end mark, so that what arrived cannot be taken for the whole.
func (a *answer) giveUp(p *problem) {
	x := a.x
	if !a.started {
		x.fail(p)
		return
	}
	x.told(http.StatusOK, p.outcome, p.message)
	fmt.Fprintf(x.w, "data: %s\n\n", p.body(x.id))
	_ = http.NewResponseController(x.w).Flush()
}

func (a *answer) attempt(warm string) (p *problem) {
	f := a.x.front
	expected := f.Tokens.Remaining(a.class, a.made)
	at, choice, ok := a.x.place(ledger.Query{
		Pool: a.pool, Key: a.key, Warm: warm, Returning: a.chat.Returning(), Worth: a.worth, Tokens: expected,
		Exclude: a.exclude,
	})
	if !ok {
		at.Outcome = outcome.NotRun
		return unavailable("no endpoint of "+a.pool+" takes new work", a.toldSoFar())
	}
	a.exclude = append(a.exclude, at.Endpoint)
	a.noteSpill(choice, warm)
	f.figures.attempts.Inc()
	flight := f.Ledger.Send(at.Endpoint, expected)
	defer flight.End()
	began := time.Now()
	p = a.send(at, flight)
	closeAttempt(at, began, p)
	if p != nil && p.outcome == outcome.NotRun {
		p.outcome = a.toldSoFar()
	}
	return p
}

// toldSoFar is unknown once an engine has had the request, and stays so.
func (a *answer) toldSoFar() outcome.Outcome {
	for _, at := range a.x.decision.Attempts {
		if at.Outcome == outcome.Unknown || at.Outcome == outcome.Ran {
			return outcome.Unknown
		}
	}
	return outcome.NotRun
}

func (a *answer) send(at *decision.Attempt, flight *ledger.Flight) (p *problem) {
	x, f := a.x, a.x.front
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	ctx, span := f.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", at.Endpoint), attribute.String("attempt", at.ID)))
	defer span.End()
	silence := time.AfterFunc(f.Limits.FirstToken(), func() { cancel(errSilent) })
	defer silence.Stop()
	call, err := a.call(at)
	if err != nil {
		return failed(err.Error(), outcome.NotRun)
	}
	resp, err := f.Endpoints.Do(ctx, call)
	if err != nil {
		return a.problemOf(ctx, err)
	}
	defer resp.Body.Close()
	err = a.read(resp, at, flight, silence)
	if err != nil {
		return a.problemOf(ctx, err)
	}
	return nil
}

func (a *answer) problemOf(ctx context.Context, err error) (p *problem) {
	var crossed endpoint.CrossedError
	if errors.As(err, &crossed) {
		a.x.front.figures.crossed.Inc()
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	var gone callerGoneError
	if errors.As(err, &gone) {
		a.x.cancel()
	}
	return a.x.problemOf(err)
}

func (a *answer) call(at *decision.Attempt) (c endpoint.Call, err error) {
	e, _ := a.x.config.Endpoint(at.Endpoint)
	body := a.chat.Body()
	if a.text.Len() > 0 {
		body, err = a.chat.Resumed(a.text.String())
		a.x.front.figures.resumed.Inc()
	}
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(header.Priority, fmt.Sprint(priorityOf(a.made)))
	return endpoint.Call{
		Endpoint: e.Name(), Address: e.Address(), Method: http.MethodPost, Path: completionsPath, Header: h,
		Body: bytes.NewReader(body), Length: int64(len(body)), Request: a.x.id, Attempt: at.ID, Echoes: e.Echoes(),
	}, err
}

// read takes the engine's answer, and returns an error when it is not whole.
func (a *answer) read(resp *http.Response, at *decision.Attempt, flight *ledger.Flight, silence *time.Timer) (err error) {
	a.x.countPrompt(resp)
	if resp.StatusCode >= http.StatusInternalServerError {
		return endpoint.StatusError{Status: resp.StatusCode}
	}
	if resp.StatusCode >= http.StatusBadRequest || !a.chat.Stream() {
		return a.readWhole(resp, at)
	}
	return a.readStream(resp, at, flight, silence)
}

// readWhole passes an answer on only when all of it has arrived and is one JSON value.
func (a *answer) readWhole(resp *http.Response, at *decision.Attempt) (err error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return BrokenAnswerError{Reason: "its body is not JSON"}
	}
	x := a.x
	x.first = time.Since(x.began)
	a.begin(at, resp.Header.Get("Content-Type"))
	x.w.WriteHeader(resp.StatusCode)
	_, _ = x.w.Write(body)
	x.told(resp.StatusCode, outcome.Ran, "")
	x.front.Tokens.Observe(a.class, len(body)/bytesPerToken)
	return nil
}

// BrokenAnswerError says that an answer is not whole, or not what was asked for.
type BrokenAnswerError struct{ Reason string }

func (e BrokenAnswerError) Error() string { return "broken answer: " + e.Reason }

// begin sends the head of the answer; the headers name the endpoint only in the sealed ticket.
func (a *answer) begin(at *decision.Attempt, contentType string) {
	if a.started {
		return
	}
	x := a.x
	x.first = time.Since(x.began)
	x.front.figures.firstToken.Update(x.first.Seconds())
	x.giveTicket(at.Endpoint)
	x.front.closing(x.w.Header())
	x.w.Header().Set("Content-Type", contentType)
	x.w.Header().Set(header.Outcome, string(outcome.Ran))
}

// callerGoneError says that the caller does not take the answer any more.
type callerGoneError struct{ error }

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// readStream passes events on as they come. Only the end mark makes the answer whole.
func (a *answer) readStream(resp *http.Response, at *decision.Attempt, flight *ledger.Flight, silence *time.Timer) (err error) {
	flush := http.NewResponseController(a.x.w)
	streamID := ""
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return err
		}
		silence.Reset(a.x.front.Limits.BetweenTokens())
		if ev.Data == doneMark {
			return a.finish(flush)
		}
		data, err := a.accept(ev.Data, &streamID)
		if err != nil {
			return err
		}
		a.begin(at, "text/event-stream")
		a.started = true
		_, err = fmt.Fprintf(a.x.w, "data: %s\n\n", data)
		if err != nil {
			return callerGoneError{err}
		}
		_ = flush.Flush()
		a.progress(flight)
	}
	return BrokenAnswerError{Reason: "the stream ended without its end mark"}
}

// accept checks one event, and gives a resumed stream the id that the caller knows.
func (a *answer) accept(data string, streamID *string) (out string, err error) {
	var c chunk
	err = json.Unmarshal([]byte(data), &c)
	if err != nil {
		return "", BrokenAnswerError{Reason: "an event is not JSON"}
	}
	if len(c.Error) > 0 {
		return "", BrokenAnswerError{Reason: "the engine sent an error event"}
	}
	if *streamID == "" {
		*streamID = c.ID
	}
	if c.ID != *streamID {
		return "", endpoint.CrossedError{Want: *streamID, Got: c.ID}
	}
	if a.id == "" {
		a.id = c.ID
	}
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Delta.Content)
	}
	if c.ID == a.id {
		return data, nil
	}
	return strings.Replace(data, `"`+c.ID+`"`, `"`+a.id+`"`, 1), nil
}

// progress corrects the load that the request is expected to cost still.
func (a *answer) progress(flight *ledger.Flight) {
	made := a.text.Len() / bytesPerToken
	if made/expectEvery != a.made/expectEvery {
		flight.Expect(a.x.front.Tokens.Remaining(a.class, made))
	}
	a.made = made
}

func (a *answer) finish(flush *http.ResponseController) (err error) {
	_, err = fmt.Fprintf(a.x.w, "data: %s\n\n", doneMark)
	_ = flush.Flush()
	a.x.told(http.StatusOK, outcome.Ran, "")
	a.x.front.Tokens.Observe(a.class, a.made)
	return err
}

// The priorities of a request by the tokens that it has been given; a lower number is served first.
const (
	firstStep   = 64
	stepFactor  = 4
	lowPriority = 4
)

// priorityOf lets a request sink as it is served: nobody says which requests are short, but one that has been given
// many tokens is not.
func priorityOf(made int) (priority int) {
	for step := firstStep; made >= step && priority < lowPriority; step *= stepFactor {
		priority++
	}
	return priority
}
