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

	"savoryfall/core/activeconfig"
	"savoryfall/core/claim"
	"savoryfall/core/decision"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/overflow"
	"savoryfall/core/placement"
	"savoryfall/core/quarantine"
	"savoryfall/core/retrybudget"
	"savoryfall/core/settings"
	"savoryfall/core/ticket"
	"savoryfall/core/tokens"
	"savoryfall/io/endpoint"
	"savoryfall/io/process"
)

// Configuration provides the configuration in force.
type Configuration interface {
	Current() *activeconfig.Configuration
	Ready() bool
}

// Endpoints sends attempts to endpoints.
type Endpoints interface {
	Do(ctx context.Context, call endpoint.Call) (resp *http.Response, err error)
}

// Admission queues requests until they are admitted.
type Admission interface {
	Acquire(ctx context.Context, account string, weight float64, pool string) (leave func(), err error)
}

// Claims ensures that a request that must not be repeated runs at most once.
type Claims interface {
	Claim(ctx context.Context, c claim.Request) (g claim.Grant, err error)
	Settle(ctx context.Context, g claim.Grant, result claim.Result)
}

// Config are the dependencies and settings of a Server.
type Config struct {
	Configuration Configuration
	Endpoints     Endpoints
	Admission     Admission
	Claims        Claims
	Ledger        *ledger.Ledger
	Health        *health.Table
	Policy        placement.Policy
	Tickets       *ticket.Signer
	Overflow      *overflow.Table
	// Quarantine is what is known of requests under which endpoints crashed.
	Quarantine *quarantine.Table
	Tokens     *tokens.Estimator
	CacheValue *tokens.CacheValue
	Retries    *retrybudget.Budget
	Decisions  *decision.Log
	Tracer     trace.Tracer
	Metrics    *metrics.Set
	Logger     log.Logger
	Callers    settings.Callers
	Limits     settings.Limits
}

// Server serves the requests of clients.
type Server struct {
	Config
	draining       atomic.Bool
	requestMetrics requestMetrics
	processes      process.Checker
}

// New returns a server that uses the given dependencies and settings.
func New(c Config) *Server {
	return &Server{Config: c, requestMetrics: newRequestMetrics(c.Metrics)}
}

// Handler returns the HTTP handler; requests that match no route go to the plain services.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.SkipClean(true)
	m.HandleFunc("/v1/chat/completions", s.completions).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", s.serveModels).Methods(http.MethodGet)
	m.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet)
	m.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.servePlain)
	return m
}

// Drain makes the readiness check fail, so that the load balancer sends no more clients. Requests that still arrive
// are served, and their clients are asked to close their connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether this router is stopping.
func (s *Server) Draining() bool { return s.draining.Load() }

// setConnectionClose asks the client to close its connection if this router is stopping. Otherwise the router would
// close the connection, possibly while the client's next request is on its way.
func (s *Server) setConnectionClose(h http.Header) {
	if s.Draining() {
		h.Set("Connection", "close")
	}
}

// discardBody prepares a response that doesn't need the request body.
func (s *Server) discardBody(w http.ResponseWriter, r *http.Request) {
	s.setConnectionClose(w.Header())
	newRequestBody(w, r, s.Callers.MaxBodyBytes(), s.Callers.BodyTimeout()).end()
}

func (s *Server) healthz(w http.ResponseWriter, r *http.Request) {
	s.discardBody(w, r)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	s.discardBody(w, r)
	switch {
	case s.Draining():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !s.Configuration.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// timeout returns the timeout that the client has requested, limited by the setting.
func (s *Server) timeout(r *http.Request) time.Duration {
	requested, err := time.ParseDuration(r.Header.Get(headerDeadline) + "ms")
	if err != nil || requested <= 0 || requested > s.Limits.Deadline() {
		return s.Limits.Deadline()
	}
	return requested
}
