package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/account"
	"savoryfall/core/activeconfig"
	"savoryfall/core/decision"
	"savoryfall/core/header"
	"savoryfall/core/outcome"
	"savoryfall/core/quarantine"
	"savoryfall/io/tracing"
)

// exchange is one client request, from its arrival to the last byte of its response.
type exchange struct {
	server         *Server
	w              http.ResponseWriter
	r              *http.Request
	ctx            context.Context
	cancel         context.CancelFunc
	span           trace.Span
	requestID      string
	startedAt      time.Time
	config         *activeconfig.Configuration
	account        account.Account
	body           *requestBody
	decision       *decision.Decision
	firstByteAfter time.Duration
	abort          bool
	// identifyingBody is the body that identifies the request with the rest, nil if it is not kept. identityHash is the hash, 0 before it
	// is known.
	identifyingBody []byte
	identityHash    uint64
	// crashes are those of endpoints under the request. trial is set while it is the trial of a quarantined one.
	crashes []quarantine.Crash
	trial   bool
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) (x *exchange) {
	x = &exchange{server: s, w: w, r: r, requestID: uuid.NewString(), startedAt: time.Now(), config: s.Configuration.Current()}
	ctx := tracing.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, x.span = s.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", x.requestID), attribute.String("path", r.URL.Path)))
	x.ctx, x.cancel = context.WithTimeout(ctx, s.timeout(r))
	x.decision = &decision.Decision{Request: x.requestID, At: x.startedAt}
	x.body = newRequestBody(w, r, s.Callers.MaxBodyBytes(), s.Callers.BodyTimeout())
	w.Header().Set(header.Request, x.requestID)
	return x
}

// end writes one log line, ends the span and stores the decision.
func (x *exchange) end() {
	x.cancel()
	x.body.end()
	d, s := x.decision, x.server
	elapsed := time.Since(x.startedAt)
	x.span.SetAttributes(attribute.Int("status", d.Status), attribute.String("outcome", string(d.Outcome)))
	x.span.End()
	s.Decisions.Add(d)
	s.requestMetrics.observe(d.Status, d.Outcome, elapsed)
	_ = s.Logger.Log("event", "request", "request", x.requestID, "account", d.Account, "pool", d.Pool,
		"endpoint", lastEndpoint(d), "attempts", len(d.Attempts), "status", d.Status, "outcome", d.Outcome,
		"firstMs", x.firstByteAfter.Milliseconds(), "ms", elapsed.Milliseconds(), "problem", d.Problem)
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

func lastEndpoint(d *decision.Decision) string {
	if len(d.Attempts) == 0 {
		return ""
	}
	return d.Attempts[len(d.Attempts)-1].Endpoint
}

// fail responds to the client with the problem, without waiting for the rest of the request body.
func (x *exchange) fail(p *problem) {
	x.recordResult(p.status, p.outcome, p.message)
	x.server.setConnectionClose(x.w.Header())
	x.body.discard()
	p.write(x.w, x.requestID)
}

// recordResult records what was reported to the client.
func (x *exchange) recordResult(status int, reported outcome.Outcome, problem string) {
	x.decision.Status, x.decision.Outcome, x.decision.Problem = status, reported, problem
}

// authenticate finds the client account by the digest of its bearer key.
func (x *exchange) authenticate() (p *problem) {
	if !x.server.Configuration.Ready() {
		return unavailable("this router has no configuration yet", outcome.NotRun)
	}
	key, found := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return invalidKey()
	}
	a, known := x.config.AccountByKeyDigest(account.DigestKey(key))
	if !known {
		return invalidKey()
	}
	x.account = a
	x.decision.Account = a.Name()
	return nil
}

// readBody reads the whole body, limited in size and time.
func (x *exchange) readBody() (body []byte, p *problem) {
	body, err := io.ReadAll(x.body)
	if err != nil {
		return nil, x.bodyProblem(err)
	}
	return body, nil
}

func (x *exchange) bodyProblem(err error) *problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bodyTooLarge(large.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return bodyTimeout(outcome.NotRun)
	}
	return malformed("body", "the body broke off: "+err.Error())
}

// admit waits until the admission queue admits the request.
func (x *exchange) admit(pool string) (release func(), p *problem) {
	x.decision.Pool = pool
	ctx, span := x.server.Tracer.Start(x.ctx, "admission")
	defer span.End()
	start := time.Now()
	release, err := x.server.Admission.Acquire(ctx, x.account.Name(), x.account.Weight(), pool)
	x.decision.WaitedMs = time.Since(start).Milliseconds()
	if err == nil {
		return release, nil
	}
	var shed interface{ RetryAfter() time.Duration }
	if errors.As(err, &shed) {
		return nil, overloaded(err.Error(), shed.RetryAfter())
	}
	return nil, x.contextProblem(outcome.NotRun)
}

// contextProblem returns the problem that corresponds to the end of the request's context.
func (x *exchange) contextProblem(result outcome.Outcome) *problem {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return deadlineExceeded(result)
	}
	return &problem{
		status: statusClientClosedRequest, kind: kindServer, code: "caller_gone", message: "the caller has gone", outcome: result,
	}
}

// statusClientClosedRequest is never sent to a client; it appears only in the log.
const statusClientClosedRequest = 499

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	x := s.newExchange(w, r)
	defer x.end()
	if p := x.authenticate(); p != nil {
		x.fail(p)
		return
	}
	x.recordResult(http.StatusOK, outcome.Ran, "")
	s.setConnectionClose(w.Header())
	x.body.discard()
	writeModels(w, x.config.Models())
}
