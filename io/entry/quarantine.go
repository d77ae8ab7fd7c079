package entry

import (
	"strconv"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/identity"
	"savoryfall/core/quarantine"
	"savoryfall/core/request"
)

// subject describes the request for what is known of prompt parts and requests.
func (x *exchange) subject() quarantine.Subject {
	return quarantine.Subject{
		Service: x.service, Model: x.request.Model, Account: x.accountName(), Prompt: x.request.Prompt, Request: x.identity(),
	}
}

// checkQuarantine refuses a request under which endpoints crashed, or with a prompt part under which they did.
func (x *exchange) checkQuarantine() *request.Problem {
	if x.handler.Quarantine.Empty() {
		return nil
	}
	d := x.handler.Quarantine.Decide(x.subject(), time.Now())
	x.trial = d.Trial
	switch {
	case d.Trial && d.Cause.Key.Request:
		_ = x.handler.Logger.Log(append([]any{field.Event, event.RequestTried, field.Request, x.request.ID}, QuarantineFields(d.Cause)...)...)
	case d.Trial:
		_ = x.handler.Logger.Log(append([]any{field.Event, event.PartTried, field.Request, x.request.ID}, QuarantineFields(d.Cause)...)...)
	}
	if !d.Refused {
		background.Sleep(x.ctx, d.WaitWithin(time.Until(x.deadline)), nil)
		return nil
	}
	x.quarantined = d.Cause
	return request.NotRun(request.Quarantined, max(d.Cause.TrialIn, retryLater))
}

// suspected reports whether an endpoint crashed under the request.
func (x *exchange) suspected() bool {
	return !x.handler.Quarantine.Empty() && x.handler.Quarantine.Crashes(x.subject()) > 0
}

// mayRetry reports whether the crashes that are known allow another attempt.
func (x *exchange) mayRetry() bool {
	return x.handler.Quarantine.Empty() || x.handler.Quarantine.MayRetry(x.subject(), x.atCrash)
}

// endTrial reports a trial whose request neither crashed an endpoint nor was answered, as far as known.
func (x *exchange) endTrial() {
	if x.trial {
		x.handler.Quarantine.EndTrial(x.subject(), x.atCrash || x.endChecked, time.Now())
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
	if !x.handler.Quarantine.Empty() {
		x.handler.Quarantine.Answered(x.subject(), a.answerBegan(), time.Now())
	}
}

// recordCompleted records that the endpoint has answered the request completely.
func (x *exchange) recordCompleted(a *attempt) {
	if !x.handler.Quarantine.Empty() {
		x.handler.Quarantine.Completed(x.subject(), a.answerBegan(), time.Now())
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
	x.handler.Quarantine.Responded(quarantine.Process{Endpoint: e.ID, Born: e.Born}, a.Began(), now)
}
