package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is an HTTP request as written to the endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as received from the client.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// Deadline is the deadline for the complete response. Response.SetDeadline changes it.
	Deadline time.Time
	// Fresh requests a connection of its own instead of an idle one, which may have been cut off without a sign of it.
	Fresh bool
	// Permit is called right before the request is written. If it returns an error, nothing is sent.
	Permit func() error
	// Check is made on the connection before the request is sent. It may be nil.
	Check *Check
	// Matches reports whether a response with this header belongs to the request. Others are skipped.
	Matches func(h http.Header) bool
}

// AttemptError is the error of a request without a response.
type AttemptError struct {
	// MaybeSent reports that bytes of the request may have reached the endpoint, so that it may have run.
	MaybeSent bool
	// Timeout reports that the connection could not be made in time or that the endpoint did not respond before the
	// deadline.
	Timeout bool
	Err     error
}

func (e *AttemptError) Error() string {
	if e.MaybeSent {
		return "request failed after it may have been sent: " + e.Err.Error()
	}
	return "request failed before it was sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *AttemptError) Unwrap() error { return e.Err }

// Response is a response whose body has not been read yet. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not known in advance.
	Length int64
	pool   *Pool
	conn   *conn
	head   *head
	body   io.Reader
	// writeResult receives the result of writing the request.
	writeResult chan error
	stop        func() bool
	complete    bool
	readFailed  bool
}

// errUnmatched is returned if too many responses on a connection belonged to other requests.
var errUnmatched = errors.New("responses on the connection belong to other requests")

const (
	// maxUnmatched is the number of responses to other requests that are skipped before the connection is closed.
	maxUnmatched = 2
	// maxUnmatchedBytes is the size of the body up to which such a response is skipped.
	maxUnmatchedBytes = 1 << 20
	// maxDiscardBytes is the size up to which the body of a response is read only to keep the connection.
	maxDiscardBytes = 64 << 10
)

// Do sends the request once and returns when the header of the response has arrived. An error is always an
// *AttemptError.
func (p *Pool) Do(ctx context.Context, r Request) (resp *Response, err error) {
	resp, err = p.do(ctx, r)
	if r.Check != nil && !r.Fresh && errors.Is(err, errCheckFailed) && ctx.Err() == nil {
		// An idle connection may have been cut off without a sign of it, and nothing was sent.
		r.Fresh = true
		resp, err = p.do(ctx, r)
	}
	return resp, err
}

