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

// keptConnection is a connection on which a first booking was served.
func keptConnection(t *testing.T, s *rig) (c *rigClient) {
	t.Helper()
	c = s.connect()
	c.send(booking(""))
	status, err := c.answer()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	return c
}

// Clients of a router got neither an answer nor a refusal to requests on connections that they had kept: each was read,
// sent on to an endpoint, and cut there within the same millisecond. The router had read the bytes and the goroutine that
// reads them had not run on, as on a VM whose core is taken away for a moment; the look for idle connections came first.
// It went by net/http's states, where a connection is idle until the next request's header has been parsed. Evidence: the
// line on the request says reason=connectionEnded ended=idle sends=1 ms=0, and readMs how long the bytes had lain there.
func TestIdleLimitCutsNoRequestThatIsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		c := keptConnection(t, s)
		time.Sleep(11500 * time.Millisecond)
		hook := func() { time.Sleep(6 * time.Second) }
		s.onRead.Store(&hook)
		c.send(booking(mark))
		status, err := c.answer()
		synctest.Wait()
		t.Logf("status %d, %v, arrived at the endpoint: %d\n%s", status, err, s.arrived.Load(), &s.lines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}

// A stopping router has no request open, and most of its grace is left. A client's booking on a new connection has been
// read at that moment and its goroutine has not run on: net/http's Shutdown drops what it has parsed by then. The client
// got a bare close where a stopping router owes it that the booking has not run.
func TestStopRefusesWhatItHasReadOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		stopWhileReading(t, s, s.connect())
	})
}

// The same on a connection that was kept: Shutdown ends it as idle.
func TestStopRefusesWhatItHasReadOnAKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		stopWhileReading(t, s, keptConnection(t, s))
	})
}

const (
	grace = 8 * time.Second
	// refusing is when a router that was told to stop refuses already, and has most of its grace left.
	refusing = 3 * time.Second
)

// stop lets the router drain and stop.
func stop(s *rig) (stopped chan time.Duration) {
	stopped = make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		s.server.Drain(grace)
		_ = s.server.Stop(context.Background())
		stopped <- time.Since(began)
	}()
	return stopped
}

// stopWhileReading lets a booking be read just before the router refuses, and its goroutine stand still until long after.
func stopWhileReading(t *testing.T, s *rig, c *rigClient) {
	t.Helper()
	time.Sleep(time.Second)
	stopped := stop(s)
	hook := func() { time.Sleep(time.Second) }
	s.onRead.Store(&hook)
	time.Sleep(refusing - 500*time.Millisecond)
	c.send(booking(mark))
	status, err := c.answer()
	took := <-stopped
	t.Logf("status %d, %v, stopped after %v\n%s", status, err, took, &s.lines)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < grace, "%v", took)
}

// A client is sending a booking when the router stops: half of its header has come. The router ended the connection as
// idle; it has the time to read on and to refuse.
func TestStopWaitsForWhatIsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		c := keptConnection(t, s)
		stopped := stop(s)
		time.Sleep(refusing - 500*time.Millisecond)
		text := booking("")
		const half = 30
		c.send(text[:half])
		time.Sleep(time.Second)
		c.send(text[half:])
		status, err := c.answer()
		took := <-stopped
		t.Logf("status %d, %v, stopped after %v\n%s", status, err, took, &s.lines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, took < grace, "%v", took)
	})
}

// Nobody is on a connection: a stopping router ends as soon as it refuses, and its clients' idle connections with it.
func TestStopEndsIdleConnectionsAndDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		c := keptConnection(t, s)
		took := <-stop(s)
		assert.Assert(t, took < refusing, "%v", took)
		_, err := c.answer()
		assert.Assert(t, err != nil)
	})
}

