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

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/chat"
	"savoryfall/core/decision"
	"savoryfall/core/header"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/core/overflow"
	"savoryfall/io/endpoint"
)

const (
	completionsPath  = "/v1/chat/completions"
	maxEventBytes    = 1 << 20
	maxResponseBytes = 64 << 20
	doneMarker       = "[DONE]"
	// bytesPerToken converts text lengths to token counts where only proportions matter.
	bytesPerToken = 4
	// estimateInterval is how many tokens pass between two updates of the expected number of remaining tokens.
	estimateInterval = 16
)

// errEndpointSilent cancels an attempt whose endpoint has sent nothing for too long.
var errEndpointSilent = errors.New("the endpoint was silent for too long")

// completion delivers one complete chat completion to its client, resuming it on other engines if attempts fail.
type completion struct {
	x          *exchange
	chat       *chat.Chat
	pool       string
	class      string
	key        uint64
	excluded   []string
	content    strings.Builder
	responseID string
	// fingerprint names what the engine of the first event runs, as the engine says, empty if it does not.
	fingerprint     string
	started         bool
	generatedTokens int
	cacheValue      float64
}

func newCompletion(x *exchange, c *chat.Chat, pool string) *completion {
	a := &completion{x: x, chat: c, pool: pool, class: x.account.Name() + "/" + c.Model()}
	a.key = c.Key(x.account.Name(), x.r.Header.Get(header.Chat))
	if c.Returning() {
		a.cacheValue = x.server.CacheValue.Observe(pool, len(c.Body()))
	}
	x.decision.Key = fmt.Sprintf("%016x", a.key)
	return a
}

// run tries engines until the response is complete or the request has to be given up. A completion may be repeated,
// because it has no side effects.
func (a *completion) run() {
	a.x.identifyingBody = a.chat.Body()
	if p := a.x.checkQuarantine(); p != nil {
		a.x.fail(p)
		return
	}
	a.x.server.Retries.RecordFirst(a.pool)
	warmEndpoint := a.warmEndpoint()
	for {
		p := a.attempt(warmEndpoint)
		if p == nil {
			a.x.settleCrashes(nil)
			return
		}
		if p.status < http.StatusInternalServerError || !a.x.mayRetry(a.pool, len(a.excluded), p) {
			a.x.settleCrashes(p)
			a.reportFailure(p)
			return
		}
		a.x.server.requestMetrics.retries.Inc()
	}
}

// warmEndpoint returns the endpoint that has the chat in its cache according to the client's ticket or, without a
// ticket, according to the overflow entries of this router and its peers.
func (a *completion) warmEndpoint() string {
	s := a.x.server
	if name := a.x.endpointFromTicket(); name != "" {
		return name
	}
	if !a.chat.Returning() {
		return ""
	}
	overflowed, ok := s.Overflow.Find(a.key)
	if !ok {
		return ""
	}
	return s.Ledger.FindByHash(func(hash uint64) bool { return overflow.Matches(overflowed, hash) })
}

// announceOverflow tells the other routers which endpoint has the chat in its cache, unless they would choose it
// anyway, because it ranks first and no other endpoint was announced.
func (a *completion) announceOverflow(c ledger.Choice, warmEndpoint string) {
	s := a.x.server
	_, announced := s.Overflow.Find(a.key)
	if c.HighestRanked && !announced {
		return
	}
	if c.Endpoint != warmEndpoint || !a.chat.Returning() {
		s.Overflow.Add(a.key, c.Hash, time.Now())
	}
}

// reportFailure reports the failure to the client: as an HTTP error, or as an event if the stream has started. Such a
// stream has no end marker, so that the client cannot mistake it for a complete one.
func (a *completion) reportFailure(p *problem) {
	x := a.x
	if !a.started {
		x.fail(p)
		return
	}
	x.recordResult(http.StatusOK, p.outcome, p.message)
	fmt.Fprintf(x.w, "data: %s\n\n", p.body(x.requestID))
	_ = http.NewResponseController(x.w).Flush()
}

func (a *completion) attempt(warmEndpoint string) (p *problem) {
	s := a.x.server
	expected := s.Tokens.Remaining(a.class, a.generatedTokens)
	at, choice, ok := a.x.place(ledger.Query{
		Pool: a.pool, Key: a.key, WarmEndpoint: warmEndpoint, Returning: a.chat.Returning(), CacheValue: a.cacheValue, Tokens: expected,
		Exclude: a.excluded,
	})
	if !ok {
		at.Outcome = outcome.NotRun
		return unavailable("no endpoint of "+a.pool+" takes new work", a.outcomeSoFar())
	}
	a.excluded = append(a.excluded, at.Endpoint)
	a.announceOverflow(choice, warmEndpoint)
	s.requestMetrics.attempts.Inc()
	flight := s.Ledger.StartRequest(at.Endpoint, expected)
	defer flight.End()
	start, incarnation := time.Now(), s.Health.Incarnation(at.Endpoint)
	p = a.send(at, flight)
	recordAttempt(at, start, p)
	a.x.recordEnd(at, incarnation, start, p)
	if p != nil && p.outcome == outcome.NotRun {
		p.outcome = a.outcomeSoFar()
	}
	return p
}

