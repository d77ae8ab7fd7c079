package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/bodybudget"
	"savoryfall/core/bytebudget"
	"savoryfall/core/origin"
	"savoryfall/core/quarantine"
	"savoryfall/core/request"
	"savoryfall/core/routetable"
	"savoryfall/io/clientconn"
	"savoryfall/io/origins"
)

// exchange is the processing of one request.
type exchange struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	began    time.Time
	deadline time.Time
	request  request.Request
	table    *routetable.Table
	route    *routetable.Route
	account  *routetable.Account
	service  string
	conn     *clientconn.Conn
	body     []byte
	bodyRead bool
	// identityHash is the result of identity, 0 before it is known.
	identityHash uint64
	tried        []string
	// origin is where the stream began that the client has events of, nil for none.
	origin atomic.Pointer[origin.Origin]
	// firstEventSent is set once an event of this answer has been forwarded.
	firstEventSent bool
	// recorded is the endpoint of the newest attempt to begin the stream, and placement where other routers were told of it.
	recorded  *origin.Origin
	placement *origins.Placement
	// originSource is how the origin of a stream that the client resumes became known.
	originSource origins.Source
	// software are the software versions of the endpoints in tried.
	software []string
	sends    int
	// retriesCounted is how many retries have been counted. One that reached no endpoint is not counted again.
	retriesCounted int
	// atCrash is set if an endpoint's process crashed before it had answered this request well.
	atCrash bool
	// endChecked is set if it is still checked whether the endpoint's process crashed at the end of the answer.
	endChecked bool
	// trial is set while the request is the trial of a quarantined prompt part.
	trial bool
	// quarantined is the prompt part that the request was refused for.
	quarantined quarantine.Status
	// heldBody is what is held of the request's body, nil if there is none. memory is what of it counts toward the budget for slow
	// readers, nil if it does not.
	heldBody *bodybudget.Body
	memory   *bytebudget.Account
	// infeasible is set if no endpoint was expected to serve the request in time.
	infeasible *infeasible
	// lostConnection is set if an attempt has ended without the complete response.
	lostConnection bool
	// graceLeft is set if the request could not be answered before the router stops.
	graceLeft *graceLeft
	// hasWaited is set if the request has waited for a place, and waited is for how long.
	hasWaited bool
	waited    time.Duration
	// answer is what is held of the last answer that is not a stream.
	answer heldAnswer
}

// serve processes the request: it decodes it, checks whether it may be served, reads the body, and forwards it to
// endpoints.
func (x *exchange) serve() {
	ctx, span := x.handler.Tracer.Start(x.r.Context(), "request")
	defer span.End()
	x.ctx = ctx
	defer x.releaseMemory()
	p := x.decode()
	if p == nil {
		x.handler.awaitConfiguration(ctx)
		p = x.admit()
	}
	if p == nil {
		p = x.readBody()
	}
	if p == nil {
		// The API key may have been withdrawn while the body was read.
		p = x.admit()
	}
	if p == nil {
		p = x.forward()
	}
	if p != nil {
		x.refuse(p)
	}
}

func (x *exchange) decode() *request.Problem {
	req, err := x.handler.ClientProtocol.Decode(x.r)
	x.request = req
	if err != nil {
		return request.NotRun(request.Malformed, 0)
	}
	if req.InvalidHint {
		x.handler.Metrics.recordInvalidHint()
	}
	return nil
}

const (
	// retrySoon is the retry delay after a refusal that is specific to this router or to this moment.
	retrySoon = 50 * time.Millisecond
	// retryLater is the retry delay while this router waits for data from the store. It is about the time until the
	// router next tries to read it.
	retryLater = 500 * time.Millisecond
)

// admit looks up the route and the client account in the active configuration, and refuses what that does not allow.
func (x *exchange) admit() *request.Problem {
	h := x.handler
	if h.phase.Load() == phaseRefusing {
		return request.NotRun(request.Stopping, retrySoon)
	}
	x.table = h.Configuration.Current()
	if x.table == nil {
		return request.NotRun(request.NoConfiguration, retryLater)
	}
	if limit := x.table.Limits().MaxHeaderBytes; limit > 0 && headerSize(x.r) > limit {
		return request.NotRun(request.HeaderTooLarge, 0)
	}
	fresh := h.Lease.Valid(h.Clock())
	x.route = x.table.Route(x.request.Host, x.request.Path)
	if x.route == nil {
		return staleKeysOr(fresh, request.NotRun(request.UnknownRoute, 0))
	}
	if x.table.RequiresKey() && !x.route.Public {
		x.account = x.table.AccountByKey(x.request.APIKey)
		if !fresh {
			return request.NotRun(request.StaleKeys, retryLater)
		}
		if x.account == nil {
			return request.NotRun(request.UnknownKey, 0)
		}
	}
	x.deadline = x.began.Add(x.timeout())
	return x.checkGrace(time.Now())
}

// staleKeysOr keeps a router whose configuration may be out of date from denying what the newest one may allow.
func staleKeysOr(fresh bool, p *request.Problem) *request.Problem {
	if !fresh {
		return request.NotRun(request.StaleKeys, retryLater)
	}
	return p
}

// timeout returns how long the request may take: the client's timeout, limited to that of the route.
func (x *exchange) timeout() time.Duration {
	d := x.request.Timeout
	if x.route.Timeout > 0 && (d <= 0 || d > x.route.Timeout) {
		d = x.route.Timeout
	}
	if d <= 0 {
		d = defaultTimeout
	}
	return d
}

// defaultTimeout applies if neither the client nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// forward sends the request to endpoints until one of them has answered it.
func (x *exchange) forward() *request.Problem {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeSlack))
	x.service = x.serviceFor()
	p := x.findOrigin()
	if p == nil {
		p = x.checkQuarantine()
		defer x.endTrial()
	}
	x.handler.Retries.RecordFirst(x.service, time.Now())
	if p == nil {
		p = x.checkMemory()
	}
	if p != nil {
		return p
	}
	if x.route.Kind.Streaming() {
		return x.forwardStream()
	}
	return x.forwardPlain()
}

// writeSlack is how long after the deadline a client may take to read the response. A response that is ready is
// delivered late rather than not at all, but a client that has stopped reading must not block the request forever.
const writeSlack = 5 * time.Second

// serviceFor returns the service that serves the request.
func (x *exchange) serviceFor() string {
	if x.service != "" {
		return x.service
	}
	return x.route.ChooseService(routeFraction(x.request.ID))
}

// routeFraction maps a request id to a number in [0, 1), by which requests are distributed over the targets of a route.
func routeFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
