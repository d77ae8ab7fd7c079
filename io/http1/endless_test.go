package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sender is an endpoint that writes a beginning and then the same bytes until its peer closes the connection.
type sender struct {
	begin, repeat string
	sent          atomic.Int64
	ended         sync.WaitGroup
}

// connect returns a connection to the endpoint.
func (s *sender) connect(context.Context, string) (net.Conn, error) {
	here, there := net.Pipe()
	s.ended.Go(func() {
		defer func() { _ = there.Close() }()
		_, err := http.ReadRequest(newConn(there).r)
		if err != nil {
			return
		}
		bytes := s.begin
		for {
			n, err := io.WriteString(there, bytes)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
			bytes = s.repeat
		}
	})
	return here, nil
}

func newConn(raw net.Conn) *conn {
	c, _ := NewPool(func(context.Context, string) (net.Conn, error) { return raw, nil }).dial(context.Background(), "")
	return c
}

func requestFor(method string) Request {
	return Request{
		Method: method, Target: "/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(10 * time.Second),
		Permit: func() error { return nil }, Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	}
}

const (
	okLine     = "HTTP/1.1 200 OK\r\n"
	filler     = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	chunked    = okLine + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	otherHead  = okLine + "Id: 2\r\n"
	otherChunk = otherHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against a router whose memory is used up by the head of an answer that does not end, and against reading on.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, s := range map[string]*sender{
		"one line":         {begin: okLine + "Id: 1\r\nX: ", repeat: filler},
		"status line":      {begin: "HTTP/1.1 200 ", repeat: filler},
		"header lines":     {begin: okLine, repeat: "X: y\r\n"},
		"continued line":   {begin: okLine + "X: y\r\n", repeat: " z\r\n"},
		"no answer":        {begin: filler, repeat: filler},
		"line ends":        {begin: "\r\n", repeat: "\r\n"},
		"interim line":     {begin: "HTTP/1.1 103 Early Hints\r\nLink: ", repeat: filler},
		"interim answers":  {begin: "HTTP/1.1 102 Processing\r\n\r\n", repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
		"other's head":     {begin: otherHead + "X: ", repeat: filler},
		"other's body":     {begin: otherChunk, repeat: "40\r\n" + filler + "\r\n"},
		"other's length":   {begin: otherHead + "Content-Length: 1099511627776\r\n\r\n", repeat: filler},
		"others' answers":  {begin: otherHead + "Content-Length: 0\r\n\r\n", repeat: otherHead + "Content-Length: 0\r\n\r\n"},
		"refusal's header": {begin: "HTTP/1.1 503 Unavailable\r\nRetry-After: ", repeat: "1"},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(s.connect)
			_, err := p.Do(context.Background(), requestFor("GET"))
			var failed *AttemptError
			assert.Assert(t, errors.As(err, &failed) && failed.MaybeSent && !failed.Timeout, "%v", err)
			s.ended.Wait()
			limit := int64(maxHeadBytes + 2*readBufferSize)
			if name == "other's body" {
				limit += maxUnmatchedBytes / 10 * 11
			}
			assert.Assert(t, s.sent.Load() <= limit, "%d bytes were read", s.sent.Load())
			assert.Equal(t, p.heads.held.Load(), int64(0))
		})
	}
}

// Guards against a body that is read beyond the limit, or at all if it states that it is larger.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	const limit = 64 << 10
	for name, s := range map[string]*sender{
		"chunks":          {begin: chunked, repeat: "40\r\n" + filler + "\r\n"},
		"length":          {begin: okLine + "Id: 1\r\nContent-Length: 1099511627776\r\n\r\n", repeat: filler},
		"no length":       {begin: okLine + "Id: 1\r\n\r\n", repeat: filler},
		"chunk extension": {begin: chunked + "40;x=", repeat: filler},
		"chunk size":      {begin: chunked, repeat: "0"},
		"trailer line":    {begin: chunked + "0\r\nX: ", repeat: filler},
		"trailers":        {begin: chunked + "0\r\n", repeat: "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := NewPool(s.connect).Do(context.Background(), requestFor("GET"))
			assert.NilError(t, err)
			reserved := int64(0)
			_, err = resp.ReadAll(limit, func(n int64) error {
				reserved += n
				return nil
			})
			assert.Assert(t, err != nil)
			resp.Close()
			s.ended.Wait()
			bound := int64(limit / 10 * 12)
			if name == "length" {
				bound = 2 * readBufferSize
			}
			assert.Assert(t, s.sent.Load() <= bound, "%d bytes were read", s.sent.Load())
			assert.Assert(t, reserved <= limit+1, "%d bytes were reserved", reserved)
		})
	}
}

