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

// A configuration lowers the time for which connections may be idle. A client, which goes by the time of before, sends a
// request on a connection that has been idle for longer than the new one; the router had just taken the configuration,
// ended the connection, and then read the request, sent it on, and cut it.
func TestLoweredIdleLimitSparesConnectionsOfBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &Limits{Idle: 15 * time.Second}
		s, c, client := pipe(t, limits)
		s.note(c, http.StateIdle)
		time.Sleep(11 * time.Second)
		limits.Idle = 5 * time.Second
		sweep(s)
		assert.Equal(t, c.Ending(), Ending(""))
		time.Sleep(6 * time.Second)
		sweep(s)
		assert.Equal(t, c.Ending(), ByIdle)
		_, err := client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}

// A configuration lowers the limit, and this router has it at once. A client hears of it two seconds later, and leaves the
// connection on which it has just been answered idle by the limit of before: its next request found it ended.
func TestLoweredIdleLimitIsHeardLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &Limits{Idle: 15 * time.Second}
		s, c, _ := pipe(t, limits)
		s.note(c, http.StateIdle)
		time.Sleep(time.Second)
		limits.Idle = 5 * time.Second
		sweep(s)
		time.Sleep(time.Second)
		s.note(c, http.StateIdle)
		time.Sleep(12 * time.Second)
		sweep(s)
		assert.Equal(t, c.Ending(), Ending(""))
		s.note(c, http.StateIdle)
		time.Sleep(7 * time.Second)
		sweep(s)
		assert.Equal(t, c.Ending(), ByIdle, "the client has heard of the limit")
	})
}

// A client sends a header byte by byte, or the process stands still while it reads one. Only the first may cost the
// connection: after a standstill, the header may lie read and unparsed.
func TestSlowHeaderEndsAConnectionAndAStandstillDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := pipe(t, &Limits{Header: 3 * time.Second})
		_, _ = c.took(1, nil)
		time.Sleep(10 * time.Second)
		sweep(s)
		sweep(s)
		assert.Equal(t, c.Ending(), Ending(""), "two looks that follow at once are one")
		time.Sleep(time.Second)
		sweep(s)
		assert.Equal(t, c.Ending(), ByHeader)
	})
}

// A process that stops while a client's new connection has not brought its request yet waits for it for a moment.
func TestNewConnectionIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := pipe(t, &Limits{})
		assert.Equal(t, s.Release(), 1)
		assert.Equal(t, c.Ending(), Ending(""))
		time.Sleep(2 * time.Second)
		s.Release()
		synctest.Wait()
		assert.Equal(t, c.Ending(), ByStop)
	})
}

// What is still served when a stop's time is over is cut, and the handler can tell that it was not the client.
func TestStopCutsInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := pipe(t, &Limits{})
		assert.Assert(t, c.begin())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		err := s.Stop(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Assert(t, c.Ending().Ours())
	})
}

// Clients send requests at the very moment at which their connections are ended. Each is either answered, or nobody has
// begun on it: a request that is run for a client whose connection the process itself has ended is the fault.
func TestEndsAndRequestsRace(t *testing.T) {
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
				answered.Add(askUntilEnded(l.Addr().String()))
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

// askUntilEnded sends request after request on one connection until it gets no answer, and counts the answers.
func askUntilEnded(address string) (answers int64) {
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

// A server that answers before it has read all closes its sending side first, and waits a while for what the client still
// sends. Without that, the client's bytes meet a closed connection, whose reset may overtake the answer.
func TestAnswerToAnUnreadBodyArrives(t *testing.T) {
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
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "its end took %v", time.Since(began))
}

// Connections are counted by what ended them.
func TestEndsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, _ := pipe(t, &Limits{Idle: time.Second})
		s.note(c, http.StateIdle)
		time.Sleep(3 * time.Second)
		sweep(s)
		s.note(c, http.StateClosed)
		assert.Equal(t, s.Ended(ByIdle), uint64(1))
		assert.Equal(t, s.Ended(ByClient), uint64(0))
		assert.Equal(t, s.Counts(), Counts{})
	})
}

// tardy is a listener whose Accept tells of its end late, as to a goroutine that stands still.
type tardy struct {
	net.Listener
	release chan struct{}
}

func (l tardy) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.release
	}
	return c, err
}

// A router without clients is told to stop. It closes its listener, and then ends its server, whose own loop has not
// noticed yet: the server closed the listener a second time, got an error, and the process ended with it although it had
// stopped in order. The second close must be none.
func TestListenerIsClosedOnce(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	slow := tardy{Listener: l, release: make(chan struct{})}
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
	// The server waits for its loop, so the loop goes on a moment later.
	time.AfterFunc(50*time.Millisecond, func() { close(slow.release) })
	assert.NilError(t, h.Close())
	assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
	assert.NilError(t, c.Close())
}
