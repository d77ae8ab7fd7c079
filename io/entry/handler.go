package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/answertimes"
	"savoryfall/core/background"
	"savoryfall/core/bodybudget"
	"savoryfall/core/bytebudget"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/freshness"
	"savoryfall/core/origin"
	"savoryfall/core/origintable"
	"savoryfall/core/quarantine"
	"savoryfall/core/request"
	"savoryfall/core/retrylimit"
	"savoryfall/core/routetable"
	"savoryfall/io/clientconn"
	"savoryfall/io/http1"
	"savoryfall/io/origins"
	"savoryfall/io/process"
)

// ClientProtocol implements the protocol of the clients.
type ClientProtocol interface {
	Decode(r *http.Request) (req request.Request, err error)
	EncodeRefusal(p *request.Problem, h http.Header) (status int)
	// GuaranteesNotExecuted reports whether clients take a response with the status as a guarantee that their request was not
	// executed.
	GuaranteesNotExecuted(status int) bool
}

// EndpointProtocol implements the protocol of the endpoints.
type EndpointProtocol interface {
	Encode(client http.Header, s request.EndpointRequest) http.Header
	MatchesRequest(h http.Header, id string) bool
	Decode(status int, h http.Header) request.EndpointResponse
	// ReportTarget is the path at which an engine reports on itself.
	ReportTarget() string
	// DecodeReport returns when the engine's process started, in Unix milliseconds, 0 if the report does not say.
	DecodeReport(status int, body []byte) (born int64)
}

// Configuration provides the active configuration, nil before the first one.
type Configuration interface {
	Current() *routetable.Table
}

// Endpoints are the known endpoints, of which those that are leaving get no new requests.
type Endpoints interface {
	// MarkLeaving records that the process with this entry has answered that it is leaving.
	MarkLeaving(e directory.Entry)
}

// Connections are the connections to endpoints.
type Connections interface {
	// LogFields returns the fields of a log line on a request to the service that could not be connected to any endpoint.
	LogFields(service string) []any
	// RetryAfter returns when this router may reach an endpoint of the service again, 0 if it reaches some now.
	RetryAfter(service string) time.Duration
}

// Origins keeps where streams began, in this router and in others.
type Origins interface {
	// Begin records that a stream is sent to an endpoint. earlier is the placement of the record of an earlier attempt of the
	// same request, nil for the first one.
	Begin(r origintable.Record, earlier *origins.Placement) *origins.Placement
	// EventForwarded records that the first event of a stream is about to be forwarded.
	EventForwarded(r origintable.Record)
	// Settled reports whether the service has had a single software version for a while.
	Settled(service string) bool
	// Find returns where a stream began. ok is false if this is not known.
	Find(q origins.Query) (o origin.Origin, from origins.Source, ok bool)
}

// Config are the dependencies of a Handler.
type Config struct {
	ClientProtocol   ClientProtocol
	EndpointProtocol EndpointProtocol
	Configuration    Configuration
	Lease            *freshness.Lease
	Endpoints        Endpoints
	Origins          Origins
	Dispatcher       *dispatch.Dispatcher
	Retries          *retrylimit.Limiter
	Pool             *http1.Pool
	// Connections is nil if nothing is known of the ways to endpoints.
	Connections Connections
	// Quarantine is what is known of requests and prompt parts under which endpoints crashed. It may be nil.
	Quarantine *quarantine.Table
	// Dial opens a connection of its own to the address of an endpoint. It defaults to http1.DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Bodies is the budget of the bytes that are held of request bodies. It defaults to one without a limit.
	Bodies *bodybudget.Budget
	// Answers is the budget of the bytes that are held of endpoints' answers before they are passed on. It may be nil.
	Answers *bytebudget.Budget
	// Memory is the budget of the bytes that are held for slow readers. It may be nil. ConnectionBytes returns how many of them
	// may be held for one, and is set if Memory is.
	Memory          *bytebudget.Budget
	ConnectionBytes func() int64
	Tracer          trace.Tracer
	Metrics         *Metrics
	Logger          log.Logger
	// Clock returns the time since boot, including time in which the VM was suspended.
	Clock func() time.Duration
	// MaxWait is how long a request may wait for a place where overload control is active, and MaxWaiting how many may wait.
	// With either at 0 none may.
	MaxWait    time.Duration
	MaxWaiting int
}

