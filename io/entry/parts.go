package entry

import (
	"strconv"
	"strings"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/directory"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/identity"
	"savoryfall/core/prompt"
	"savoryfall/core/quarantine"
	"savoryfall/core/request"
	"savoryfall/io/process"
)

// subject describes the request for what is known of prompt parts and requests.
func (x *exchange) subject() quarantine.Subject {
	return quarantine.Subject{
		Service: x.service, Model: x.request.Model, Account: x.accountName(), Prompt: x.request.Prompt, Request: x.identity(),
	}
}

// checkQuarantine refuses a request under which endpoints crashed, or with a prompt part under which they did.
func (x *exchange) checkQuarantine() *request.Problem {
	if x.handler.Parts.Empty() {
		return nil
	}
	d := x.handler.Parts.Decide(x.subject(), time.Now())
	x.trial = d.Trial
	switch {
	case d.Trial && d.Part.Key.Request:
		_ = x.handler.Logger.Log(append([]any{field.Event, event.RequestTried, field.Request, x.request.ID}, QuarantineFields(d.Part)...)...)
	case d.Trial:
		_ = x.handler.Logger.Log(append([]any{field.Event, event.PartTried, field.Request, x.request.ID}, QuarantineFields(d.Part)...)...)
	}
	if !d.Refused {
		background.Sleep(x.ctx, d.Wait, nil)
		return nil
	}
	x.quarantined = d.Part
	return request.NotRun(request.Quarantined, max(d.Part.TrialIn, retryLater))
}

// suspected reports whether an endpoint crashed under the request.
func (x *exchange) suspected() bool {
	return !x.handler.Parts.Empty() && x.handler.Parts.Crashes(x.subject()) > 0
}

// mayRetry reports whether the crashes that are known allow another attempt.
func (x *exchange) mayRetry() bool {
	return x.handler.Parts.Empty() || x.handler.Parts.MayRetry(x.subject(), x.atCrash)
}

// endTrial reports a trial whose request neither crashed an endpoint nor was answered, as far as known.
func (x *exchange) endTrial() {
	if x.trial {
		x.handler.Parts.EndTrial(x.subject(), x.atCrash || x.endChecked, time.Now())
	}
}

// identity returns the hash that identifies the request over its client's attempts.
func (x *exchange) identity() uint64 {
	if x.identityHash == 0 {
		r := &x.request
		x.identityHash = identity.Request{Method: r.Method, Host: r.Host, Target: r.Target, Model: r.Model, Prompt: r.Prompt, Body: x.body}.Hash()
	}
	return x.identityHash
}

func hexadecimal(id uint64) string { return strconv.FormatUint(id, 16) }

// QuarantineFields are the log fields of a quarantined prompt part or request.
func QuarantineFields(s quarantine.Status) []any {
	counts := []any{
		field.Crashes, s.Crashes, field.Processes, s.Processes, field.Trials, s.Trials, field.TrialMs, s.TrialIn.Milliseconds(),
	}
	if s.Key.Request {
		return append([]any{field.RequestKey, hexadecimal(s.Key.Part)}, counts...)
	}
	return append([]any{field.Part, hexadecimal(s.Key.Part), field.Scope, hexadecimal(s.Key.Scope)}, counts...)
}

// eventsOfSoundAnswer is from how many events on an answer shows that its prompt does not crash the endpoint, which would
// happen when it begins to write.
const eventsOfSoundAnswer = 3

// countEvents counts the events that an endpoint has sent.
func (x *exchange) countEvents(a *attempt, n int) {
	if n == 0 {
		return
	}
	if a.events == 0 {
		a.firstEventAt = time.Now()
	}
	a.events += n
	if a.events >= eventsOfSoundAnswer {
		x.recordAnswered(a)
	}
}

// recordAnswered records that the endpoint answers the prompt well. What the request has of its own may still crash it.
func (x *exchange) recordAnswered(a *attempt) {
	if a.answered || len(x.request.Prompt) == 0 {
		return
	}
	a.answered = true
	if !x.handler.Parts.Empty() {
		x.handler.Parts.Answered(x.subject(), a.answerBegan(), time.Now())
	}
}

// recordCompleted records that the endpoint has answered the request completely.
func (x *exchange) recordCompleted(a *attempt) {
	if !x.handler.Parts.Empty() {
		x.handler.Parts.Completed(x.subject(), a.answerBegan(), time.Now())
	}
}

// answerBegan returns when the answer began, as far as known.
func (a *attempt) answerBegan() time.Time {
	if a.events == 0 {
		return a.Began()
	}
	return a.firstEventAt
}

// recordAlive records that the endpoint's process has responded. Another instance at its address shows nothing of it.
func (x *exchange) recordAlive(a *attempt, now time.Time) {
	if a.reply.WrongInstance {
		return
	}
	e := a.Endpoint()
	x.handler.Parts.Responded(quarantine.Process{Endpoint: e.ID, Born: e.Born}, a.Began(), now)
}