// Guards against many heads without end that together use up the memory, each within its limit.
func TestManyHeadsWithoutEndAreBoundedTogether(t *testing.T) {
	const conns = 600
	s := &sender{begin: okLine + "Id: 1\r\nX: " + strings.Repeat(filler, 300), repeat: ""}
	s.ended.Add(conns)
	p := NewPool(func(context.Context, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer s.ended.Done()
			_, _ = http.ReadRequest(newConn(there).r)
			n, _ := io.WriteString(there, s.begin)
			s.sent.Add(int64(n))
		}()
		return here, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var requests sync.WaitGroup
	var refused atomic.Int64
	for range conns {
		requests.Go(func() {
			_, err := p.Do(ctx, requestFor("GET"))
			if errors.Is(err, errHeadTooLarge) {
				refused.Add(1)
			}
		})
	}
	s.ended.Wait()
	assert.Assert(t, refused.Load() > 0)
	assert.Assert(t, p.heads.held.Load() <= maxLargeHeads)
	assert.Assert(t, s.sent.Load() <= maxLargeHeads+conns*2*readBufferSize, "%d bytes were read", s.sent.Load())
	cancel()
	requests.Wait()
	assert.Equal(t, p.heads.held.Load(), int64(0))
}

// Guards against heads of sound endpoints that are refused: they repeat what a client chose, and a connection is used for many.
func TestLargeHeadsAreRead(t *testing.T) {
	long := strings.Repeat("x", 24<<10)
	p := NewPool(func(context.Context, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			c := newConn(there)
			for {
				_, err := http.ReadRequest(c.r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(there, okLine+"Id: 1\r\nX: "+long+"\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
		return here, nil
	})
	for range 20 {
		resp, err := p.Do(context.Background(), requestFor("GET"))
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("X"), long)
		body, err := resp.ReadAll(2, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		resp.Close()
	}
	assert.Equal(t, p.ConnectionsOpened(), uint64(1))
}

// Guards against the answer to a HEAD request being taken for one whose body is too large.
func TestHeadRequestStatesTheLengthOfAnotherBody(t *testing.T) {
	s := &sender{begin: okLine + "Id: 1\r\nContent-Length: 1099511627776\r\n\r\n"}
	resp, err := NewPool(s.connect).Do(context.Background(), requestFor("HEAD"))
	assert.NilError(t, err)
	body, err := resp.ReadAll(10, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 0)
	resp.Close()
}

// Guards against a check of the endpoint's process whose answer does not end.
func TestCheckWithoutEndIsGivenUp(t *testing.T) {
	for name, s := range map[string]*sender{
		"head": {begin: okLine + "X: ", repeat: filler},
		"body": {begin: chunked, repeat: "40\r\n" + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := requestFor("GET")
			r.Fresh, r.Check = true, &Check{Target: "/check", Accept: func(int, []byte) error { return nil }}
			_, err := NewPool(s.connect).Do(context.Background(), r)
			var failed *AttemptError
			assert.Assert(t, errors.As(err, &failed) && !failed.MaybeSent, "%v", err)
			s.ended.Wait()
			assert.Assert(t, s.sent.Load() <= maxHeadBytes+maxCheckBytes/10*11+2*readBufferSize, "%d bytes were read", s.sent.Load())
		})
	}
}
