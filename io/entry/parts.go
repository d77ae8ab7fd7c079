package entry

import (
	"strconv"
	"strings"
	"time"

	"savoryfall/core/directory"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/identity"
	"savoryfall/core/prompt"
	"savoryfall/core/quarantine"
	"savoryfall/core/request"
)

// subject describes the request for what is known of prompt parts.
func (x *exchange) subject() quarantine.Subject {
	return quarantine.Subject{Service: x.service, Model: x.request.Model, Account: x.accountName(), Prompt: x.request.Prompt}
}

// checkParts refuses a request with a prompt part under which endpoints crashed.
func (x *exchange) checkParts() *request.Problem {
	d := x.handler.Parts.Decide(x.subject(), time.Now())
	x.trial = d.Trial
	if d.Trial {
		_ = x.handler.Logger.Log(append([]any{field.Event, event.PartTried, field.Request, x.request.ID}, PartFields(d.Part)...)...)
	}
	if !d.Refused {
		return nil
	}
	x.quarantined = d.Part
	return request.NotRun(request.Quarantined, max(d.Part.TrialIn, retryLater))
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

// PartFields are the log fields of a quarantined prompt part.
func PartFields(s quarantine.Status) []any {
	return []any{
		field.Part, hexadecimal(s.Key.Part), field.Scope, hexadecimal(s.Key.Scope), field.Crashes, s.Crashes,
		field.Processes, s.Processes, field.Trials, s.Trials, field.TrialMs, s.TrialIn.Milliseconds(),
	}
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

// recordAnswered records that the endpoint answers the prompt well.
func (x *exchange) recordAnswered(a *attempt) {
	if a.answered || len(x.request.Prompt) == 0 {
		return
	}
	a.answered = true
	began := a.firstEventAt
	if a.events == 0 {
		began = a.Began()
	}
	x.handler.Parts.Answered(x.subject(), began, time.Now())
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
	// silentFor is how long the router had received nothing from the endpoint, 0 if the connection ended.
	silentFor time.Duration
	// answered is set if the answer had gone well until then, expected if the endpoint may have ended for a reason of its own.
	answered, expected bool
	fields             []any
}

// endingOf describes how the answer of the attempt has ended.
func (x *exchange) endingOf(a *attempt) (n *ending) {
	e := a.Endpoint()
	return &ending{
		x: x, entry: e, began: a.Began(), subject: x.subject(), answered: a.answered, expected: a.ExpectedToEnd(time.Now()),
		fields: []any{
			field.Request, x.request.ID, field.RequestKey, hexadecimal(x.identity()), field.Route, x.routeName(),
			field.Service, x.service, field.Account, x.accountName(), field.Endpoint, e.ID, field.Born, e.Born, field.Software, e.Version,
			field.Events, a.events, field.Sends, x.sends, field.Model, shortened(x.request.Model), field.Parts, partList(x.request.Prompt),
		},
	}
}

// checkProcess returns the state of the endpoint's process.
func (n *ending) checkProcess() processState {
	return n.x.handler.processes.check(n.entry, n.x.handler.Dial)
}

// record logs and counts the ending, and reports whether the endpoint's process crashed with it.
func (n *ending) record(state processState) (crashed bool) {
	h := n.x.handler
	h.Metrics.recordBroken(n.entry.Service, state)
	_ = h.Logger.Log(append([]any{
		field.Event, event.AnswerBroken, field.Process, state, field.SilentMs, n.silentFor.Milliseconds(), field.Expected, n.expected,
	}, n.fields...)...)
	if state != processEnded || n.answered || n.expected {
		return false
	}
	h.Parts.Crashed(n.subject, quarantine.Process{Endpoint: n.entry.ID, Born: n.entry.Born}, n.began, time.Now())
	return true
}

// recordBroken records an answer that has broken off, and whether the endpoint's process crashed with it.
func (x *exchange) recordBroken(a *attempt) {
	n := x.endingOf(a)
	if len(x.request.Prompt) == 0 {
		go n.record(n.checkProcess())
		return
	}
	if n.record(n.checkProcess()) {
		x.atCrash = true
	}
}

// recordSilence records an answer that was given up after the endpoint had been silent, and in the background whether its process
// has ended. If nothing came from other endpoints of the service either, the silence shows nothing of this one.
func (x *exchange) recordSilence(a *attempt) {
	now := time.Now()
	silentFor := a.SilentFor(now)
	if silentFor < minSilence || now.Sub(x.handler.Dispatcher.LastBytesAt(x.service)) >= silentFor {
		return
	}
	n := x.endingOf(a)
	n.silentFor = silentFor
	go func() {
		if state := n.checkProcess(); state != processAlive {
			n.record(state)
		}
	}()
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
	if a.answered || len(x.request.Prompt) == 0 {
		return
	}
	n := x.endingOf(a)
	x.endChecked = true
	time.AfterFunc(endCheckDelay, func() {
		state := processAlive
		if a.SilentFor(time.Now()) > endCheckDelay-settledBytes {
			state = n.checkProcess()
		}
		if state == processAlive {
			x.recordAnswered(a)
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
