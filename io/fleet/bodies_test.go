package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/header"
	"savoryfall/io/fleet"
)

// bodyFleet gives callers so much time for a body.
func bodyFleet(t *testing.T, patience time.Duration) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: 1, Services: 1, Extra: map[string]string{
		"peers": quick, "routing": "probePeriod = \"200ms\"\n",
		"callers": fmt.Sprintf("lameDuck = \"0s\"\nbodyTimeout = %q\nmaxBodyBytes = 33554432\n", patience),
	}})
}

// slowEndpoint is the endpoint of a service at /slow; it reads each body only after a while, and tells how that ended.
func slowEndpoint(t *testing.T, f *fleet.Fleet, after time.Duration) (read chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	read = make(chan error, 8)
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		time.Sleep(after)
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
		w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = h.Serve(l) }()
	t.Cleanup(func() { _ = h.Close() })
	f.Publish(t.Context(), fmt.Sprintf(`id = "second"
basedOn = "first"

[[added.services]]
name = "slow"
path = "/slow"

[[added.endpoints]]
name = "slow-01"
kind = "service"
service = "slow"
address = %q
failureDomain = "a"
`, l.Addr().String()))
	eventually(t, "the note is in force", func() bool { return inForce(t, f, "second") })
	return read
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func connect(t *testing.T, f *fleet.Fleet) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", f.Routers()[0].Callers())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &callerConn{c, bufio.NewReader(c)}
}

// send writes without waiting for the router to read.
func (c *callerConn) send(text string) { go func() { _, _ = io.WriteString(c, text) }() }

// told is what the caller is told within ten seconds.
func (c *callerConn) told(t *testing.T) (resp *http.Response, body string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(data)
}

const largeBody = 16 << 20

// A caller sends a large body, all of it at once, and waits. The endpoint has the request and reads it slowly, as one that is
// busy does. The time that a caller has for its body ran on while the endpoint read: the router cut the call that it had sent
// on, and told the caller, who was still there, that it had gone. The connection must serve the next call as well.
func TestSlowEndpointIsNotTakenForASlowCaller(t *testing.T) {
	f := bodyFleet(t, 500*time.Millisecond)
	read := slowEndpoint(t, f, 1500*time.Millisecond)
	c := connect(t, f)
	for range 2 {
		c.send(head("/slow/x", largeBody) + "\r\n" + strings.Repeat("x", largeBody))
		resp, body := c.told(t)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		assert.NilError(t, <-read)
	}
}

// A caller sends the beginning of a large body, which is passed on, and no more. It was told that it had gone; it is still
// there, and is told that it was too slow, and that its call may have run.
func TestSlowCallerOfALargeBodyIsToldSo(t *testing.T) {
	f := bodyFleet(t, 500*time.Millisecond)
	slowEndpoint(t, f, 0)
	c := connect(t, f)
	const begin = 1 << 20
	c.send(head("/slow/x", largeBody) + "\r\n" + strings.Repeat("x", begin))
	began := time.Now()
	resp, body := c.told(t)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout, body)
	assert.Equal(t, resp.Header.Get(header.Outcome), "unknown")
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Many large bodies on one connection: the deadlines of their reads must neither outlive them nor meet net/http's own reads,
// which notice that the caller goes, and which it ends by a deadline before the next request.
func TestLargeBodiesOnOneConnection(t *testing.T) {
	f := bodyFleet(t, 500*time.Millisecond)
	read := slowEndpoint(t, f, 0)
	c := connect(t, f)
	const calls, size = 100, 300_000
	for range calls {
		c.send(head("/slow/x", size) + "\r\n" + strings.Repeat("x", size))
		resp, body := c.told(t)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		assert.NilError(t, <-read)
	}
}

// A caller sends its header, waits with the body, and the answer needs none: its key is wrong, its path unknown, or nobody
// asked for a body. The answer is decided at once; net/http reads what is left of a body before it sends the answer, without
// a bound, so that the caller got it after its body, or never.
func TestAnswerDoesNotWaitForABodyThatNobodyReads(t *testing.T) {
	f := bodyFleet(t, 5*time.Second)
	const length = "Host: x\r\nContent-Length: 100\r\n\r\n{"
	stranger := "Authorization: Bearer wrong\r\n" + length
	known := "Authorization: Bearer " + fleet.Key("guardia") + "\r\n" + length
	for _, given := range []struct {
		line, rest string
		status     int
	}{
		{"POST /v1/chat/completions", stranger, http.StatusUnauthorized},
		{"POST /permits/1", stranger, http.StatusUnauthorized},
		{"POST /nowhere", known, http.StatusNotFound},
		{"GET /v1/models", known, http.StatusOK},
		{"GET /readyz", length, http.StatusOK},
		{"GET /healthz", length, http.StatusOK},
	} {
		t.Run(given.line, func(t *testing.T) {
			c := connect(t, f)
			began := time.Now()
			c.send(given.line + " HTTP/1.1\r\n" + given.rest)
			resp, body := c.told(t)
			assert.Equal(t, resp.StatusCode, given.status, body)
			// Not even the time that a wanted body may take.
			assert.Assert(t, time.Since(began) < 2*time.Second)
		})
	}
}

// A caller that is refused, and whose body is all there, keeps its connection.
func TestRefusalKeepsTheConnectionOfAWholeBody(t *testing.T) {
	f := bodyFleet(t, 5*time.Second)
	c := connect(t, f)
	c.send("POST /permits/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: 4\r\n\r\nsome")
	resp, body := c.told(t)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, body)
	time.Sleep(100 * time.Millisecond)
	c.send(head("/permits/1", 4) + "\r\nmore")
	resp, body = c.told(t)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
}