// Handler is the HTTP handler for client requests.
type Handler struct {
	Config
	phase atomic.Int32
	// answersEnd is when the last answers must be given because the router stops, nil while it does not.
	answersEnd atomic.Pointer[time.Time]
	// ended is done from then on, by end.
	ended context.Context
	end   context.CancelFunc
	// answerTimes are how long answers of endpoints take.
	answerTimes answertimes.History
	open        atomic.Int64
	began       time.Time
	// processes finds out whether processes of endpoints have ended.
	processes process.Checker
	stated    statedTimes
	waiters   waiters
	// overShareLoggedAt is when the accounts beyond their share were last logged, by service.
	overShareLoggedAt sync.Map
}

// The phases of a Handler. While draining, it still serves requests, because the load balancer and open connections
// deliver them for some time. Then it refuses new requests, so that those already started can finish in time.
const (
	phaseServing int32 = iota
	phaseDraining
	phaseRefusing
)

// New creates a Handler.
func New(c Config) *Handler {
	if c.Quarantine == nil {
		c.Quarantine = &quarantine.Table{}
	}
	if c.Bodies == nil {
		c.Bodies = &bodybudget.Budget{}
	}
	if c.Dial == nil {
		c.Dial = http1.DialTCP
	}
	h := &Handler{Config: c, began: time.Now()}
	h.ended, h.end = context.WithCancel(context.Background())
	h.SetWaitLimits(c.MaxWait, c.MaxWaiting)
	if c.Dispatcher != nil {
		c.Dispatcher.SetOnCapacity(h.waiters.onCapacity)
	}
	return h
}

const (
	// startupPeriod is how long after its start a process may still be without a configuration: it either receives one
	// within a few hundred milliseconds or cannot receive one.
	startupPeriod = time.Second
	// maxStartupWait limits how long a request waits for the configuration, and startupPollPeriod is how often it
	// checks.
	maxStartupWait    = 250 * time.Millisecond
	startupPollPeriod = 5 * time.Millisecond
)

// logEndedPauses logs the endpoints that may get requests again after a pause.
func (h *Handler) logEndedPauses(now time.Time) {
	for _, p := range h.Dispatcher.EndedPauses(now) {
		_ = h.Logger.Log(field.Event, event.EndpointResumed, field.Endpoint, p.Endpoint.ID, field.Service, p.Endpoint.Service, field.Born, p.Endpoint.Born,
			field.AfterMs, p.Duration.Milliseconds(), field.Refusals, p.Refusals)
	}
}

// logSpeeds logs the endpoints of which this router believes another speed than before, and those whose reports it distrusts.
func (h *Handler) logSpeeds(now time.Time) {
	for _, s := range h.Dispatcher.SpeedNotices(now) {
		_ = h.Logger.Log(field.Event, event.EndpointSpeed, field.Endpoint, s.Endpoint.ID, field.Service, s.Endpoint.Service, field.Born, s.Endpoint.Born,
			field.Factor, rounded(s.Factor), field.Lasting, rounded(s.Lasting), field.AgeMs, s.Age.Milliseconds(), field.Distrusted, s.Distrusted)
	}
}

func rounded(factor float64) string { return strconv.FormatFloat(factor, 'f', 2, 64) }

// awaitConfiguration delays a request while a process that has just started has no configuration. Routers that restart
// together receive requests before any of them has one. Clients that were told to retry were then served late, or used
// their last attempt on another router that had no configuration either.
func (h *Handler) awaitConfiguration(ctx context.Context) {
	until := time.Now().Add(maxStartupWait)
	for h.Configuration.Current() == nil && time.Since(h.began) < startupPeriod && time.Now().Before(until) && ctx.Err() == nil {
		background.Sleep(ctx, startupPollPeriod, nil)
	}
}

// SetUnready makes the handler report that it is not ready, and asks clients to close their connections after the next
// response.
func (h *Handler) SetUnready() { h.phase.CompareAndSwap(phaseServing, phaseDraining) }

// RefuseNew refuses further requests, and those that wait for a place.
func (h *Handler) RefuseNew() {
	h.phase.Store(phaseRefusing)
	h.waiters.close()
}

// stopping reports whether the router has been told to stop.
func (h *Handler) stopping() bool {
	return h.phase.Load() != phaseServing || h.answersEnd.Load() != nil
}

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.open.Load() }

// maxReadyAge is the age of the last read of the configuration from which on the handler reports that it is not ready.
// The load balancer takes about two seconds to react, and by then the configuration may hardly be used any longer.
const maxReadyAge = 3200 * time.Millisecond

// Ready reports whether the load balancer should send new clients.
func (h *Handler) Ready() bool {
	age, known := h.Lease.Age(h.Clock())
	return h.phase.Load() == phaseServing && known && age < maxReadyAge && h.Configuration.Current() != nil
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	x := &exchange{handler: h, w: w, r: r, began: time.Now(), conn: clientconn.FromContext(r.Context())}
	x.serve()
}
