package entry

import (
	"context"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/field"
	"savoryfall/core/request"
	"savoryfall/core/routetable"
)

// AnswerBy sets when the last requests must be answered because the router stops. Those that have no complete answer from an
// endpoint by then are told so.
func (h *Handler) AnswerBy(at time.Time) {
	h.answersEnd.Store(&at)
	time.AfterFunc(time.Until(at), h.end)
}

// graceLeft is why a request was refused that could not be answered before the router stops.
type graceLeft struct {
	left time.Duration
	// expected is within which time an answer was expected, 0 if that is not known.
	expected time.Duration
}

// checkGrace refuses a request that cannot be expected to be answered before the router stops: another router can answer it,
// while its client could not tell whether a request that was cut has run. A stream that the client can resume elsewhere is not
// refused. An idempotent request of which nothing is known is not refused either, as it may be sent again after its timeout.
func (x *exchange) checkGrace(now time.Time) *request.Problem {
	end := x.handler.answersEnd.Load()
	if end == nil || x.route.Kind == routetable.ResumableStream || !x.deadline.After(*end) {
		return nil
	}
	left := end.Sub(now)
	expected, known := x.handler.answerTimes.Expect(x.serviceFor(), x.route.Name, now)
	if known && expected <= left || !known && x.route.Kind.Repeatable() {
		return nil
	}
	x.graceLeft = &graceLeft{left: left, expected: expected}
	return request.NotRun(request.GraceTooShort, retrySoon)
}

// answerBy returns when the request must be answered: at its deadline, or before the router stops.
func (x *exchange) answerBy() time.Time {
	end := x.handler.answersEnd.Load()
	if end == nil || x.route.Kind.Streaming() || end.After(x.deadline) {
		return x.deadline
	}
	return *end
}

// endWithRouter gives the attempt up when the last requests must be answered, unless release was called before.
func (x *exchange) endWithRouter(a *attempt) (release func() bool) {
	return context.AfterFunc(x.handler.ended, a.cancel)
}

// giveUp finishes an attempt that was given up because the router stops.
func (x *exchange) giveUp(a *attempt) *request.Problem {
	x.finishAttempt(a, dispatch.Abandoned)
	x.lostConnection = true
	return request.Unknown(request.DeadlineExceeded)
}

// recordAnswerTime records how long the attempt took. One that was given up would have taken at least that long, and one that failed
// does not show how long a good answer takes.
func (x *exchange) recordAnswerTime(v dispatch.Verdict, took time.Duration, now time.Time) {
	switch v {
	case dispatch.Served:
		x.handler.answerTimes.Observe(x.service, x.route.Name, took, true, now)
	case dispatch.Failed, dispatch.Silent, dispatch.Abandoned:
		x.handler.answerTimes.Observe(x.service, x.route.Name, took, false, now)
	}
}

// logFields returns how much of the grace was left, and within which time an answer was expected.
func (g *graceLeft) logFields() []any {
	return []any{field.GraceLeftMs, g.left.Milliseconds(), field.ExpectedLastMs, g.expected.Milliseconds()}
}
