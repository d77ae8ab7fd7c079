package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryfall/core/claim"
	"savoryfall/core/decision"
	"savoryfall/core/header"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/io/endpoint"
)

// replayBytes is how much of a body is held back, so that a call can be sent again.
const replayBytes = 64 << 10

// maxRecorded bounds the answer that is kept with the outcome of a claimed call.
const maxRecorded = 64 << 10

// plainCall is one call of a plain service.
type plainCall struct {
	x          *exchange
	pool       string
	repeatable bool
	head       []byte
	rest       io.Reader
	length     int64
	exclude    []string
	grant      *claim.Grant
}

func (f *Front) plain(w http.ResponseWriter, r *http.Request) {
	x := f.begin(w, r)
	defer x.end()
	if p := x.authenticate(); p != nil {
		x.fail(p)
		return
	}
	s, known := x.config.Service(r.URL.Path)
	if !known {
		x.fail(unknownPath(r.URL.Path))
		return
	}
	c := &plainCall{x: x, pool: ledger.PoolOfService(s.Name()), repeatable: s.Repeatable(r.Method, r.URL.Path)}
	leave, p := x.enter(c.pool)
	if p != nil {
		x.fail(p)
		return
	}
	defer leave()
	p = c.prepare()
	if p != nil {
		x.fail(p)
		return
	}
	c.run()
}

// prepare reads the body as far as the call needs it: whole for a claim, else what may be sent again.
func (c *plainCall) prepare() (p *problem) {
	if !c.repeatable && c.x.r.Header.Get(header.Idempotency) != "" {
		c.head, p = c.x.readBody()
		c.length = int64(len(c.head))
		return p
	}
	head, err := io.ReadAll(io.LimitReader(c.x.body, replayBytes))
	if err != nil {
		return c.x.bodyProblem(err)
	}
	c.head, c.length = head, c.x.r.ContentLength
	if len(head) == replayBytes {
		c.rest = c.x.body
		return nil
	}
	c.length = int64(len(head))
	return nil
}

func (c *plainCall) run() {
	if !c.repeatable && c.x.r.Header.Get(header.Idempotency) != "" {
		c.runClaimed()
		return
	}
	p := c.tryAll(c.forward)
	if p != nil {
		c.x.fail(p)
	}
}

// tryAll makes attempts until one is answered. After the first byte was sent, only what may be repeated is.
func (c *plainCall) tryAll(take func(*http.Response) *problem) (p *problem) {
	f := c.x.front
	f.Retries.First(c.pool)
	for {
		p = c.attempt(take)
		if p == nil || !c.mayRetry(p) {
			return p
		}
		f.figures.retries.Inc()
	}
}

func (c *plainCall) mayRetry(p *problem) bool {
	safe := p.outcome == outcome.NotRun || c.repeatable && p.outcome == outcome.Unknown
	return safe && c.rest == nil && c.x.mayRetry(c.pool, len(c.exclude), p)
}

func (c *plainCall) attempt(take func(*http.Response) *problem) (p *problem) {
	x, f := c.x, c.x.front
	at, _, ok := x.place(ledger.Query{Pool: c.pool, Key: xxhash.Sum64String(x.id), Tokens: 1, Exclude: c.exclude})
	if !ok {
		at.Outcome = outcome.NotRun
		return unavailable("no endpoint of "+c.pool+" takes new work", outcome.NotRun)
	}
	c.exclude = append(c.exclude, at.Endpoint)
	f.figures.attempts.Inc()
	flight := f.Ledger.Send(at.Endpoint, 1)
	defer flight.End()
	began := time.Now()
	p = c.send(at, take)
	closeAttempt(at, began, p)
	return p
}

