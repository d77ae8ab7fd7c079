package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/ask"
	"savoryfall/core/background"
	"savoryfall/core/dispatch"
	"savoryfall/core/freshness"
	"savoryfall/core/retryshare"
	"savoryfall/core/routetable"
	"savoryfall/io/clientconn"
	"savoryfall/io/http1"
)

// Clients is the protocol of the clients.
type Clients interface {
	Decode(r *http.Request) (a ask.Ask, err error)
	Refuse(p *ask.Problem, h http.Header) (status int)
}

// Endpoints is the protocol of the endpoints.
type Endpoints interface {
	Encode(client http.Header, s ask.Sending) http.Header
	Answers(h http.Header, id string) bool
	Decode(status int, h http.Header) ask.Reply
}

// Configuration gives what is in force, nil before the first.
type Configuration interface {
	Current() *routetable.Table
}

// Parts are the services that the front works with.
type Parts struct {
	Clients       Clients
	Endpoints     Endpoints
	Configuration Configuration
	Lease         *freshness.Lease
	Dispatcher    *dispatch.Dispatcher
	Retries       *retryshare.Share
	Pool          *http1.Pool
	Tracer        trace.Tracer
	Figures       *Figures
	Logger        log.Logger
	// Clock is the time since boot, suspension included.
	Clock func() time.Duration
}

// Front is the handler of client requests.
type Front struct {
	Parts
	phase atomic.Int32
	open  atomic.Int64
	began time.Time
}

// The phases of a front's life. While leaving, it still takes requests, because the balancer and open connections
// bring them for some time; while closing, it refuses them, so that what it has begun can end in time.
const (
	serving int32 = iota
	leaving
	closing
)

// New makes a front.
func New(p Parts) *Front { return &Front{Parts: p, began: time.Now()} }

const (
	// startTime is for how long a process counts as starting: it is told the configuration within some hundred milliseconds,
	// or cannot be.
	startTime = time.Second
	// startWait is how long a request waits for that at most, startLook how often it looks.
	startWait = 250 * time.Millisecond
	startLook = 5 * time.Millisecond
)

// awaitStart lets a request wait for the configuration of a process that has just started. All routers that start again
// together are asked before they know one; told to come back, clients came back late, or for their last try to another router
// that knew none either.
func (f *Front) awaitStart(ctx context.Context) {
	until := time.Now().Add(startWait)
	for f.Configuration.Current() == nil && time.Since(f.began) < startTime && time.Now().Before(until) && ctx.Err() == nil {
		background.Pause(ctx, startLook, nil)
	}
}

// Leave makes the front unready and asks clients to go elsewhere after each answer.
func (f *Front) Leave() { f.phase.CompareAndSwap(serving, leaving) }

// Close refuses further requests.
func (f *Front) Close() { f.phase.Store(closing) }

// Open is how many requests are being served.
func (f *Front) Open() int64 { return f.open.Load() }

// readyAge is the age of the configuration's last read from which on the front asks for no new clients: the balancer
// takes about two seconds to notice, and by then the right to serve by it is nearly over.
const readyAge = 3200 * time.Millisecond

// Ready tells whether new clients are welcome.
func (f *Front) Ready() bool {
	age, known := f.Lease.Age(f.Clock())
	return f.phase.Load() == serving && known && age < readyAge && f.Configuration.Current() != nil
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	x := &exchange{front: f, w: w, r: r, began: time.Now(), conn: clientconn.Of(r.Context())}
	x.serve()
}
