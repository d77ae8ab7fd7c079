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

// bodyFleet gives callers half a second for a body.
func bodyFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: 1, Services: 1, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"0s\"\nbodyTimeout = \"500ms\"\nmaxBodyBytes = 33554432\n",
		"routing": "probePeriod = \"200ms\"\n",
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
	f := bodyFleet(t)
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
	f := bodyFleet(t)
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
	f := bodyFleet(t)
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
