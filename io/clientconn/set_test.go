package clientconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pair is a set with one connection, accepted from a client on loopback.
func pair(t *testing.T) (c *Conn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(l, func() Limits { return Limits{} })
	t.Cleanup(func() { _ = s.Close() })
	client, err = net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := s.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*Conn), client
}

// Errors of reads must look to net/http as net's own do: it tells a deadline from the rest by them.
func TestErrorsOfReads(t *testing.T) {
	c, client := pair(t)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var of *net.OpError
	assert.Assert(t, errors.As(err, &of) && of.Op == "read" && of.Timeout(), "%v", err)
	assert.Equal(t, c.Ending(), Ending(""), "a deadline ends nothing")
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	assert.NilError(t, client.(*net.TCPConn).CloseWrite())
	_, err = c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, c.Ending(), ByClient)
}

func TestResetIsNoted(t *testing.T) {
	c, client := pair(t)
	assert.NilError(t, client.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, client.Close())
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, c.Ending(), ByReset)
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
	return s, accepted.(*Conn), theirs
}

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
		s.Sweep(time.Now())
		assert.Equal(t, c.Ending(), Ending(""))
		time.Sleep(6 * time.Second)
		s.Sweep(time.Now())
		assert.Equal(t, c.Ending(), ByIdle)
		_, err := client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}