// outcomeSoFar is unknown once any engine may have processed the request.
func (a *completion) outcomeSoFar() outcome.Outcome {
	for _, at := range a.x.decision.Attempts {
		if at.Outcome == outcome.Unknown || at.Outcome == outcome.Ran {
			return outcome.Unknown
		}
	}
	return outcome.NotRun
}

func (a *completion) send(at *decision.Attempt, flight *ledger.InFlight) (p *problem) {
	x, s := a.x, a.x.server
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	ctx, span := s.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", at.Endpoint), attribute.String("attempt", at.ID)))
	defer span.End()
	silence := time.AfterFunc(s.Limits.FirstToken(), func() { cancel(errEndpointSilent) })
	defer silence.Stop()
	call, err := a.call(at)
	if err != nil {
		return endpointFailed(err.Error(), outcome.NotRun)
	}
	resp, err := s.Endpoints.Do(ctx, call)
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

func (a *completion) problemOf(ctx context.Context, err error) (p *problem) {
	var mismatched endpoint.MismatchError
	if errors.As(err, &mismatched) {
		a.x.server.requestMetrics.mismatched.Inc()
	}
	if cause := context.Cause(ctx); errors.Is(cause, errEndpointSilent) {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	var gone clientGoneError
	if errors.As(err, &gone) {
		a.x.cancel()
	}
	return a.x.problemOf(err)
}

func (a *completion) call(at *decision.Attempt) (c endpoint.Call, err error) {
	e, _ := a.x.config.Endpoint(at.Endpoint)
	body := a.chat.Body()
	if a.content.Len() > 0 {
		body, err = a.chat.ResumeBody(a.content.String())
		a.x.server.requestMetrics.resumed.Inc()
	}
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(header.Priority, fmt.Sprint(priorityOf(a.generatedTokens)))
	return endpoint.Call{
		Endpoint: e.Name(), Address: e.Address(), Method: http.MethodPost, Path: completionsPath, Header: h,
		Body: bytes.NewReader(body), Length: int64(len(body)), Request: a.x.requestID, Attempt: at.ID, Echoes: e.EchoesAttemptID(),
	}, err
}

// read passes on the engine's response, and returns an error if it is incomplete.
func (a *completion) read(resp *http.Response, at *decision.Attempt, flight *ledger.InFlight, silence *time.Timer) (err error) {
	a.x.countPrompt(resp)
	if resp.StatusCode >= http.StatusInternalServerError {
		return endpoint.StatusError{Status: resp.StatusCode}
	}
	if resp.StatusCode >= http.StatusBadRequest || !a.chat.Stream() {
		return a.readWhole(resp, at)
	}
	return a.readStream(resp, at, flight, silence)
}

// errTooLarge is returned for a body that is larger than it may be.
var errTooLarge = errors.New("the body is too large")

// readWhole reads a whole body. A part of one must not be taken for all of it.
func readWhole(r io.Reader) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		return nil, errTooLarge
	}
	return body, err
}

// readWhole passes a response on only after it has arrived completely and was found to be valid JSON.
func (a *completion) readWhole(resp *http.Response, at *decision.Attempt) (err error) {
	body, err := readWhole(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return InvalidResponseError{Reason: "its body is not JSON"}
	}
	x := a.x
	x.firstByteAfter = time.Since(x.startedAt)
	a.writeHeaders(at, resp.Header.Get("Content-Type"))
	x.w.WriteHeader(resp.StatusCode)
	_, _ = x.w.Write(body)
	x.recordResult(resp.StatusCode, outcome.Ran, "")
	x.server.Tokens.Observe(a.class, len(body)/bytesPerToken)
	return nil
}

// InvalidResponseError is returned for a response that is incomplete or doesn't conform to the protocol.
type InvalidResponseError struct{ Reason string }

func (e InvalidResponseError) Error() string { return "broken answer: " + e.Reason }

// writeHeaders sets the response headers. They name the endpoint only within the sealed ticket.
func (a *completion) writeHeaders(at *decision.Attempt, contentType string) {
	if a.started {
		return
	}
	x := a.x
	x.firstByteAfter = time.Since(x.startedAt)
	x.server.requestMetrics.firstToken.Update(x.firstByteAfter.Seconds())
	x.setTicket(at.Endpoint)
	x.server.setConnectionClose(x.w.Header())
	x.w.Header().Set("Content-Type", contentType)
	x.w.Header().Set(header.Outcome, string(outcome.Ran))
}

// Priorities by the number of generated tokens: the priority number grows by one at 64, 256, 1024 and 4096 tokens, and
// a lower number is served first.
const (
	firstPriorityStep  = 64
	priorityStepFactor = 4
	lowestPriority     = 4
)

// priorityOf lowers the priority of a request as tokens are generated for it. Clients don't declare which requests are
// short, but a request that has received many tokens is not.
func priorityOf(generatedTokens int) (priority int) {
	for step := firstPriorityStep; generatedTokens >= step && priority < lowestPriority; step *= priorityStepFactor {
		priority++
	}
	return priority
}
