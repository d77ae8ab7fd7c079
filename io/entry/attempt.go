package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/completion"
	"savoryfall/core/dispatch"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/origin"
	"savoryfall/core/request"
	"savoryfall/core/retryafter"
	"savoryfall/io/http1"
)

// attempt is one attempt to have the request served by one endpoint.
type attempt struct {
	*dispatch.Attempt
	response *http1.Response
	reply    request.EndpointResponse
	// repliedAt is when the header of the response arrived.
	repliedAt time.Time
	// ctx is done when the request's context is done or cancel is called. cancel may be called from any goroutine.
	ctx    context.Context
	cancel context.CancelFunc
	// origin is where the stream begins if this attempt brings its first event.
	origin origin.Origin
	// events is the number of events that the endpoint has sent, and firstEventAt when it sent the first one.
	events       int
	firstEventAt time.Time
	// answered is set once the answer has gone well for so long that its prompt does not crash the endpoint.
	answered bool
}

// recordFirstBytes records the first bytes of the response and the load reported in its header.
func (x *exchange) recordFirstBytes(a *attempt) {
	now := time.Now()
	if !a.reply.NotExecuted {
		x.handler.waiters.recordStart(x.service, x.route.Name, now.Sub(a.Began()))
	}
	a.RecordFirstBytes(dispatch.Load{
		Running: a.reply.Running, Waiting: a.reply.Waiting, Slots: a.reply.Slots, Slowdown: a.reply.Slowdown, Known: a.reply.HasLoad,
		At: a.repliedAt,
	}, now)
	if expected, ok := a.Expected(); ok && !a.reply.NotExecuted {
		x.handler.Metrics.recordEstimate(x.service, expected.First, now.Sub(a.Began()))
	}
	x.recordAlive(a, now)
}

// responseSlack is added to the deadline that the endpoint is given, so that its own response at the deadline still
// arrives.
const responseSlack = 40 * time.Millisecond

// query describes the request for the choice of its endpoint.
func (x *exchange) query() dispatch.Query {
	return dispatch.Query{
		Service: x.service, Prompt: x.request.Prompt, Rank: x.rank(), Account: x.accountName(), Tried: x.tried, Origin: x.preferredOrigin(),
		Spread: x.suspected(), Kind: x.route.Name, LengthHint: x.request.LengthHint, LatencyTarget: x.route.ResponseGoal,
		TimeLeft: time.Until(x.deadline), Retrying: x.retrying(), Waited: x.hasWaited,
	}
}

// chooseEndpoint selects the endpoint for the next attempt, for which the request may wait. If there is none, the problem gives the
// reason.
func (x *exchange) chooseEndpoint() (a *attempt, p *request.Problem) {
	if p = x.checkGrace(time.Now()); p != nil {
		return nil, p
	}
	q := x.query()
	d, reason := x.handler.Dispatcher.Choose(q, time.Now())
	if d == nil && q.Origin != x.origin.Load() {
		q.Origin = nil
		d, reason = x.handler.Dispatcher.Choose(q, time.Now())
	}
	if d == nil && x.mayWait(reason) {
		d, reason, p = x.wait(reason)
	}
	switch {
	case p != nil:
		return nil, p
	case d != nil:
		ctx, cancel := context.WithCancel(x.ctx)
		return &attempt{Attempt: d, ctx: ctx, cancel: cancel}, nil
	case reason == dispatch.ReasonPaused:
		return nil, request.NotRun(request.Paused, x.retryAfterPause())
	case reason == dispatch.ReasonAllFull:
		return nil, request.NotRun(request.Full, x.retryAfterFull())
	case reason == dispatch.ReasonInfeasible:
		x.recordInfeasible(q)
		return nil, request.NotRun(request.Infeasible, x.retryAfterFull())
	case reason == dispatch.ReasonReserved:
		return nil, request.NotRun(request.Reserved, x.retryAfterFull())
	case reason == dispatch.ReasonNoVersion:
		return nil, request.NotRun(request.NoVersion, retryLater)
	case reason == dispatch.ReasonDoubtfulVersion:
		return nil, request.NotRun(request.UnknownVersion, retryLater)
	}
	return nil, request.NotRun(request.NoEndpoint, retryLater)
}

// infeasible is a request that no endpoint was expected to serve in time.
type infeasible struct {
	expected         completion.Estimate
	target, timeLeft time.Duration
}

// recordInfeasible counts the request and keeps what was expected for the log.
func (x *exchange) recordInfeasible(q dispatch.Query) {
	x.handler.Metrics.recordInfeasible(x.service)
	expected, _ := x.handler.Dispatcher.BestEstimate(q, time.Now())
	x.infeasible = &infeasible{expected: expected, target: q.LatencyTarget, timeLeft: q.TimeLeft}
}

