package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/ask"
	"savoryfall/core/routetable"
	"savoryfall/io/clientconn"
)

// exchange is one request on its way.
type exchange struct {
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	began    time.Time
	deadline time.Time
	ask      ask.Ask
	table    *routetable.Table
	route    *routetable.Route
	account  *routetable.Account
	service  string
	conn     *clientconn.Conn
	body     []byte
	bodyRead bool
	tried    []string
	sends    int
}

// serve takes the request through its steps: what is asked, may it be served, its body, where and how it is answered.
func (x *exchange) serve() {
	ctx, span := x.front.Tracer.Start(x.r.Context(), "request")
	defer span.End()
	x.ctx = ctx
	p := x.decode()
	if p == nil {
		x.front.awaitStart(ctx)
		p = x.admit()
	}
	if p == nil {
		p = x.readBody()
	}
	if p == nil {
		// The body may have taken a while, in which the key may have been withdrawn.
		p = x.admit()
	}
	if p == nil {
		p = x.answer()
	}
	if p != nil {
		x.refuse(p)
	}
}

func (x *exchange) decode() *ask.Problem {
	a, err := x.front.Clients.Decode(x.r)
	x.ask = a
	if err != nil {
		return ask.NotRun(ask.Malformed, 0)
	}
	return nil
}

const (
	// backSoon is when to come back after a refusal that another router, or the next moment, may not repeat.
	backSoon = 50 * time.Millisecond
	// backLater is when to come back while this router waits for the store: about the time of its next tries.
	backLater = 500 * time.Millisecond
)

// admit finds the route and the client account by the configuration in force, and refuses what it does not allow.
func (x *exchange) admit() *ask.Problem {
	f := x.front
	if f.phase.Load() == closing {
		return ask.NotRun(ask.Stopping, backSoon)
	}
	x.table = f.Configuration.Current()
	if x.table == nil {
		return ask.NotRun(ask.NoConfiguration, backLater)
	}
	if limit := x.table.Limits().MaxHeader; limit > 0 && headerSize(x.r) > limit {
		return ask.NotRun(ask.HeaderTooLarge, 0)
	}
	fresh := f.Lease.Valid(f.Clock())
	x.route = x.table.Route(x.ask.Host, x.ask.Path)
	if x.route == nil {
		return staleOr(fresh, ask.NotRun(ask.UnknownRoute, 0))
	}
	if x.table.Keyed() && !x.route.Public {
		x.account = x.table.Account(x.ask.Key)
		if !fresh {
			return ask.NotRun(ask.StaleKeys, backLater)
		}
		if x.account == nil {
			return ask.NotRun(ask.UnknownKey, 0)
		}
	}
	x.deadline = x.began.Add(x.patience())
	return nil
}

// staleOr keeps a router that has not heard of the newest configuration from denying what that one may allow.
func staleOr(fresh bool, p *ask.Problem) *ask.Problem {
	if !fresh {
		return ask.NotRun(ask.StaleKeys, backLater)
	}
	return p
}

// patience is how long the request may take: as long as the client waits, and no longer than its route allows.
func (x *exchange) patience() time.Duration {
	d := x.ask.Patience
	if x.route.Timeout > 0 && (d <= 0 || d > x.route.Timeout) {
		d = x.route.Timeout
	}
	if d <= 0 {
		d = usualPatience
	}
	return d
}

// usualPatience bounds requests for which neither client nor route says how long they may take.
const usualPatience = 30 * time.Second

// usualBody bounds bodies in bytes until a configuration says so.
const usualBody = 4 << 20

// readBody reads the whole body, so that an attempt can be repeated and the client's leaving is noticed.
func (x *exchange) readBody() *ask.Problem {
	limit := x.table.Limits().MaxBody
	if limit <= 0 {
		limit = usualBody
	}
	if x.r.ContentLength > limit {
		return ask.NotRun(ask.BodyTooLarge, 0)
	}
	if !x.hasBody() {
		return nil
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	x.bodyRead = err == nil
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ask.NotRun(ask.BodyTooLarge, 0)
	case isTimeout(err):
		return ask.NotRun(ask.BodySlow, 0)
	case err != nil:
		return ask.NotRun(ask.Malformed, 0)
	}
	x.body = body
	return nil
}

func (x *exchange) hasBody() bool { return x.r.Body != nil && x.r.Body != http.NoBody }

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// answer sends the request to endpoints until one has answered it.
func (x *exchange) answer() *ask.Problem {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeSlack))
	x.service = x.route.Target(draw(x.ask.ID))
	x.front.Retries.First(x.service, time.Now())
	if x.route.Kind.Streaming() {
		return x.stream()
	}
	return x.plain()
}

// writeSlack is how much longer than the deadline a client may take to read an answer: a ready answer is delivered
// late rather than not at all, but a client that has stopped reading must not hold the request for ever.
const writeSlack = 5 * time.Second

// draw spreads requests over the targets of a route by their id.
func draw(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
