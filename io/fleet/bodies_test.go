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

// startBodyFleet starts a fleet whose router gives clients bodyTimeout to send a body.
func startBodyFleet(t *testing.T, bodyTimeout time.Duration) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: 1, Services: 1, ExtraSettings: map[string]string{
		"peers": fastPeers, "routing": "probePeriod = \"200ms\"\n",
		"callers": fmt.Sprintf("lameDuck = \"0s\"\nbodyTimeout = %q\nmaxBodyBytes = 33554432\n", bodyTimeout),
	}})
}

// addSlowEndpoint adds an endpoint of a service at /slow. It waits for delay before it reads a body, and sends the
// result of each read to readResults.
func addSlowEndpoint(t *testing.T, f *fleet.Fleet, delay time.Duration) (readResults chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	readResults = make(chan error, 8)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		time.Sleep(delay)
		_, err := io.Copy(io.Discard, r.Body)
		readResults <- err
		w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
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
	waitFor(t, "the release note is in force", func() bool { return inForce(t, f, "second") })
	return readResults
}

// clientConn is a raw connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, f *fleet.Fleet) *clientConn {
	t.Helper()
	c, err := net.Dial("tcp", f.Routers()[0].CallerAddress())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

// send writes in the background, without waiting for the router to read.
func (c *clientConn) send(text string) { go func() { _, _ = io.WriteString(c, text) }() }

// readResponse reads the router's response, for at most ten seconds.
func (c *clientConn) readResponse(t *testing.T) (resp *http.Response, body string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(data)
}

const largeBodyBytes = 16 << 20

// A client sends a large body at once, and a busy endpoint reads it slowly. The router counted the time that the
// endpoint took against the client's body timeout: it aborted the forwarded call and treated the connected client as
// gone. The connection must serve the next call as well.
func TestSlowEndpointDoesNotCountAsSlowClient(t *testing.T) {
	f := startBodyFleet(t, 500*time.Millisecond)
	read := addSlowEndpoint(t, f, 1500*time.Millisecond)
	c := connect(t, f)
	for range 2 {
		c.send(requestHead("/slow/x", largeBodyBytes) + "\r\n" + strings.Repeat("x", largeBodyBytes))
		resp, body := c.readResponse(t)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		assert.NilError(t, <-read)
	}
}

// A client sends the beginning of a large body, which is forwarded, and then nothing. The router treated it as
// disconnected; it must get a 408 with the outcome unknown, since its call may have run.
func TestSlowClientWithLargeBodyGetsRequestTimeout(t *testing.T) {
	f := startBodyFleet(t, 500*time.Millisecond)
	addSlowEndpoint(t, f, 0)
	c := connect(t, f)
	const sentBytes = 1 << 20
	c.send(requestHead("/slow/x", largeBodyBytes) + "\r\n" + strings.Repeat("x", sentBytes))
	began := time.Now()
	resp, body := c.readResponse(t)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout, body)
	assert.Equal(t, resp.Header.Get(header.Outcome), "unknown")
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Sends many large bodies on one connection. The read deadlines that the router sets must not outlive the bodies, and
// must not interfere with the background read of net/http, which detects a disconnect and is itself ended by a deadline
// before the next request.
func TestLargeBodiesOnOneConnection(t *testing.T) {
	f := startBodyFleet(t, 500*time.Millisecond)
	read := addSlowEndpoint(t, f, 0)
	c := connect(t, f)
	const calls, size = 100, 300_000
	for range calls {
		c.send(requestHead("/slow/x", size) + "\r\n" + strings.Repeat("x", size))
		resp, body := c.readResponse(t)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		assert.NilError(t, <-read)
	}
}

// A client sends its header and holds back the body, which the response does not depend on: the key is wrong, the path
// is unknown or the handler ignores bodies. Before net/http sends a response it reads the rest of the body without a
// time limit, so that the client got the response only after it had sent its body, or never.
func TestResponseDoesNotWaitForUnreadBody(t *testing.T) {
	f := startBodyFleet(t, 5*time.Second)
	const length = "Host: x\r\nContent-Length: 100\r\n\r\n{"
	invalidKey := "Authorization: Bearer wrong\r\n" + length
	validKey := "Authorization: Bearer " + fleet.APIKey("guardia") + "\r\n" + length
	for _, tc := range []struct {
		line, rest string
		status     int
	}{
		{"POST /v1/chat/completions", invalidKey, http.StatusUnauthorized},
		{"POST /permits/1", invalidKey, http.StatusUnauthorized},
		{"POST /nowhere", validKey, http.StatusNotFound},
		{"GET /v1/models", validKey, http.StatusOK},
		{"GET /readyz", length, http.StatusOK},
		{"GET /healthz", length, http.StatusOK},
	} {
		t.Run(tc.line, func(t *testing.T) {
			c := connect(t, f)
			began := time.Now()
			c.send(tc.line + " HTTP/1.1\r\n" + tc.rest)
			resp, body := c.readResponse(t)
			assert.Equal(t, resp.StatusCode, tc.status, body)
			// Well below the body timeout, which applies to bodies that the handler reads.
			assert.Assert(t, time.Since(began) < 2*time.Second)
		})
	}
}

// A rejected request whose body has arrived completely leaves its connection usable.
func TestRejectionKeepsConnectionAfterCompleteBody(t *testing.T) {
	f := startBodyFleet(t, 5*time.Second)
	c := connect(t, f)
	c.send("POST /permits/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: 4\r\n\r\nsome")
	resp, body := c.readResponse(t)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, body)
	time.Sleep(100 * time.Millisecond)
	c.send(requestHead("/permits/1", 4) + "\r\nmore")
	resp, body = c.readResponse(t)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
}