// logFields returns what was expected and what was asked.
func (i *infeasible) logFields() []any {
	return []any{
		field.ExpectedFirstMs, i.expected.First.Milliseconds(), field.ExpectedLastMs, i.expected.Last.Milliseconds(),
		field.TargetMs, i.target.Milliseconds(), field.LeftMs, i.timeLeft.Milliseconds(),
	}
}

// retryAfterFull returns how long the client should wait before it retries a request to a service that is at capacity.
func (x *exchange) retryAfterFull() time.Duration {
	now := time.Now()
	if x.sends == 0 {
		q := dispatch.Query{
			Service: x.service, Rank: x.rank(), LatencyTarget: x.route.ResponseGoal, TimeLeft: x.deadline.Sub(now),
			Retrying: x.retrying(), RecognizedAfter: x.recognizedAfter(now),
		}
		if delay, ok := x.handler.Dispatcher.RetryAfter(q, now); ok {
			return delay
		}
	}
	full := x.handler.Dispatcher.FullFor(x.service, x.rank(), now)
	return retryafter.Delay(full, x.route.ResponseGoal, x.deadline.Sub(now), rand.Float64())
}

// retryAfterPause returns how long the client should wait while no endpoint of the service accepts requests.
func (x *exchange) retryAfterPause() time.Duration {
	return max(x.handler.Dispatcher.PausedFor(x.service, time.Now()), retrySoon)
}

// retryAfterUnreachable returns how long the client should wait after no connection to an endpoint could be made.
func (x *exchange) retryAfterUnreachable() time.Duration {
	if x.handler.Connections == nil {
		return retrySoon
	}
	return max(x.handler.Connections.RetryAfter(x.service), retrySoon)
}

// send sends the request and waits for the header of the response until the given time.
func (x *exchange) send(a *attempt, until time.Time, lastEvent string) (err error) {
	e := a.Endpoint()
	ctx, span := x.handler.Tracer.Start(a.ctx, "attempt", trace.WithAttributes(
		attribute.String("request", x.request.ID), attribute.String("endpoint", e.ID), attribute.String("service", e.Service),
	))
	defer span.End()
	h := x.handler.EndpointProtocol.Encode(forwardedHeader(x.r.Header), x.endpointRequest(a, lastEvent))
	x.tried, x.software = append(x.tried, e.ID), append(x.software, e.Version)
	a.response, err = x.handler.Pool.Do(ctx, http1.Request{
		Address: e.Address, Method: x.request.Method, Target: x.request.Target, Host: x.request.Host, Header: h,
		Fresh: x.lostConnection, Body: x.body, HasBody: x.r.ContentLength != 0 || len(x.body) > 0, Deadline: until,
		Check:   x.processCheck(a),
		Permit:  func() error { return checkWithdrawn(a) },
		Matches: func(h http.Header) bool { return x.handler.EndpointProtocol.MatchesRequest(h, x.request.ID) },
	})
	if err != nil {
		return err
	}
	a.reply, a.repliedAt = x.handler.EndpointProtocol.Decode(a.response.Status, a.response.Header), time.Now()
	if a.reply.InvalidLoad {
		x.handler.Metrics.recordInvalidLoad(x.service)
	}
	x.recordAnnouncements(a)
	return nil
}

// errWithdrawn is returned if the endpoint was withdrawn after it was chosen.
var errWithdrawn = errors.New("the endpoint gets no new requests any more")

func checkWithdrawn(a *attempt) error {
	if a.Withdrawn(time.Now()) {
		return errWithdrawn
	}
	return nil
}

// recordAnnouncements records what the answer says of the endpoint: that it wants no further requests, or cannot bear to
// turn many away. Another instance at the endpoint's address
// speaks for itself only.
func (x *exchange) recordAnnouncements(a *attempt) {
	if a.reply.WrongInstance {
		return
	}
	a.RecordBrittle(a.reply.Brittle, time.Now())
	e := a.Endpoint()
	if a.reply.Leaving && a.MarkLeaving() {
		_ = x.handler.Logger.Log(field.Event, event.EndpointLeaving, field.Endpoint, e.ID, field.Service, e.Service, field.Born, e.Born,
			field.Source, "answer", field.Request, x.request.ID, field.Status, a.response.Status)
		x.handler.Endpoints.MarkLeaving(e)
	}
	if a.reply.Pause > 0 && a.Pause(a.reply.Pause, time.Now()) {
		_ = x.handler.Logger.Log(field.Event, event.EndpointPaused, field.Endpoint, e.ID, field.Service, e.Service, field.Born, e.Born,
			field.PauseMs, a.reply.Pause.Milliseconds(), field.Source, "answer", field.Request, x.request.ID, field.Status, a.response.Status)
	}
}