// The configuration allows more than the router does by itself: ten minutes between two requests, half a minute for a
// header. The router's own limits, meant for the time without a configuration, ended the connection of a client that kept
// to those in force.
func TestLimitsInForceGoBeforeTheUsual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 10 * time.Minute, HeaderTimeout: 30 * time.Second})
		defer s.end()
		c := keptConnection(t, s)
		time.Sleep(9 * time.Minute)
		text := booking("")
		const half = 30
		c.send(text[:half])
		time.Sleep(25 * time.Second)
		c.send(text[half:])
		status, err := c.answer()
		t.Logf("status %d, %v\n%s", status, err, &s.lines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}

// A client takes longer for its header than the configuration in force allows, which nobody looked at.
func TestLateHeaderEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{HeaderTimeout: 3 * time.Second})
		defer s.end()
		c := s.connect()
		c.send("POST /book/x HTTP/1.1\r\n")
		began := time.Now()
		_, err := c.answer()
		assert.Assert(t, err != nil)
		took := time.Since(began)
		assert.Assert(t, took > 3*time.Second && took < 6*time.Second, "%v", took)
	})
}

// A booking's body does not come within the booking's time. Nothing was sent on, and the client is owed that. net/http ends
// a request's context with any error of a read, also that of the router's own deadline; the router took the client for gone
// and answered nothing, and the connection stayed open.
func TestSlowBodyIsToldSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		c := s.connect()
		c.send(booking("Content-Length: 100\r\n") + "some")
		began := time.Now()
		status, err := c.answer()
		t.Logf("after %v: status %d, %v\n%s", time.Since(began), status, err, &s.lines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusRequestTimeout)
		assert.Assert(t, time.Since(began) < 4*time.Second)
		assert.Equal(t, s.arrived.Load(), int64(0))
		_, err = c.answer()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// A router refuses a booking before it has read its body, and the body stalls. net/http reads what is left of a body before
// it sends an answer, without a bound: the refusal was never sent.
func TestRefusalDoesNotWaitForABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		s.table.Store(nil)
		c := s.connect()
		c.send(booking("Content-Length: 100000\r\n") + "some")
		began := time.Now()
		status, err := c.answer()
		t.Logf("after %v: status %d, %v\n%s", time.Since(began), status, err, &s.lines)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < time.Second)
	})
}

// A refused client whose body is all there keeps its connection.
func TestRefusalKeepsTheConnectionOfAWholeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		table := s.table.Swap(nil)
		c := s.connect()
		c.send(booking("Content-Length: 4\r\n") + "some")
		status, err := c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		s.table.Store(table)
		c.send(booking("Content-Length: 4\r\n") + "more")
		status, err = c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}

// A client's body comes to its end just after the booking's time is over. It is told that the booking has not run; on a
// connection that was kept after that, each later booking was sent on, cut, and told to be late.
func TestConnectionOfASlowBodyIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		c := s.connect()
		c.send(booking("Content-Length: 8\r\n") + "some")
		time.Sleep(3020 * time.Millisecond)
		c.send("more")
		status, err := c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusRequestTimeout)
		c.send(booking(""))
		status, err = c.answer()
		t.Logf("status %d, %v\n%s", status, err, &s.lines)
		assert.Assert(t, err != nil, "the connection was kept")
		assert.Equal(t, s.arrived.Load(), int64(0))
	})
}

// The limit for idle connections in force is the one that the router goes by.
func TestIdleLimitInForceEndsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 5 * time.Second})
		defer s.end()
		c := keptConnection(t, s)
		began := time.Now()
		_, err := c.answer()
		assert.Assert(t, err != nil)
		took := time.Since(began)
		assert.Assert(t, took > 5*time.Second && took < 8*time.Second, "%v", took)
	})
}

// Clients go on connecting and say nothing while a router stops. It ends all the same, long before its grace does.
func TestSilentClientsDoNotHoldUpTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRig(routetable.Limits{IdleTimeout: 15 * time.Second})
		defer s.end()
		connecting, cancel := context.WithCancel(context.Background())
		defer cancel()
		go background.Every(connecting, 300*time.Millisecond, func(time.Time) {
			select {
			case <-s.closed:
			default:
				s.connect()
			}
		})
		took := <-stop(s)
		assert.Assert(t, took < 6*time.Second, "%v", took)
	})
}