func (c *plainCall) send(at *decision.Attempt, take func(*http.Response) *problem) (p *problem) {
	x, f := c.x, c.x.front
	ctx, span := f.Tracer.Start(x.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", at.Endpoint), attribute.String("attempt", at.ID)))
	defer span.End()
	// The pause of a claimant ends here at the latest: after the claim has lapsed, others take it for lost, and what
	// is sent now would run at a time that nobody vouches for.
	if c.grant != nil && c.grant.Expired(time.Now()) {
		return unavailable("the claim lapsed before the call was sent", outcome.NotRun)
	}
	resp, err := f.Endpoints.Do(ctx, c.call(at))
	if err != nil {
		return x.problemOf(err)
	}
	x.body.answer()
	defer resp.Body.Close()
	return take(resp)
}

func (c *plainCall) call(at *decision.Attempt) endpoint.Call {
	e, _ := c.x.config.Endpoint(at.Endpoint)
	r := c.x.r
	h := r.Header.Clone()
	dropHopHeaders(h)
	h.Del("Authorization")
	h.Set("Savoryfall-Account", c.x.account.Name())
	body := io.Reader(bytes.NewReader(c.head))
	if c.rest != nil {
		body = io.MultiReader(body, c.rest)
	}
	return endpoint.Call{
		Endpoint: e.Name(), Address: e.Address(), Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: h, Body: body, Length: c.length, Request: c.x.id, Attempt: at.ID, Echoes: e.Echoes(),
		NotRepeatable: !c.repeatable,
	}
}

// hopHeaders are about one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func dropHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// forward streams an answer to the caller. When it breaks off, the connection is cut, so that the caller cannot take
// what arrived for the whole.
func (c *plainCall) forward(resp *http.Response) (p *problem) {
	x := c.x
	x.first = time.Since(x.began)
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	dropHopHeaders(h)
	for _, name := range []string{header.Attempt, header.Load} {
		h.Del(name)
	}
	h.Set(header.Request, x.id)
	h.Set(header.Outcome, string(outcome.Ran))
	x.front.closing(h)
	x.w.WriteHeader(resp.StatusCode)
	x.told(resp.StatusCode, outcome.Ran, "")
	err := copyFlushing(x.w, resp.Body)
	if err != nil {
		x.told(resp.StatusCode, outcome.Unknown, "the answer broke off: "+err.Error())
		x.cut = true
	}
	return nil
}

const copyBuffer = 16 << 10

func copyFlushing(w http.ResponseWriter, r io.Reader) (err error) {
	flush := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, readErr := r.Read(buf)
		if n > 0 {
			if _, err = w.Write(buf[:n]); err != nil {
				return err
			}
			_ = flush.Flush()
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// digestBytes is how much of a body's digest tells requests under one key apart.
const digestBytes = 16

// runClaimed sends the call under a claim, or tells the recorded outcome of the call that came before.
func (c *plainCall) runClaimed() {
	x := c.x
	sum := sha256.Sum256(append([]byte(x.r.Method+" "+x.r.URL.RequestURI()+"\x00"), c.head...))
	created, _ := time.Parse(time.RFC3339, x.r.Header.Get(header.KeyCreated))
	ctx, span := x.front.Tracer.Start(x.ctx, "claim")
	g, err := x.front.Claims.Claim(ctx, claim.Request{
		Account: x.account.Name(), Key: x.r.Header.Get(header.Idempotency), Digest: hex.EncodeToString(sum[:digestBytes]),
		Attempt: x.id, Created: created,
	})
	span.End()
	if err != nil {
		x.fail(claimProblem(err))
		return
	}
	if g.Recorded != nil {
		x.replay(g.Recorded)
		return
	}
	c.grant = &g
	var result claim.Result
	p := c.tryAll(func(resp *http.Response) *problem { return c.record(resp, &result) })
	c.settle(g, &result, p)
}

func claimProblem(err error) *problem {
	var refused *claim.RefusedError
	if !errors.As(err, &refused) {
		return unavailable("the claim could not be made: "+err.Error(), outcome.NotRun)
	}
	return &problem{
		status: refused.Status, kind: kindInvalid, code: "claim_refused", param: header.Idempotency,
		message: refused.Reason, outcome: refused.Outcome, retryAfter: refused.RetryAfter,
	}
}

// record reads a whole answer, which is then both told and kept.
func (c *plainCall) record(resp *http.Response, result *claim.Result) (p *problem) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswer))
	if err != nil {
		return failed("the answer broke off: "+err.Error(), outcome.Unknown)
	}
	*result = claim.Result{
		Outcome: outcome.Ran, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}
	return nil
}

// settle puts the outcome on the log, even when the caller has gone, and then tells it.
func (c *plainCall) settle(g claim.Grant, result *claim.Result, p *problem) {
	if p != nil {
		*result = claim.Result{Outcome: p.outcome, Status: p.status}
	}
	kept := *result
	if len(kept.Body) > maxRecorded {
		kept.Body = nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.x.ctx), settleTimeout)
	defer cancel()
	c.x.front.Claims.Settle(ctx, g, kept)
	if p != nil {
		c.x.fail(p)
		return
	}
	c.x.replay(result)
}

const settleTimeout = 5 * time.Second

func (x *exchange) replay(result *claim.Result) {
	if result.ContentType != "" {
		x.w.Header().Set("Content-Type", result.ContentType)
	}
	x.w.Header().Set(header.Outcome, string(result.Outcome))
	x.front.closing(x.w.Header())
	x.w.WriteHeader(result.Status)
	_, _ = x.w.Write(result.Body)
	x.first = time.Since(x.began)
	x.told(result.Status, result.Outcome, "")
}
