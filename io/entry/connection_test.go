package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/background"
	"savoryfall/core/routetable"
)

// idleClient returns a client with an idle connection on which one booking has been served.
func idleClient(t *testing.T, s *testServer) (c *testClient) {
	t.Helper()
	c = s.connect()
	c.sendAsync(bookingRequest(""))
	wantStatus(t, s, c, http.StatusOK)
	return c
}

// wantStatus reads the next response, which must have the status.
func wantStatus(t *testing.T, s *testServer, c *testClient, want int) {
	t.Helper()
	status, err := c.readResponse()
	t.Logf("status %d, %v\n%s", status, err, &s.logLines)
	assert.NilError(t, err)
	assert.Equal(t, status, want)
}

// sendInHalves sends a booking with a pause within its header.
func sendInHalves(c *testClient, pause time.Duration) {
	text := bookingRequest("")
	const half = 30
	c.sendAsync(text[:half])
	time.Sleep(pause)
	c.sendAsync(text[half:])
}

// wantRefusedWithinGrace reads the refusal of a router that stops, and waits until it has.
func wantRefusedWithinGrace(t *testing.T, s *testServer, c *testClient, stopped <-chan time.Duration) {
	t.Helper()
	wantStatus(t, s, c, http.StatusServiceUnavailable)
	took := <-stopped
	assert.Assert(t, took < grace, "stopped after %v\n%s", took, &s.logLines)
}

// An idle connection was closed after a request had been read from it and before its goroutine went on to parse it, as
// on a VM whose core is taken away for a moment. The idle check used net/http's states, in which a connection is idle
// until the next request's header has been parsed. The request was sent to an endpoint and cancelled there within a
// millisecond, and the client received nothing. The log line of such a request has reason=connectionEnded ended=idle
// sends=1 ms=0, and readMs says for how long the bytes had been waiting.
func TestIdleTimeoutKeepsConnectionWithUnparsedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		c := idleClient(t, s)
		time.Sleep(11500 * time.Millisecond)
		hook := func() { time.Sleep(6 * time.Second) }
		s.onRead.Store(&hook)
		c.sendAsync(bookingRequest(markHeader))
		status, err := c.readResponse()
		synctest.Wait()
		t.Logf("status %d, %v, arrived at the endpoint: %d\n%s", status, err, s.arrived.Load(), &s.logLines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}

// A router stops while it has no open request and most of its grace period left. A booking on a new connection has been
// read, but its goroutine has not parsed it yet. net/http's Shutdown drops such a request, so that the client saw the
// connection close instead of a refusal that says that the booking did not run.
func TestStopRefusesUnparsedRequestOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		stopWhileReading(t, s, s.connect())
	})
}

// As above, on a kept connection, which Shutdown closes as idle.
func TestStopRefusesUnparsedRequestOnKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		stopWhileReading(t, s, idleClient(t, s))
	})
}

const (
	grace = 8 * time.Second
	// refuseAfter is a time at which a router that was told to stop refuses requests and still has most of its grace
	// period.
	refuseAfter = 3 * time.Second
)

// drainAndStop drains and stops the router and sends how long that took.
func drainAndStop(s *testServer) (stopped chan time.Duration) {
	stopped = make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		s.server.Drain(grace)
		_ = s.server.Stop(context.Background())
		stopped <- time.Since(began)
	}()
	return stopped
}

// stopWhileReading has a booking read just before the router starts to refuse requests, and blocks its goroutine until
// long after.
func stopWhileReading(t *testing.T, s *testServer, c *testClient) {
	t.Helper()
	time.Sleep(time.Second)
	stopped := drainAndStop(s)
	hook := func() { time.Sleep(time.Second) }
	s.onRead.Store(&hook)
	time.Sleep(refuseAfter - 500*time.Millisecond)
	c.sendAsync(bookingRequest(markHeader))
	wantRefusedWithinGrace(t, s, c, stopped)
}

// Half of a booking's header has arrived when the router stops. The router used to close the connection as idle. It
// must wait for the rest of the request and refuse it.
func TestStopWaitsForPartialHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		c := idleClient(t, s)
		stopped := drainAndStop(s)
		time.Sleep(refuseAfter - 500*time.Millisecond)
		sendInHalves(c, time.Second)
		wantRefusedWithinGrace(t, s, c, stopped)
	})
}

// With idle connections only, a router that stops closes them and exits as soon as it refuses requests.
func TestStopClosesIdleConnectionsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		c := idleClient(t, s)
		took := <-drainAndStop(s)
		assert.Assert(t, took < refuseAfter, "%v", took)
		_, err := c.readResponse()
		assert.Assert(t, err != nil)
	})
}

