package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"savoryfall/core/header"
	"savoryfall/core/outcome"
	"savoryfall/core/report"
	"savoryfall/io/tracing"
)

const (
	dialTimeout   = time.Second
	idlePerHost   = 256
	idleTimeout   = 30 * time.Second
	maxAnswerHead = 64 << 10
)

// Observer hears what each attempt shows of an endpoint.
type Observer interface {
	// Heard takes the report that came at a time with the answer to what was asked before.
	Heard(endpoint string, r report.Report, asked, at time.Time)
	Failed(endpoint string, f *AttemptError)
}

// Client makes attempts at endpoints.
type Client struct {
	pooled   *http.Transport
	fresh    *http.Transport
	observer Observer
}

// New makes a client that tells the observer what it sees.
func New(o Observer) *Client {
	return &Client{pooled: transport(false), fresh: transport(true), observer: o}
}

func transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHead,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
	}
}

// Call is one attempt at one endpoint.
type Call struct {
	Endpoint      string
	Address       string
	Method        string
	Path          string
	Query         string
	Header        http.Header
	Body          io.Reader
	Length        int64
	Request       string
	Attempt       string
	Echoes        bool
	NotRepeatable bool
}

// AttemptError is an attempt without an answer; its outcome says whether the request may have run.
type AttemptError struct {
	Outcome outcome.Outcome
	Status  int
	Header  http.Header
	Cause   error
}

func (f *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed (%s): %v", f.Outcome, f.Cause)
}

// Unwrap is the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// opaqueBody hides what the body is. The transport resends a request on its own when a pooled connection turns out
// dead and the request has no body, or a body it can rewind, and is a GET or carries an Idempotency-Key: an
// endpoint would then run it twice. It cannot rewind this one, whatever the headers say.
type opaqueBody struct {
	io.Reader
}

func (opaqueBody) Close() error { return nil }

// Do makes one attempt; the error is always a *AttemptError. The caller must close the body of the answer.
func (c *Client) Do(ctx context.Context, call Call) (resp *http.Response, err error) {
	var conn attemptConn
	r, err := c.request(conn.trace(ctx), call)
	if err != nil {
		return nil, &AttemptError{Outcome: outcome.NotRun, Cause: err}
	}
	asked := time.Now()
	resp, err = c.transport(call).RoundTrip(r)
	if err != nil {
		return nil, c.fail(call, &AttemptError{Outcome: conn.outcome(), Cause: err})
	}
	c.heard(call, resp, asked)
	failure := judge(call, resp)
	if failure != nil {
		_ = resp.Body.Close()
		conn.abandon()
		return nil, c.fail(call, failure)
	}
	return resp, nil
}

func (c *Client) transport(call Call) *http.Transport {
	if call.NotRepeatable {
		return c.fresh
	}
	return c.pooled
}

func (c *Client) fail(call Call, f *AttemptError) *AttemptError {
	if c.observer != nil {
		c.observer.Failed(call.Endpoint, f)
	}
	return f
}

func (c *Client) heard(call Call, resp *http.Response, asked time.Time) {
	r, ok := report.ParseHeader(resp.Header.Get(header.Load))
	if ok && c.observer != nil {
		c.observer.Heard(call.Endpoint, r, asked, time.Now())
	}
}

func (c *Client) request(ctx context.Context, call Call) (r *http.Request, err error) {
	r, err = http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	r.URL.RawQuery = call.Query
	r.Header = call.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	body := call.Body
	if body == nil {
		body = http.NoBody
	}
	r.Body = opaqueBody{body}
	r.ContentLength = call.Length
	r.Header.Set(header.Request, call.Request)
	r.Header.Set(header.Attempt, call.Attempt)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(header.DeadlineMs, fmt.Sprint(time.Until(deadline).Milliseconds()))
	}
	tracing.Propagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r, nil
}

// attemptConn remembers the connection that an attempt got.
type attemptConn struct {
	conn atomic.Value
}

func (a *attemptConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.conn.Store(&info.Conn) },
	})
}

// outcome is notRun only when there never was a connection: once there is one, bytes may have been read by the
// endpoint although the write returned an error.
func (a *attemptConn) outcome() outcome.Outcome {
	if a.conn.Load() == nil {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// abandon closes the connection, because what comes on it next may be the rest of an answer that nobody waits for,
// and would be taken for the answer to another request.
func (a *attemptConn) abandon() {
	if c, ok := a.conn.Load().(*net.Conn); ok {
		_ = (*c).Close()
	}
}

// MismatchError says that the answer belongs to another attempt.
type MismatchError struct{ Want, Got string }

func (e MismatchError) Error() string {
	return fmt.Sprintf("crossed answer: it is for attempt %q, not for %q", e.Got, e.Want)
}

// StatusError is an answer whose status is a failure.
type StatusError struct{ Status int }

func (e StatusError) Error() string { return fmt.Sprintf("the endpoint answered %d", e.Status) }

// judge finds the answers that must not reach the caller.
func judge(call Call, resp *http.Response) *AttemptError {
	got := resp.Header.Get(header.Attempt)
	if call.Echoes && got != call.Attempt || got != "" && got != call.Attempt {
		return &AttemptError{Outcome: outcome.Unknown, Cause: MismatchError{Want: call.Attempt, Got: got}}
	}
	if resp.Header.Get(header.Outcome) == string(outcome.NotRun) && resp.StatusCode >= http.StatusBadRequest {
		return &AttemptError{
			Outcome: outcome.NotRun, Status: resp.StatusCode, Header: resp.Header, Cause: StatusError{Status: resp.StatusCode},
		}
	}
	return nil
}

// Stop closes idle connections.
func (c *Client) Stop(context.Context) error {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	return nil
}

// Start does nothing; connections are made when they are needed.
func (c *Client) Start(context.Context) error { return nil }
