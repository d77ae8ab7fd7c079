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

// maxReplayBytes is how much of a body is buffered, so that the request can be sent again.
const maxReplayBytes = 64 << 10

// maxRecordedBytes limits the response body that is recorded with the outcome of a claimed request.
const maxRecordedBytes = 64 << 10

// plainCall is one request to a plain service.
type plainCall struct {
	x             *exchange
	pool          string
	repeatable    bool
	buffered      []byte
	unread        io.Reader
	contentLength int64
	excluded      []string
	grant         *claim.Grant
}

// servePlain handles a request to a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	x := s.newExchange(w, r)
	defer x.end()
	if p := x.authenticate(); p != nil {
		x.fail(p)
		return
	}
	service, known := x.config.ServiceForPath(r.URL.Path)
	if !known {
		x.fail(unknownPath(r.URL.Path))
		return
	}
	c := &plainCall{x: x, pool: ledger.PoolOfService(service.Name()), repeatable: service.Repeatable(r.Method, r.URL.Path)}
	release, p := x.admit(c.pool)
	if p != nil {
		x.fail(p)
		return
	}
	defer release()
	p = c.prepare()
	if p != nil {
		x.fail(p)
		return
	}
	c.run()
}

// prepare reads as much of the body as needed before the first attempt: all of it for a claim, otherwise what is
// buffered for retries.
func (c *plainCall) prepare() (p *problem) {
	if !c.repeatable && c.x.r.Header.Get(header.IdempotencyKey) != "" {
		c.buffered, p = c.x.readBody()
		c.contentLength = int64(len(c.buffered))
		return p
	}
	buffered, err := io.ReadAll(io.LimitReader(c.x.body, maxReplayBytes))
	if err != nil {
		return c.x.bodyProblem(err)
	}
	c.buffered, c.contentLength = buffered, c.x.r.ContentLength
	if len(buffered) == maxReplayBytes {
		c.unread = c.x.body
		return nil
	}
	c.contentLength = int64(len(buffered))
	return nil
}

func (c *plainCall) run() {
	if !c.repeatable && c.x.r.Header.Get(header.IdempotencyKey) != "" {
		c.runClaimed()
		return
	}
	p := c.attemptWithRetries(c.forward)
	if p != nil {
		c.x.fail(p)
	}
}

// attemptWithRetries makes attempts until one succeeds. Once the first byte was sent to an endpoint, only a repeatable
// request is sent again.
func (c *plainCall) attemptWithRetries(handle func(*http.Response) *problem) (p *problem) {
	s := c.x.server
	if c.unread == nil {
		c.x.identifyingBody = c.buffered
	}
	if p = c.x.checkQuarantine(); p != nil {
		return p
	}
	s.Retries.RecordFirst(c.pool)
	for {
		p = c.attempt(handle)
		if p == nil || !c.mayRetry(p) {
			c.x.settleCrashes(p)
			return p
		}
		s.requestMetrics.retries.Inc()
	}
}

func (c *plainCall) mayRetry(p *problem) bool {
	safe := p.outcome == outcome.NotRun || c.repeatable && p.outcome == outcome.Unknown
	return safe && c.unread == nil && c.x.mayRetry(c.pool, len(c.excluded), p)
}

func (c *plainCall) attempt(handle func(*http.Response) *problem) (p *problem) {
	x, s := c.x, c.x.server
	at, _, ok := x.place(ledger.Query{Pool: c.pool, Key: xxhash.Sum64String(x.requestID), Tokens: 1, Exclude: c.excluded})
	if !ok {
		at.Outcome = outcome.NotRun
		return unavailable("no endpoint of "+c.pool+" takes new work", outcome.NotRun)
	}
	c.excluded = append(c.excluded, at.Endpoint)
	s.requestMetrics.attempts.Inc()
	flight := s.Ledger.StartRequest(at.Endpoint, 1)
	defer flight.End()
	start, incarnation := time.Now(), s.Health.Incarnation(at.Endpoint)
	p = c.send(at, handle)
	recordAttempt(at, start, p)
	x.recordEnd(at, incarnation, start, p)
	return p
}