// ending is how an answer of an endpoint ended.
type ending struct {
	x       *exchange
	entry   directory.Entry
	began   time.Time
	subject quarantine.Subject
	// silentFor is how long the router had received nothing from the endpoint, and silent is set if other endpoints of the service were
	// heard meanwhile, so that the silence shows something of this one.
	silentFor time.Duration
	silent    bool
	// answered is set if the answer had gone well until then.
	answered bool
	// expected is set if the endpoint may have ended for a reason of its own, announced if it has said so.
	expected, announced bool
	fields              []any
}

// endingOf describes how the answer of the attempt has ended.
func (x *exchange) endingOf(a *attempt) (n *ending) {
	e, now := a.Endpoint(), time.Now()
	silentFor := a.SilentFor(now)
	return &ending{
		x: x, entry: e, began: a.Began(), subject: x.subject(), answered: a.answered, expected: a.ExpectedToEnd(now), announced: a.AnnouncedEnd(now),
		silentFor: silentFor, silent: silentFor >= minSilence && now.Sub(x.handler.Dispatcher.LastBytesAt(x.service)) < silentFor,
		fields: []any{
			field.Request, x.request.ID, field.RequestKey, hexadecimal(x.identity()), field.Route, x.routeName(),
			field.Service, x.service, field.Account, x.accountName(), field.Endpoint, e.ID, field.Born, e.Born, field.Software, e.Version,
			field.Events, a.events, field.Sends, x.sends, field.Model, shortened(x.request.Model), field.Parts, partList(x.request.Prompt),
		},
	}
}

// checkProcess returns the state of the endpoint's process.
func (n *ending) checkProcess() process.State {
	return n.x.handler.processes.Check(n.entry.ID+"/"+strconv.FormatInt(n.entry.Born, 10), n.entry.Address, n.x.handler.Dial)
}

// record logs and counts the ending, and reports whether the endpoint's process crashed with it. A process that does not respond at
// all may have lost its machine or its way to this router: what is known of other requests and other routers tells these apart.
func (n *ending) record(state process.State) (crashed bool) {
	h := n.x.handler
	h.Metrics.recordBroken(n.entry.Service, state)
	_ = h.Logger.Log(append([]any{
		field.Event, event.AnswerBroken, field.Process, state, field.SilentMs, n.silentFor.Milliseconds(), field.Expected, n.expected,
	}, n.fields...)...)
	c := quarantine.Crash{
		Process: quarantine.Process{Endpoint: n.entry.ID, Born: n.entry.Born}, Sent: n.began, At: time.Now(), Answered: n.answered,
	}
	switch {
	case state == process.Ended && !n.expected:
	case state == process.Unknown && n.silent && !n.announced:
		// That the endpoint is not listed any more may be a consequence of its end.
		c.At, c.Silent = c.At.Add(-n.silentFor), true
	default:
		return false
	}
	h.Parts.Crashed(n.subject, c, time.Now())
	return true
}

// recordBroken records an answer that has broken off, and whether the endpoint's process crashed with it. A request that has no prompt
// is not delayed by that unless an endpoint crashed under it before.
func (x *exchange) recordBroken(a *attempt) {
	n := x.endingOf(a)
	if len(x.request.Prompt) == 0 && !x.suspected() {
		go n.record(n.checkProcess())
		return
	}
	if n.record(n.checkProcess()) {
		x.atCrash = true
	}
}

// recordSilence records an answer that was given up after the endpoint had been silent, and whether its process has ended. A stream is
// continued meanwhile unless an endpoint crashed under the request before.
func (x *exchange) recordSilence(a *attempt) {
	n := x.endingOf(a)
	if !n.silent {
		return
	}
	record := func() {
		if state := n.checkProcess(); state != process.Alive {
			n.record(state)
		}
	}
	x.endChecked = true
	if x.suspected() {
		record()
		return
	}
	go record()
}

const (
	// endCheckDelay is how long after the end of an answer it is checked whether the process ended with it, and settledBytes how
	// much of that bytes from the process may be late.
	endCheckDelay = 50 * time.Millisecond
	settledBytes  = 10 * time.Millisecond
)

// checkEnd finds out, in the background, whether an answer that ended with its connection did so because the process crashed: to its
// client it is complete in either case.
func (x *exchange) checkEnd(a *attempt) {
	n := x.endingOf(a)
	x.endChecked = true
	time.AfterFunc(endCheckDelay, func() {
		state := process.Alive
		if a.SilentFor(time.Now()) > endCheckDelay-settledBytes {
			state = n.checkProcess()
		}
		if state == process.Alive {
			x.recordAnswered(a)
			x.recordCompleted(a)
			return
		}
		n.record(state)
	})
}

// maxLoggedParts limits the prompt parts of one line.
const maxLoggedParts = 16

// partList returns the ids of the prompt's parts, in hexadecimal.
func partList(c prompt.Chain) string {
	ids := make([]string, 0, min(len(c), maxLoggedParts))
	for _, p := range c[:min(len(c), maxLoggedParts)] {
		ids = append(ids, hexadecimal(p.ID))
	}
	return strings.Join(ids, ",")
}