// The configuration allows ten minutes between two requests and half a minute for a header, which is more than the
// router's defaults. The defaults, meant for the time without a configuration, closed the connection of a client that
// kept to the configured limits.
func TestConfiguredLimitsOverrideDefaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 10 * time.Minute, HeaderTimeout: 30 * time.Second})
		defer s.shutdown()
		c := idleClient(t, s)
		time.Sleep(9 * time.Minute)
		sendInHalves(c, 25*time.Second)
		wantStatus(t, s, c, http.StatusOK)
	})
}

// The configured header timeout was not applied to a client that sends its header slowly.
func TestHeaderTimeoutClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{HeaderTimeout: 3 * time.Second})
		defer s.shutdown()
		c := s.connect()
		c.sendAsync("POST /book/x HTTP/1.1\r\n")
		began := time.Now()
		_, err := c.readResponse()
		assert.Assert(t, err != nil)
		took := time.Since(began)
		assert.Assert(t, took > 3*time.Second && took < 6*time.Second, "%v", took)
	})
}

// A booking's body does not arrive before the booking's deadline. Nothing has been forwarded, and the client must be
// told so. net/http cancels a request's context on any read error, including the router's own read deadline; the router
// assumed that the client had left, sent no response and kept the connection open.
func TestSlowBodyGetsRequestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		c := s.connect()
		c.sendAsync(bookingRequest("Content-Length: 100\r\n") + "some")
		began := time.Now()
		status, err := c.readResponse()
		t.Logf("after %v: status %d, %v\n%s", time.Since(began), status, err, &s.logLines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusRequestTimeout)
		assert.Assert(t, time.Since(began) < 4*time.Second)
		assert.Equal(t, s.arrived.Load(), int64(0))
		_, err = c.readResponse()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// A router refuses a booking before it has read the body, and the body stalls. net/http reads the rest of a body before
// it sends a response, without a limit, so that the refusal was never sent.
func TestRefusalDoesNotWaitForStalledBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		s.table.Store(nil)
		c := s.connect()
		c.sendAsync(bookingRequest("Content-Length: 100000\r\n") + "some")
		began := time.Now()
		status, err := c.readResponse()
		t.Logf("after %v: status %d, %v\n%s", time.Since(began), status, err, &s.logLines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < time.Second)
	})
}

// A client that is refused keeps its connection if its body has arrived completely.
func TestRefusalKeepsConnectionAfterCompleteBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		table := s.table.Swap(nil)
		c := s.connect()
		c.sendAsync(bookingRequest("Content-Length: 4\r\n") + "some")
		wantStatus(t, s, c, http.StatusServiceUnavailable)
		s.table.Store(table)
		c.sendAsync(bookingRequest("Content-Length: 4\r\n") + "more")
		wantStatus(t, s, c, http.StatusOK)
	})
}

// A body ends just after the booking's deadline, and the client is told that the booking did not run. The request's
// context is cancelled by then and with it the context of the connection: had the connection been kept, each later
// booking would have been forwarded, cancelled and reported as late.
func TestSlowBodyClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		c := s.connect()
		c.sendAsync(bookingRequest("Content-Length: 8\r\n") + "some")
		time.Sleep(3020 * time.Millisecond)
		c.sendAsync("more")
		wantStatus(t, s, c, http.StatusRequestTimeout)
		c.sendAsync(bookingRequest(""))
		status, err := c.readResponse()
		t.Logf("status %d, %v\n%s", status, err, &s.logLines)
		assert.Assert(t, err != nil, "the connection was kept")
		assert.Equal(t, s.arrived.Load(), int64(0))
	})
}

// The router applies the configured idle timeout.
func TestConfiguredIdleTimeoutClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 5 * time.Second})
		defer s.shutdown()
		c := idleClient(t, s)
		began := time.Now()
		_, err := c.readResponse()
		assert.Assert(t, err != nil)
		took := time.Since(began)
		assert.Assert(t, took > 5*time.Second && took < 8*time.Second, "%v", took)
	})
}

// Clients keep connecting without sending anything while a router stops. It must still stop long before the end of its
// grace period.
func TestSilentClientsDoNotDelayStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		connecting, cancel := context.WithCancel(context.Background())
		defer cancel()
		go background.Every(connecting, 300*time.Millisecond, func(time.Time) {
			select {
			case <-s.closed:
			default:
				s.connect()
			}
		})
		took := <-drainAndStop(s)
		assert.Assert(t, took < 6*time.Second, "%v", took)
	})
}

// Guards against a client that sends requests and reads no refusal of them: the router waited for it without end, and its connection
// was never freed for others.
func TestRefusalThatIsNotReadEndsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.shutdown()
		c := s.connect()
		c.sendAsync("GET /unknown HTTP/1.1\r\nHost: unknown\r\n\r\n")
		time.Sleep(10 * time.Second)
		synctest.Wait()
		_, _, open, _ := s.server.Connections().Budget().Usage()
		assert.Equal(t, open, 0, "%s", &s.logLines)
	})
}
