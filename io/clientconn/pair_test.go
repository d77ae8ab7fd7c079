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

// pair is a set with one connection, accepted from a client on loopback.
func pair(t *testing.T, limits *Limits) (s *Set, c *Conn, client net.Conn) {
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

// rest is what net/http does after an answer: it calls the connection idle and waits for bytes.
func rest(s *Set, c *Conn) {
	s.note(c, http.StateIdle)
	c.wait(true)
}

// awaitUnread waits until the client's bytes lie in the kernel.
func awaitUnread(t *testing.T, c *Conn) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.unread() {
			return poll.Success()
		}
		return poll.Continue("the bytes have not come")
	}, poll.WithDelay(time.Millisecond))
}

// piped is a set whose connections' kernel cannot be asked.
type piped struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p piped) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p piped) Close() error {
	close(p.done)
	return nil
}

func (p piped) Addr() net.Addr { return &net.TCPAddr{} }

func pipe(t *testing.T, limits *Limits) (s *Set, c *Conn, client net.Conn) {
	t.Helper()
	p := piped{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	s = New(p, func() Limits { return *limits })
	ours, theirs := net.Pipe()
	p.conns <- ours
	accepted, err := s.Accept()
	assert.NilError(t, err)
	c = accepted.(*Conn)
	// As net/http does: it waits for bytes, and closes when it gets none.
	go func() {
		for err == nil {
			_, err = c.Read(make([]byte, 1))
		}
		_ = c.Close()
	}()
	synctest.Wait()
	return s, c, theirs
}

// sweep looks for idle connections and lets their readers act on it.
func sweep(s *Set) {
	s.Sweep(time.Now())
	synctest.Wait()
}