func (c *plainCall) send(at *decision.Attempt, handle func(*http.Response) *problem) (p *problem) {
	x, s := c.x, c.x.server
	ctx, span := s.Tracer.Start(x.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", at.Endpoint), attribute.String("attempt", at.ID)))
	defer span.End()
	// If the process was paused after it had claimed the key, the claim may have expired. Other routers then consider
	// the request lost, and sending it now could run it at a time that the claim doesn't cover.
	if c.grant != nil && c.grant.Expired(time.Now()) {
		return unavailable("the claim lapsed before the call was sent", outcome.NotRun)
	}
	resp, err := s.Endpoints.Do(ctx, c.call(at))
	if err != nil {
		return x.problemOf(err)
	}
	x.body.startResponse()
	defer resp.Body.Close()
	return handle(resp)
}

func (c *plainCall) call(at *decision.Attempt) endpoint.Call {
	e, _ := c.x.config.Endpoint(at.Endpoint)
	r := c.x.r
	h := r.Header.Clone()
	removeHopByHopHeaders(h)
	h.Del("Authorization")
	h.Set("Savoryfall-Account", c.x.account.Name())
	body := io.Reader(bytes.NewReader(c.buffered))
	if c.unread != nil {
		body = io.MultiReader(body, c.unread)
	}
	return endpoint.Call{
		Endpoint: e.Name(), Address: e.Address(), Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: h, Body: body, Length: c.contentLength, Request: c.x.requestID, Attempt: at.ID, Echoes: e.EchoesAttemptID(),
		NotRepeatable: !c.repeatable,
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// forward streams a response to the client. If the response breaks off, the client's connection is aborted, so that
// the client cannot mistake an incomplete response for a complete one.
func (c *plainCall) forward(resp *http.Response) (p *problem) {
	x := c.x
	x.firstByteAfter = time.Since(x.startedAt)
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	for _, name := range []string{header.Attempt, header.Load} {
		h.Del(name)
	}
	h.Set(header.Request, x.requestID)
	h.Set(header.Outcome, string(outcome.Ran))
	x.server.setConnectionClose(h)
	x.w.WriteHeader(resp.StatusCode)
	x.recordResult(resp.StatusCode, outcome.Ran, "")
	err := copyFlushing(x.w, resp.Body)
	if err != nil {
		x.recordResult(resp.StatusCode, outcome.Unknown, "the answer broke off: "+err.Error())
		x.abort = true
	}
	return nil
}

const copyBufferBytes = 16 << 10

func copyFlushing(w http.ResponseWriter, r io.Reader) (err error) {
	controller := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, readErr := r.Read(buf)
		if n > 0 {
			if _, err = w.Write(buf[:n]); err != nil {
				return err
			}
			_ = controller.Flush()
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// digestBytes is the length of the truncated digest that distinguishes requests with the same idempotency key.
const digestBytes = 16

// runClaimed sends the request under a claim, or returns the recorded response of an earlier request with the same
// key.
func (c *plainCall) runClaimed() {
	x := c.x
	sum := sha256.Sum256(append([]byte(x.r.Method+" "+x.r.URL.RequestURI()+"\x00"), c.buffered...))
	created, _ := time.Parse(time.RFC3339, x.r.Header.Get(header.KeyCreated))
	ctx, span := x.server.Tracer.Start(x.ctx, "claim")
	g, err := x.server.Claims.Claim(ctx, claim.Request{
		Account: x.account.Name(), Key: x.r.Header.Get(header.IdempotencyKey), Digest: hex.EncodeToString(sum[:digestBytes]),
		Attempt: x.requestID, Created: created,
	})
	span.End()
	if err != nil {
		x.fail(claimProblem(err))
		return
	}
	if g.Recorded != nil {
		x.writeRecorded(g.Recorded)
		return
	}
	c.grant = &g
	var result claim.Result
	p := c.attemptWithRetries(func(resp *http.Response) *problem { return c.recordResponse(resp, &result) })
	c.settle(g, &result, p)
}

func claimProblem(err error) *problem {
	var refused *claim.RefusedError
	if !errors.As(err, &refused) {
		return unavailable("the claim could not be made: "+err.Error(), outcome.NotRun)
	}
	return &problem{
		status: refused.Status, kind: kindInvalid, code: "claim_refused", param: header.IdempotencyKey,
		message: refused.Reason, outcome: refused.Outcome, retryAfter: refused.RetryAfter,
	}
}

// recordResponse reads a whole response, which is then both recorded and sent to the client.
func (c *plainCall) recordResponse(resp *http.Response, result *claim.Result) (p *problem) {
	body, err := readWhole(resp.Body)
	if err != nil {
		return endpointFailed("the answer broke off: "+err.Error(), outcome.Unknown)
	}
	*result = claim.Result{
		Outcome: outcome.Ran, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}
	return nil
}

// settle records the outcome on the log, even if the client has disconnected, and then responds to the client.
func (c *plainCall) settle(g claim.Grant, result *claim.Result, p *problem) {
	if p != nil {
		*result = claim.Result{Outcome: p.outcome, Status: p.status}
	}
	recorded := *result
	if len(recorded.Body) > maxRecordedBytes {
		recorded.Body = nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.x.ctx), settleTimeout)
	defer cancel()
	c.x.server.Claims.Settle(ctx, g, recorded)
	if p != nil {
		c.x.fail(p)
		return
	}
	c.x.writeRecorded(result)
}

const settleTimeout = 5 * time.Second

func (x *exchange) writeRecorded(result *claim.Result) {
	if result.ContentType != "" {
		x.w.Header().Set("Content-Type", result.ContentType)
	}
	x.w.Header().Set(header.Outcome, string(result.Outcome))
	x.server.setConnectionClose(x.w.Header())
	x.w.WriteHeader(result.Status)
	_, _ = x.w.Write(result.Body)
	x.firstByteAfter = time.Since(x.startedAt)
	x.recordResult(result.Status, result.Outcome, "")
}
