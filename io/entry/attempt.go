package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/ask"
	"savoryfall/core/comeback"
	"savoryfall/core/dispatch"
	"savoryfall/io/http1"
)

// attempt is one try at one endpoint.
type attempt struct {
	*dispatch.Attempt
	answer *http1.Answer
	reply  ask.Reply
	// ctx ends with the request, or when abandon is called, from any goroutine.
	ctx     context.Context
	abandon context.CancelFunc
}

// heard notes the first bytes of the answer, with the load that its header tells of.
func (a *attempt) heard() {
	a.Answered(dispatch.Load{Running: a.reply.Running, Waiting: a.reply.Waiting, Known: a.reply.HasLoad}, time.Now())
}

// spareTime is how much longer than it was told an endpoint may take, so that its own word at the deadline arrives.
const spareTime = 40 * time.Millisecond

// choose picks the next endpoint. The problem says why there is none.
func (x *exchange) choose() (a *attempt, p *ask.Problem) {
	d, why := x.front.Dispatcher.Choose(dispatch.Query{
		Service: x.service, Prompt: x.ask.Prompt, Rank: x.rank(), Account: x.accountName(), Tried: x.tried,
	}, time.Now())
	switch {
	case d != nil:
		ctx, abandon := context.WithCancel(x.ctx)
		return &attempt{Attempt: d, ctx: ctx, abandon: abandon}, nil
	case why == dispatch.ReasonFull:
		return nil, ask.NotRun(ask.Full, x.backFull())
	case why == dispatch.ReasonReserved:
		return nil, ask.NotRun(ask.Reserved, x.backFull())
	}
	return nil, ask.NotRun(ask.NoEndpoint, backLater)
}

// backFull is when to come back to a service that is full.
func (x *exchange) backFull() time.Duration {
	now := time.Now()
	full := x.front.Dispatcher.FullFor(x.service, x.rank(), now)
	return comeback.After(full, x.route.Goal, x.deadline.Sub(now), rand.Float64())
}

// send makes the attempt and waits for the header of its answer until the given time.
func (x *exchange) send(a *attempt, until time.Time, lastEvent string) (err error) {
	e := a.Endpoint()
	ctx, span := x.front.Tracer.Start(a.ctx, "attempt", trace.WithAttributes(
		attribute.String("request", x.ask.ID), attribute.String("endpoint", e.ID), attribute.String("service", e.Service),
	))
	defer span.End()
	h := x.front.Endpoints.Encode(forwarded(x.r.Header), x.sending(a, lastEvent))
	x.tried = append(x.tried, e.ID)
	a.answer, err = x.front.Pool.Do(ctx, http1.Request{
		Address: e.Address, Method: x.ask.Method, Target: x.ask.Target, Host: x.ask.Host, Header: h,
		Body: x.body, HasBody: x.r.ContentLength != 0 || len(x.body) > 0, Deadline: until,
		Ours: func(h http.Header) bool { return x.front.Endpoints.Answers(h, x.ask.ID) },
	})
	if err != nil {
		return err
	}
	a.reply = x.front.Endpoints.Decode(a.answer.Status, a.answer.Header)
	return nil
}

func (x *exchange) sending(a *attempt, lastEvent string) (s ask.Sending) {
	s = ask.Sending{
		ID: x.ask.ID, Endpoint: a.Endpoint().ID, Left: time.Until(x.deadline), LastEvent: lastEvent, FetchFrom: a.Donor(),
		Account: x.accountName(),
	}
	if len(x.ask.Prompt) > 0 {
		s.Urgency, s.HasUrgency = x.urgency(), true
	}
	return s
}

// accountName is empty on public routes.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// rank is where the request stands among those to its service, 0 for the most urgent.
func (x *exchange) rank() int { return x.table.Rank(x.service, x.route, x.account) }

// urgency is the rank as engines take it.
func (x *exchange) urgency() int { return min(x.rank(), leastUrgent) }

// leastUrgent is the highest number that engines take.
const leastUrgent = 9

// end ends the attempt and tells the dispatcher how it went.
func (x *exchange) end(a *attempt, v dispatch.Verdict) {
	if a.answer != nil {
		a.answer.Close()
	}
	a.abandon()
	if x.ctx.Err() != nil {
		v = dispatch.Abandoned
	}
	took, first := a.End(v, time.Now())
	if first {
		x.front.Figures.attempt(x.service, v, took)
	}
}

// failed is what an attempt without an answer says of the endpoint, and whether the request may have run.
func failed(err error) (v dispatch.Verdict, ran bool) {
	var f *http1.Failure
	switch {
	case !errors.As(err, &f):
		return dispatch.Broken, true
	case !f.Sent:
		return dispatch.Unreachable, false
	case f.Timeout:
		return dispatch.Silent, true
	}
	return dispatch.Broken, true
}

// tryEach makes attempts, each at another endpoint, until one is done or none may follow; the problem is the last one's.
func (x *exchange) tryEach(try func(a *attempt) (done bool, p *ask.Problem)) (done bool, p *ask.Problem) {
	p = ask.NotRun(ask.NoEndpoint, backLater)
	for range mostChoices {
		if !x.maySend(time.Now()) {
			return false, p
		}
		a, none := x.choose()
		if none != nil && x.sends == 0 {
			return false, none
		}
		if none != nil {
			return false, p
		}
		done, p = try(a)
		if done {
			return true, nil
		}
		if x.ctx.Err() != nil || p.Outcome != notRun && !x.route.Kind.Repeatable() {
			return false, p
		}
	}
	return false, p
}

// maySend tells whether the request may go to another endpoint: within its route's attempts, its time, and this
// router's part of the retries.
func (x *exchange) maySend(now time.Time) bool {
	if x.sends >= x.route.MaxAttempts || x.deadline.Sub(now) < worthTrying {
		return false
	}
	if x.sends == 0 {
		return true
	}
	return x.front.Retries.Allow(x.service, now)
}

// worthTrying is the least time left for another attempt: less than the time of a plain call.
const worthTrying = 20 * time.Millisecond

// mostChoices bounds how many endpoints are chosen for one request when connections to them cannot be made.
const mostChoices = 4