func (x *exchange) endpointRequest(a *attempt, lastEvent string) (s request.EndpointRequest) {
	s = request.EndpointRequest{
		ID: x.request.ID, Endpoint: a.Endpoint().ID, Remaining: time.Until(x.answerBy()), LastEventID: lastEvent, FetchFrom: a.FetchSource(),
		Account: x.accountName(),
	}
	if len(x.request.Prompt) > 0 {
		s.Priority, s.HasPriority = x.urgency(), true
	}
	return s
}

// accountName returns the name of the client account. It is empty on public routes.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// rank returns the priority of the request among all requests to its service. 0 is the most urgent.
func (x *exchange) rank() int { return x.table.Rank(x.service, x.route, x.account) }

// urgency is the rank limited to the range that engines accept.
func (x *exchange) urgency() int { return min(x.rank(), leastUrgent) }

// leastUrgent is the highest urgency value that engines accept.
const leastUrgent = 9

// finishAttempt closes the response and reports the result of the attempt to the dispatcher.
func (x *exchange) finishAttempt(a *attempt, v dispatch.Verdict) {
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	// Silence shows also if the client has left because of it.
	silent := v == dispatch.Silent
	if x.ctx.Err() != nil {
		v = dispatch.Abandoned
	}
	now := time.Now()
	took, first := a.End(v, now)
	if !first {
		return
	}
	x.recordAnswerTime(v, took, now)
	x.handler.Metrics.recordAttempt(x.service, v, took)
	switch {
	case v == dispatch.Broken:
		x.recordBroken(a)
	case silent:
		x.recordSilence(a)
	case v == dispatch.Served && a.response.EndsWithConnection():
		x.checkEnd(a)
	case v == dispatch.Served:
		x.recordCompleted(a)
	}
}

// classifyError returns the verdict on the endpoint for an attempt without a response, and whether the request may have
// run.
func classifyError(err error) (v dispatch.Verdict, ran bool) {
	var f *http1.AttemptError
	switch {
	case errors.Is(err, errWithdrawn), errors.Is(err, errOtherProcess):
		return dispatch.Withdrawn, false
	case !errors.As(err, &f):
		return dispatch.Broken, true
	case !f.MaybeSent:
		return dispatch.Unreachable, false
	case f.Timeout:
		return dispatch.Silent, true
	}
	return dispatch.Broken, true
}

// tryEndpoints makes attempts, each at a different endpoint, until one is done or no further attempt is allowed. The
// problem is that of the last attempt, but for the outcome: the request has not run only if it has run in no attempt.
func (x *exchange) tryEndpoints(try func(a *attempt) (done bool, p *request.Problem)) (done bool, p *request.Problem) {
	p = request.NotRun(request.NoEndpoint, retryLater)
	ran := false
	for range maxChoices {
		if !x.allowAttempt(time.Now()) {
			x.recordNotContinued(request.NoAttemptLeft)
			return false, p
		}
		a, notChosen := x.chooseEndpoint()
		if notChosen != nil {
			x.recordNotContinued(notChosen.Reason)
		}
		if notChosen != nil && x.sends == 0 {
			return false, notChosen
		}
		if notChosen != nil {
			return false, p
		}
		done, p = try(a)
		if done {
			return true, nil
		}
		ran = ran || p.Outcome != notRun
		if ran && p.Outcome == notRun {
			p = request.Unknown(p.Reason)
		}
		if x.ctx.Err() != nil || p.Outcome != notRun && !x.route.Kind.Repeatable() {
			return false, p
		}
	}
	return false, p
}

// allowAttempt reports whether another attempt is allowed by the route's maximum number of attempts, the deadline, the
// crashes under parts of the prompt, and this router's share of the retry budget. A retry that is allowed is counted.
func (x *exchange) allowAttempt(now time.Time) bool {
	if x.sends >= x.route.MaxAttempts || x.answerBy().Sub(now) < minAttemptTime {
		return false
	}
	if x.sends == x.retriesCounted {
		return true
	}
	if !x.mayRetry() || !x.handler.Retries.Allow(x.service, now) {
		return false
	}
	x.retriesCounted = x.sends
	return true
}

// minAttemptTime is the minimum time left for another attempt. A plain call takes longer than this.
const minAttemptTime = 20 * time.Millisecond

// maxChoices limits how many endpoints are chosen for one request when connections to them fail.
const maxChoices = 4