func (p *Pool) do(ctx context.Context, r Request) (resp *Response, err error) {
	connect := p.get
	if r.Fresh {
		connect = p.dial
	}
	c, err := connect(ctx, r.Address)
	if err != nil {
		return nil, &AttemptError{Err: err, Timeout: isTimeout(err)}
	}
	err = r.Permit()
	if err != nil {
		_ = c.Close()
		return nil, &AttemptError{Err: err}
	}
	_ = c.SetDeadline(r.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	if r.Check != nil {
		err = r.Check.make(c, r.Host)
		if err != nil {
			stop()
			_ = c.Close()
			return nil, &AttemptError{Timeout: isTimeout(err), Err: err}
		}
	}
	writeResult := writeRequest(c, r)
	h, err := readResponse(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &AttemptError{MaybeSent: true, Timeout: isTimeout(err), Err: err}
	}
	return &Response{
		Status: h.status, Header: h.header, Length: h.length,
		pool: p, conn: c, head: h, body: newBody(h, c.r), writeResult: writeResult, stop: stop,
	}, nil
}

// pastDeadline, set as a deadline, makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// maxInlineWrite is the size in bytes up to which a request is written before the response is read. Such a request fits
// into the send buffer, so that the write cannot block if the endpoint responds before it reads.
const maxInlineWrite = 16 << 10

// writeRequest writes the request, a small one in a single call. The channel receives the result, for large requests after
// writeRequest has returned.
func writeRequest(c *conn, r Request) (writeResult chan error) {
	writeResult = make(chan error, 1)
	data := encodeHead(r)
	if data.Len()+len(r.Body) <= maxInlineWrite {
		data.Write(r.Body)
		_, err := c.Write(data.Bytes())
		writeResult <- err
		return writeResult
	}
	go func() {
		_, err := c.Write(data.Bytes())
		if err == nil {
			// Large bodies are not copied. Many of them would take twice their memory.
			_, err = c.Write(r.Body)
		}
		writeResult <- err
	}()
	return writeResult
}

func encodeHead(r Request) (b *bytes.Buffer) {
	b = &bytes.Buffer{}
	b.Grow(1024 + min(len(r.Body), maxInlineWrite))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(b)
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// readResponse reads the header of the response. Responses to other requests may precede it if an endpoint has answered
// one of them twice. They are read completely and dropped.
func readResponse(c *conn, r Request) (h *head, err error) {
	for range maxUnmatched + 1 {
		h, err = c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if h.status < http.StatusOK {
			continue
		}
		if r.Matches(h.header) {
			return h, nil
		}
		if !h.framed() || h.length > maxUnmatchedBytes {
			return nil, errUnmatched
		}
		n, err := io.Copy(io.Discard, io.LimitReader(newBody(h, c.r), maxUnmatchedBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxUnmatchedBytes {
			return nil, errUnmatched
		}
	}
	return nil, errUnmatched
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (r *Response) Read(p []byte) (n int, err error) {
	n, err = r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		r.readFailed = true
	}
	return n, err
}

// errTooLarge is returned for a body that is larger than it may be.
var errTooLarge = errors.New("the body of the response is too large")

// ReadAll reads the whole body. It fails if the body is larger than limit bytes, without reading it if its length is stated, or
// if reserve refuses more bytes to be held. reserve may be nil.
func (r *Response) ReadAll(limit int64, reserve func(n int64) error) (body []byte, err error) {
	length := r.bodyLength()
	if length > limit {
		return nil, errTooLarge
	}
	for {
		if len(body) == cap(body) {
			body, err = grow(body, length, limit, reserve)
		}
		if err != nil {
			return nil, err
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// minBodyBytes is the size of the first buffer for a body whose length is not stated, and maxFirstBytes that of one whose length
// is: the endpoint may not send what it states.
const (
	minBodyBytes  = 1 << 10
	maxFirstBytes = 64 << 10
)

// grow returns the body with a buffer that is larger. length is the length of the whole body, -1 if it is not stated, and limit
// the largest that is read.
func grow(body []byte, length, limit int64, reserve func(n int64) error) (larger []byte, err error) {
	size := max(2*int64(cap(body)), minBodyBytes)
	if length >= 0 {
		size, limit = max(size, maxFirstBytes), length
	}
	// One byte more shows whether the body ends there.
	size = min(size, limit+1)
	if reserve != nil {
		err = reserve(size - int64(cap(body)))
	}
	if err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}

// bodyLength returns the length of the body that follows the head, -1 if it is not known. The response to a HEAD request
// states that of another one.
func (r *Response) bodyLength() int64 {
	if r.head.noBody {
		return 0
	}
	return r.Length
}

// Discard reads the rest of a short body, so that the connection can be kept.
func (r *Response) Discard() {
	if r.bodyLength() <= maxDiscardBytes {
		_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes))
	}
}

// SetDeadline changes the deadline for reading the response.
func (r *Response) SetDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Close returns the connection to the pool if the response was read completely and no further bytes have arrived, and
// closes it otherwise: the next request must not receive bytes that follow the response, or those of a response that
// was not read to its end.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	if !r.stop() || c.singleUse() || !r.complete || r.readFailed || r.head.closes || !r.head.framed() || !r.requestWritten() || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	r.pool.put(c, keepAliveTimeout(r.Header))
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that it ends with the connection.
func (r *Response) EndsWithConnection() bool { return !r.head.framed() }

// requestWritten reports whether the whole request was sent. An endpoint may respond before it has read a long body and
// read the rest later: it would take the next request on the connection for a part of that body.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns how long the endpoint keeps an idle connection, or 0 if it does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, is := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !is {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
