package clientconn

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newTCPConn returns a set with one connection, accepted from a client on the loopback interface.
func newTCPConn(t *testing.T, limits *Limits) (s *Set, c *Conn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s = New(l, func() Limits { return *limits })
	t.Cleanup(func() { _ = s.Close() })
	client, err = net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := s.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return s, accepted.(*Conn), client
}

// markIdle does what net/http does after a response: it reports the connection as idle and waits for bytes.
func markIdle(s *Set, c *Conn) {
	s.onStateChange(c, http.StateIdle)
	c.setReadBlocked(true)
}

// awaitUnread waits until the client's bytes have arrived in the kernel.
func awaitUnread(t *testing.T, c *Conn) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.hasUnreadBytes() {
			return poll.Success()
		}
		return poll.Continue("the bytes have not arrived")
	}, poll.WithDelay(time.Millisecond))
}

// pipeListener accepts connections of net.Pipe, for which the kernel cannot be asked for unread bytes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func newPipeConn(t *testing.T, limits *Limits) (s *Set, c *Conn, client net.Conn) {
	t.Helper()
	p := pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	s = New(p, func() Limits { return *limits })
	ours, theirs := net.Pipe()
	p.conns <- ours
	accepted, err := s.Accept()
	assert.NilError(t, err)
	c = accepted.(*Conn)
	// Like net/http, wait for bytes and close the connection on an error.
	go func() {
		for err == nil {
			_, err = c.Read(make([]byte, 1))
		}
		_ = c.Close()
	}()
	synctest.Wait()
	return s, c, theirs
}

// sweepAndWait closes idle connections and waits until their readers have reacted.
func sweepAndWait(s *Set) {
	s.Sweep(time.Now())
	synctest.Wait()
}
