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

// Request is one attempt as it is written to the endpoint.
type Request struct {
	Address string
	Method  string
	// Target is path and query, unchanged from the client.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Deadline ends the attempt.
	Deadline time.Time
	// Ours tells whether an answer belongs to this request; others are skipped.
	Ours func(h http.Header) bool
}

// Failure is an attempt without an answer.
type Failure struct {
	// Sent tells that bytes of the request may have reached the endpoint, so that it may have run.
	Sent bool
	// Timeout tells that the endpoint was silent until the deadline.
	Timeout bool
	Cause   error
}

func (f *Failure) Error() string {
	if f.Sent {
		return "attempt failed after it was sent: " + f.Cause.Error()
	}
	return "attempt failed before it was sent: " + f.Cause.Error()
}

// Unwrap is the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Answer is an answer whose body is still to be read. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 when it is not known before its end.
	Length int64
	pool   *Pool
	conn   *conn
	resp   *http.Response
	sent   chan error
	stop   func() bool
	ended  bool
	broken bool
}

// errStray says that too many answers on a connection belonged to other requests.
var errStray = errors.New("the answers on the connection belong to other requests")

// strays is how many answers of other requests are skipped on a connection before it is given up.
const strays = 2

// Do sends the request once, and returns when the header of its answer has come. The error is always a *Failure.
func (p *Pool) Do(ctx context.Context, r Request) (a *Answer, err error) {
	c, err := p.take(ctx, r.Address)
	if err != nil {
		return nil, &Failure{Cause: err, Timeout: isTimeout(err)}
	}
	_ = c.SetDeadline(r.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) })
	sent := send(c, r)
	resp, err := receive(c, r) //nolint:bodyclose // Answer.Close ends the body with its connection.
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Failure{Sent: true, Timeout: isTimeout(err), Cause: err}
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, conn: c, resp: resp, sent: sent, stop: stop,
	}, nil
}

// longAgo as a deadline ends reads and writes at once.
var longAgo = time.Unix(1, 0)

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// inline is the size in bytes up to which a request is written before its answer is awaited: it fits into the send
// buffer, so that the write cannot block against an endpoint that answers before it reads.
const inline = 16 << 10

// send writes the request in one piece; the channel tells when a large one has been written.
func send(c *conn, r Request) (sent chan error) {
	sent = make(chan error, 1)
	data := encode(r)
	if len(data) <= inline {
		_, err := c.Write(data)
		sent <- err
		return sent
	}
	go func() {
		_, err := c.Write(data)
		sent <- err
	}()
	return sent
}

func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b)
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// receive reads the header of the answer. Answers that belong to other requests come first when an endpoint answered
// one of them twice; they are read to their end and dropped.
func receive(c *conn, r Request) (resp *http.Response, err error) {
	for range strays + 1 {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Ours(resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStray
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

// Read reads the body; io.EOF comes only when it is whole.
func (a *Answer) Read(p []byte) (n int, err error) {
	n, err = a.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		a.broken = true
	}
	return n, err
}

// ReadAll reads the whole body up to limit bytes.
func (a *Answer) ReadAll(limit int64) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, fmt.Errorf("the answer is larger than %d bytes", limit)
	}
	return body, err
}

// SetDeadline moves the end of the attempt.
func (a *Answer) SetDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// Close keeps the connection when the answer was read to its end and nothing is left over on it, and ends it otherwise:
// what came after an answer, or is still to come of one that was given up, must not meet the next request.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	if !a.stop() || !a.ended || a.broken || a.resp.Close || !a.framed() || !a.written() || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	a.pool.put(c, keepFor(a.resp.Header))
}

func (a *Answer) framed() bool { return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0 }

// written tells whether the whole request was sent. An endpoint may answer before it has read a long body and reads
// the rest later: another request on the connection would be taken for it.
func (a *Answer) written() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// keepFor is how long the endpoint keeps an idle connection, 0 when it does not say.
func keepFor(h http.Header) time.Duration {
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
