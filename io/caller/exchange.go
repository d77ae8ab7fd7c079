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
	"savoryfall/core/decision"
	"savoryfall/core/header"
	"savoryfall/core/inforce"
	"savoryfall/core/outcome"
	"savoryfall/io/tracing"
)

// exchange is one request of a caller from its arrival to its last byte.
type exchange struct {
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	cancel   context.CancelFunc
	span     trace.Span
	id       string
	began    time.Time
	config   *inforce.Configuration
	account  account.Account
	body     *callerBody
	decision *decision.Decision
	first    time.Duration
	cut      bool
}

func (f *Front) begin(w http.ResponseWriter, r *http.Request) (x *exchange) {
	x = &exchange{front: f, w: w, r: r, id: uuid.NewString(), began: time.Now(), config: f.Configuration.Current()}
	ctx := tracing.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, x.span = f.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", x.id), attribute.String("path", r.URL.Path)))
	x.ctx, x.cancel = context.WithTimeout(ctx, f.deadline(r))
	x.decision = &decision.Decision{Request: x.id, At: x.began}
	x.body = newCallerBody(w, r, f.Callers.MaxBody(), f.Callers.BodyTimeout())
	w.Header().Set(header.Request, x.id)
	return x
}

// end leaves one log line, one span and one decision behind.
func (x *exchange) end() {
	x.cancel()
	x.body.end()
	d, f := x.decision, x.front
	took := time.Since(x.began)
	x.span.SetAttributes(attribute.Int("status", d.Status), attribute.String("outcome", string(d.Told)))
	x.span.End()
	f.Decisions.Add(d)
	f.figures.request(d.Status, d.Told, took)
	_ = f.Logger.Log("event", "request", "request", x.id, "account", d.Account, "pool", d.Pool,
		"endpoint", lastEndpoint(d), "attempts", len(d.Attempts), "status", d.Status, "outcome", d.Told,
		"firstMs", x.first.Milliseconds(), "ms", took.Milliseconds(), "problem", d.Problem)
	if x.cut {
		panic(http.ErrAbortHandler)
	}
}

func lastEndpoint(d *decision.Decision) string {
	if len(d.Attempts) == 0 {
		return ""
	}
	return d.Attempts[len(d.Attempts)-1].Endpoint
}

// fail tells the caller, at once, that the request is given up.
func (x *exchange) fail(p *problem) {
	x.told(p.status, p.outcome, p.message)
	x.front.closing(x.w.Header())
	x.body.giveUp()
	p.write(x.w, x.id)
}

func (x *exchange) told(status int, told outcome.Outcome, problem string) {
	x.decision.Status, x.decision.Told, x.decision.Problem = status, told, problem
}

// authenticate finds the client account by the digest of its bearer key.
func (x *exchange) authenticate() (p *problem) {
	if !x.front.Configuration.Ready() {
		return unavailable("this router has no configuration yet", outcome.NotRun)
	}
	key, found := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return wrongKey()
	}
	a, known := x.config.Account(account.Digest(key))
	if !known {
		return wrongKey()
	}
	x.account = a
	x.decision.Account = a.Name()
	return nil
}

// readBody reads the whole body, bounded in bytes and in time.
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
		return tooLarge(large.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return slowBody(outcome.NotRun)
	}
	return malformed("body", "the body broke off: "+err.Error())
}

// enter waits for the request's turn.
func (x *exchange) enter(pool string) (leave func(), p *problem) {
	x.decision.Pool = pool
	ctx, span := x.front.Tracer.Start(x.ctx, "admission")
	defer span.End()
	began := time.Now()
	leave, err := x.front.Admission.Enter(ctx, x.account.Name(), x.account.Weight(), pool)
	x.decision.WaitedMs = time.Since(began).Milliseconds()
	if err == nil {
		return leave, nil
	}
	var shed interface{ RetryAfter() time.Duration }
	if errors.As(err, &shed) {
		return nil, overloaded(err.Error(), shed.RetryAfter())
	}
	return nil, x.interrupted(outcome.NotRun)
}

// interrupted says why the context has ended.
func (x *exchange) interrupted(told outcome.Outcome) *problem {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return timedOut(told)
	}
	return &problem{
		status: statusCallerGone, kind: kindServer, code: "caller_gone", message: "the caller has gone", outcome: told,
	}
}

// statusCallerGone is never seen by a caller; it marks the log line.
const statusCallerGone = 499

func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	x := f.begin(w, r)
	defer x.end()
	if p := x.authenticate(); p != nil {
		x.fail(p)
		return
	}
	x.told(http.StatusOK, outcome.Ran, "")
	f.closing(w.Header())
	x.body.giveUp()
	writeModels(w, x.config.Models())
}
