package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/claim"
	"savoryfall/core/decision"
	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/ledger"
	"savoryfall/core/placement"
	"savoryfall/core/retry"
	"savoryfall/core/settings"
	"savoryfall/core/spills"
	"savoryfall/core/ticket"
	"savoryfall/core/tokens"
	"savoryfall/io/endpoint"
)

// Configuration gives what is in force.
type Configuration interface {
	Current() *inforce.Configuration
	Ready() bool
}

// Endpoints makes attempts.
type Endpoints interface {
	Do(ctx context.Context, call endpoint.Call) (resp *http.Response, err error)
}

// Admission lets requests in, in their turn.
type Admission interface {
	Enter(ctx context.Context, account string, weight float64, pool string) (leave func(), err error)
}

// Claims makes sure that a call that may not be repeated runs at most once.
type Claims interface {
	Claim(ctx context.Context, c claim.Request) (g claim.Grant, err error)
	Settle(ctx context.Context, g claim.Grant, result claim.Result)
}

// Parts are the services that the front works with.
type Parts struct {
	Configuration Configuration
	Endpoints     Endpoints
	Admission     Admission
	Claims        Claims
	Ledger        *ledger.Ledger
	Health        *health.Table
	Policy        placement.Policy
	Tickets       *ticket.Sealer
	Spills        *spills.Table
	Tokens        *tokens.Estimator
	Worth         *tokens.Worth
	Retries       *retry.Budget
	Decisions     *decision.Ring
	Tracer        trace.Tracer
	Metrics       *metrics.Set
	Logger        log.Logger
	Callers       settings.Callers
	Limits        settings.Limits
}

// Front is the part of a router that callers reach.
type Front struct {
	Parts
	draining atomic.Bool
	figures  figures
}

// New makes a front of its parts.
func New(p Parts) *Front {
	return &Front{Parts: p, figures: newFigures(p.Metrics)}
}

// Handler serves callers; what no route names goes to the plain services.
func (f *Front) Handler() http.Handler {
	m := mux.NewRouter()
	m.SkipClean(true)
	m.HandleFunc("/v1/chat/completions", f.completions).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", f.models).Methods(http.MethodGet)
	m.HandleFunc("/healthz", f.alive).Methods(http.MethodGet)
	m.HandleFunc("/readyz", f.readyz).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(f.plain)
	return m
}

// Drain fails the readiness check, so that the balancer sends no more callers; what comes all the same is served, and its
// callers are asked to leave their connections.
func (f *Front) Drain() { f.draining.Store(true) }

// Draining tells whether this router is stopping.
func (f *Front) Draining() bool { return f.draining.Load() }

// closing asks the caller to leave its connection when this router is stopping: one that stayed would meet the end of the
// connection, perhaps with its next request on the way.
func (f *Front) closing(h http.Header) {
	if f.Draining() {
		h.Set("Connection", "close")
	}
}

// unasked answers without a look at the body.
func (f *Front) unasked(w http.ResponseWriter, r *http.Request) {
	f.closing(w.Header())
	newCallerBody(w, r, f.Callers.MaxBody(), f.Callers.BodyTimeout()).end()
}

func (f *Front) alive(w http.ResponseWriter, r *http.Request) {
	f.unasked(w, r)
	w.WriteHeader(http.StatusOK)
}

func (f *Front) readyz(w http.ResponseWriter, r *http.Request) {
	f.unasked(w, r)
	switch {
	case f.Draining():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !f.Configuration.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// deadline is the caller's own, bounded by the setting.
func (f *Front) deadline(r *http.Request) time.Duration {
	ms, err := time.ParseDuration(r.Header.Get(headerDeadline) + "ms")
	if err != nil || ms <= 0 || ms > f.Limits.Deadline() {
		return f.Limits.Deadline()
	}
	return ms
}
