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
	"savoryfall/io/http1"
	"savoryfall/io/resetconn"
	"savoryfall/io/tracing"
)

const (
	dialTimeout            = time.Second
	maxIdlePerHost         = 256
	idleTimeout            = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// Observer is notified of what each attempt reveals about its endpoint.
type Observer interface {
	// RecordAnswer is called at the time at, with the load report from the response to a request sent at sentAt.
	RecordAnswer(endpoint string, r report.Report, sentAt, at time.Time)
	Failed(endpoint string, f *AttemptError)
}

// Client sends attempts to endpoints.
type Client struct {
	pooled   *http.Transport
	fresh    *http.Transport
	observer Observer
}

// New returns a client that notifies the observer of its attempts; the observer may be nil.
func New(o Observer) *Client {
	return &Client{pooled: transport(false), fresh: transport(true), observer: o}
}

func transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
	}
}

// dial opens a connection whose end shows that the endpoint has ended it: a body may end with its connection.
func dial(ctx context.Context, network, address string) (c net.Conn, err error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return resetconn.New(raw), nil
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

// AttemptError is returned for an attempt without a usable response; its outcome says whether the request may have
// run.
type AttemptError struct {
	Outcome outcome.Outcome
	Status  int
	Header  http.Header
	Cause   error
}

func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed (%s): %v", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// nonRewindableBody hides the type of the body. If a pooled connection turns out to be dead, the transport sends a
// request again by itself when its body is empty or can be rewound, and it is a GET or carries an Idempotency-Key; the
// endpoint might then run it twice. The transport cannot rewind this type, whatever the headers are.
type nonRewindableBody struct {
	io.Reader
}

func (nonRewindableBody) Close() error { return nil }

// Do makes one attempt. The error is always an *AttemptError. The caller must close the response body.
func (c *Client) Do(ctx context.Context, call Call) (resp *http.Response, err error) {
	var conn attemptConn
	r, err := c.request(conn.trace(ctx), call)
	if err != nil {
		return nil, &AttemptError{Outcome: outcome.NotRun, Cause: err}
	}
	sentAt := time.Now()
	resp, err = c.transport(call).RoundTrip(r)
	if err != nil {
		return nil, c.observeFailure(call, &AttemptError{Outcome: conn.outcome(), Cause: err})
	}
	c.observe(call, resp, sentAt)
	failure := checkResponse(call, resp)
	if failure != nil {
		_ = resp.Body.Close()
		conn.closeConn()
		return nil, c.observeFailure(call, failure)
	}
	return resp, nil
}

func (c *Client) transport(call Call) *http.Transport {
	if call.NotRepeatable {
		return c.fresh
	}
	return c.pooled
}

func (c *Client) observeFailure(call Call, f *AttemptError) *AttemptError {
	if c.observer != nil {
		c.observer.Failed(call.Endpoint, f)
	}
	return f
}

func (c *Client) observe(call Call, resp *http.Response, sentAt time.Time) {
	r, ok := report.ParseHeader(resp.Header.Get(header.Load))
	if ok && c.observer != nil {
		c.observer.RecordAnswer(call.Endpoint, r, sentAt, time.Now())
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
	r.Body = nonRewindableBody{body}
	r.ContentLength = call.Length
	r.Header.Set(header.Request, call.Request)
	r.Header.Set(header.Attempt, call.Attempt)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(header.DeadlineMs, fmt.Sprint(time.Until(deadline).Milliseconds()))
	}
	tracing.Propagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r, nil
}

// attemptConn records the connection that an attempt uses.
type attemptConn struct {
	conn atomic.Value
}

func (a *attemptConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.conn.Store(&info.Conn) },
	})
}

// outcome is notRun only if there never was a connection: once there is one, the endpoint may have received data even
// if the write returned an error.
func (a *attemptConn) outcome() outcome.Outcome {
	if a.conn.Load() == nil {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// closeConn closes the connection, because the next data on it may be the rest of an abandoned response, which would
// be mistaken for the response to another request.
func (a *attemptConn) closeConn() {
	if c, ok := a.conn.Load().(*net.Conn); ok {
		_ = (*c).Close()
	}
}

// MismatchError is returned for a response that belongs to another attempt or stream.
type MismatchError struct{ Want, Got string }

func (e MismatchError) Error() string {
	return fmt.Sprintf("crossed answer: it is for attempt %q, not for %q", e.Got, e.Want)
}

// StatusError is returned for a response whose status indicates a failure.
type StatusError struct{ Status int }

func (e StatusError) Error() string { return fmt.Sprintf("the endpoint answered %d", e.Status) }

// checkResponse returns an error for a response that must not reach the client.
func checkResponse(call Call, resp *http.Response) *AttemptError {
	err := http1.CheckLenient(resp)
	if err != nil {
		return &AttemptError{Outcome: outcome.Unknown, Cause: err}
	}
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

// Start does nothing; connections are opened when they are needed.
func (c *Client) Start(context.Context) error { return nil }
