package clientconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A configuration lowers the idle timeout. A client that relies on the previous one sends a request on a connection
// that has been idle for longer than the new one. The router, which had just applied the configuration, closed the
// connection, then read and forwarded the request and cancelled it.
func TestLoweredIdleLimitKeepsExistingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &Limits{Idle: 15 * time.Second}
		s, c, client := newPipeConn(t, limits)
		s.onStateChange(c, http.StateIdle)
		time.Sleep(11 * time.Second)
		limits.Idle = 5 * time.Second
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), CloseReason(""))
		time.Sleep(6 * time.Second)
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), IdleTimeout)
		_, err := client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}

// A configuration lowers the idle timeout. This router applies it at once, while a client learns of it two seconds
// later and keeps the connection of its last request idle according to the previous timeout. The client's next request
// found the connection closed.
func TestLoweredIdleLimitAppliesAfterPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &Limits{Idle: 15 * time.Second}
		s, c, _ := newPipeConn(t, limits)
		s.onStateChange(c, http.StateIdle)
		time.Sleep(time.Second)
		limits.Idle = 5 * time.Second
		sweepAndWait(s)
		time.Sleep(time.Second)
		s.onStateChange(c, http.StateIdle)
		time.Sleep(12 * time.Second)
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), CloseReason(""))
		s.onStateChange(c, http.StateIdle)
		time.Sleep(7 * time.Second)
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), IdleTimeout, "the previous limit was applied for too long")
	})
}

// A client sends a header byte by byte, or the process is paused while it reads one. Only the former may close the
// connection: after a pause, the header may have been read and not parsed yet.
func TestLateHeaderNeedsTwoChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := newPipeConn(t, &Limits{HeaderTimeout: 3 * time.Second})
		_, _ = c.recordRead(1, nil)
		time.Sleep(10 * time.Second)
		sweepAndWait(s)
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), CloseReason(""), "two checks in immediate succession must count as one")
		time.Sleep(time.Second)
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), HeaderTimeout)
	})
}

// A process that is stopping waits for a moment for the request of a new connection.
func TestStopWaitsForNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := newPipeConn(t, &Limits{})
		assert.Equal(t, s.CloseUnused(), 1)
		assert.Equal(t, c.CloseReason(), CloseReason(""))
		time.Sleep(2 * time.Second)
		s.CloseUnused()
		synctest.Wait()
		assert.Equal(t, c.CloseReason(), Stopped)
	})
}

// Connections still in use at the deadline of a stop are closed, and the handler can tell that the client did not close
// them.
func TestStopClosesByForceAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := newPipeConn(t, &Limits{})
		assert.Assert(t, c.startRequest())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		err := s.Stop(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Assert(t, c.CloseReason().Local())
	})
}

// Clients send requests at the moment at which their connections are closed. Each request is either answered or not
// started: no request may be run for a client whose connection this process has closed.
func TestCloseRacesWithRequests(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(l, func() Limits { return Limits{Idle: time.Nanosecond} })
	var begun atomic.Int64
	h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { begun.Add(1) })}
	s.Attach(h)
	go func() { _ = h.Serve(s) }()
	defer func() { _ = h.Close() }()
	const clients, each = 8, 30
	var answered atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for range each {
				answered.Add(requestUntilClosed(l.Addr().String()))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		running.Wait()
	}()
	for open := true; open; {
		select {
		case <-done:
			open = false
		default:
			s.Sweep(time.Now().Add(time.Hour))
		}
	}
	assert.Assert(t, answered.Load() > 0)
	assert.Equal(t, begun.Load(), answered.Load())
}

// requestUntilClosed sends requests on one connection until it receives no response, and returns the number of
// responses.
func requestUntilClosed(address string) (answers int64) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	const most = 10
	for answers < most {
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if err != nil {
			return answers
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answers
		}
		_ = resp.Body.Close()
		answers++
	}
	return answers
}

// A server that responds before it has read the whole request shuts down its sending side first, and waits a while for
// what the client still sends. Otherwise the client's bytes arrive at a closed socket, and the resulting reset may
// overtake the response.
func TestResponseBeforeUnreadBodyArrives(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(l, func() Limits { return Limits{} })
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})}
	s.Attach(h)
	go func() { _ = h.Serve(s) }()
	defer func() { _ = h.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nsome")
	assert.NilError(t, err)
	began := time.Now()
	all, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(all), "HTTP/1.1 413 "), "%s", all)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "closing took %v", time.Since(began))
}

// Closed connections are counted by reason.
func TestCloseReasonsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := newPipeConn(t, &Limits{Idle: time.Second})
		s.onStateChange(c, http.StateIdle)
		time.Sleep(3 * time.Second)
		sweepAndWait(s)
		s.onStateChange(c, http.StateClosed)
		assert.Equal(t, s.ClosedBy(IdleTimeout), uint64(1))
		assert.Equal(t, s.ClosedBy(ClientClosed), uint64(0))
		assert.Equal(t, s.Counts(), Counts{})
	})
}

// lateErrorListener is a listener whose Accept returns an error late, as for a goroutine that is paused.
type lateErrorListener struct {
	net.Listener
	release chan struct{}
}

func (l lateErrorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.release
	}
	return c, err
}

// A router without clients is told to stop. It closes its listener and then its server, whose accept loop has not
// noticed yet: the server closed the listener again and got an error, with which the process exited although it had
// stopped in order. The second close must do nothing.
func TestListenerIsClosedOnlyOnce(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	slow := lateErrorListener{Listener: l, release: make(chan struct{})}
	s := New(slow, func() Limits { return Limits{} })
	h := &http.Server{Handler: http.NotFoundHandler()}
	s.Attach(h)
	ended := make(chan error)
	go func() { ended <- h.Serve(s) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	// The server waits for its accept loop, so the loop is released a moment later.
	time.AfterFunc(50*time.Millisecond, func() { close(slow.release) })
	assert.NilError(t, h.Close())
	assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
	assert.NilError(t, c.Close())
}
