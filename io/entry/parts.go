package entry

import (
	"strconv"
	"strings"
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
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

// PartFields are the log fields of a quarantined prompt part.
func PartFields(s quarantine.Status) []any {
	return []any{
		field.Part, strconv.FormatUint(s.Key.Part, 16), field.Scope, strconv.FormatUint(s.Key.Scope, 16), field.Crashes, s.Crashes,
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

// recordBroken records an answer to a prompt that has broken off, and whether the endpoint's process crashed with it.
func (x *exchange) recordBroken(a *attempt) {
	if len(x.request.Prompt) == 0 {
		return
	}
	e, expected := a.Endpoint(), a.ExpectedToEnd(time.Now())
	x.recordEnd(a, x.handler.processes.check(e, x.handler.Dial), expected)
}

// recordEnd records an answer that ended with the connection, and whether the endpoint's process crashed with it.
func (x *exchange) recordEnd(a *attempt, state processState, expected bool) {
	e := a.Endpoint()
	x.handler.Metrics.recordBroken(x.service, state)
	_ = x.handler.Logger.Log(field.Event, event.AnswerBroken, field.Request, x.request.ID, field.Route, x.routeName(), field.Service, x.service,
		field.Account, x.accountName(), field.Endpoint, e.ID, field.Born, e.Born, field.Software, e.Version, field.Process, state,
		field.Events, a.events, field.Sends, x.sends, field.Model, shortened(x.request.Model), field.Parts, partList(x.request.Prompt))
	if state == processEnded && !a.answered && !expected {
		x.atCrash = true
		x.handler.Parts.Crashed(x.subject(), quarantine.Process{Endpoint: e.ID, Born: e.Born}, a.Began(), time.Now())
	}
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
	expected := a.ExpectedToEnd(time.Now())
	x.endChecked = true
	time.AfterFunc(endCheckDelay, func() {
		state := processAlive
		if a.SilentFor(time.Now()) > endCheckDelay-settledBytes {
			state = x.handler.processes.check(a.Endpoint(), x.handler.Dial)
		}
		if state == processAlive {
			x.recordAnswered(a)
			return
		}
		x.recordEnd(a, state, expected)
	})
}

// maxLoggedParts limits the prompt parts of one line.
const maxLoggedParts = 16

// partList returns the ids of the prompt's parts, in hexadecimal.
func partList(c prompt.Chain) string {
	ids := make([]string, 0, min(len(c), maxLoggedParts))
	for _, p := range c[:min(len(c), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, ",")
}
