package clientconn

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A connection was closed as idle, or on a stop, while a request had arrived that was not read yet or had just been
// read, and the client received no response. The connection must stay open as long as there are bytes to read.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	s, c, client := newTCPConn(t, &Limits{Idle: time.Second})
	markIdle(s, c)
	_, err := io.WriteString(client, "GET")
	assert.NilError(t, err)
	awaitUnread(t, c)
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, s.CloseUnused(), 1)
	assert.Equal(t, c.CloseReason(), CloseReason(""))
	p := make([]byte, 3)
	_, err = io.ReadFull(c, p)
	assert.NilError(t, err)
	assert.Equal(t, string(p), "GET")
	// The bytes are read, but no handler has started.
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, s.CloseUnused(), 1)
	assert.Assert(t, c.startRequest())
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, s.CloseUnused(), 1)
	s.onStateChange(c, http.StateIdle)
	assert.Equal(t, s.CloseUnused(), 1)
	assert.Equal(t, c.CloseReason(), CloseReason(""), "closed although net/http was not waiting for bytes")
	c.setReadBlocked(true)
	s.CloseUnused()
	assert.Equal(t, c.CloseReason(), Stopped)
	_, err = client.Read(p)
	assert.ErrorIs(t, err, io.EOF)
}

// Closing a connection during a blocked read must not deadlock with the read.
func TestCloseDuringBlockedRead(t *testing.T) {
	s, c, _ := newTCPConn(t, &Limits{Idle: time.Second})
	s.onStateChange(c, http.StateIdle)
	failed := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		failed <- err
	}()
	for c.CloseReason() == "" {
		s.Sweep(time.Now().Add(time.Hour))
	}
	assert.ErrorIs(t, <-failed, net.ErrClosed)
	assert.Equal(t, c.CloseReason(), IdleTimeout)
	assert.Assert(t, !c.startRequest(), "a handler started on a closed connection")
}

// Read errors must look to net/http like those of package net, because it recognizes timeouts by them.
func TestReadErrors(t *testing.T) {
	_, c, client := newTCPConn(t, &Limits{})
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var of *net.OpError
	assert.Assert(t, errors.As(err, &of) && of.Op == "read" && of.Timeout(), "%v", err)
	assert.Equal(t, c.CloseReason(), CloseReason(""), "a read timeout is no reason to close")
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	assert.NilError(t, client.(*net.TCPConn).CloseWrite())
	_, err = c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, c.CloseReason(), ClientClosed)
}

func TestResetIsRecorded(t *testing.T) {
	_, c, client := newTCPConn(t, &Limits{})
	assert.NilError(t, client.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, client.Close())
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, c.CloseReason(), ConnectionReset)
}

// Where the kernel cannot be asked for unread bytes, the read itself decides: one that returns bytes while a close is
// pending keeps the connection open, and one that returns none closes it.
func TestPendingCloseIsDroppedByReadWithBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, client := newPipeConn(t, &Limits{Idle: time.Second})
		s.onStateChange(c, http.StateIdle)
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		c.pendingClose = IdleTimeout
		n, err := c.recordRead(1, nil)
		c.mu.Unlock()
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
		assert.Equal(t, c.CloseReason(), CloseReason(""))
		s.onStateChange(c, http.StateIdle)
		c.setReadBlocked(true)
		time.Sleep(3 * time.Second)
		sweepAndWait(s)
		assert.Equal(t, c.CloseReason(), IdleTimeout)
		_, err = client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}

// Bytes that are read after this process has closed the connection must be dropped, so that no request is served from
// them.
func TestBytesReadAfterCloseAreDropped(t *testing.T) {
	s, c, client := newTCPConn(t, &Limits{Idle: time.Second})
	markIdle(s, c)
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, c.CloseReason(), IdleTimeout)
	_, err := c.recordRead(3, nil)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Assert(t, !c.startRequest())
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Failed writes, too, give the reason for which a connection is closed: a client that does not read its response, or
// one that has gone.
func TestWriteErrors(t *testing.T) {
	_, c, _ := newTCPConn(t, &Limits{})
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	var err error
	for err == nil {
		_, err = c.Write(make([]byte, 1<<20))
	}
	assert.Equal(t, c.CloseReason(), WriteTimeout)
	_, c, client := newTCPConn(t, &Limits{})
	assert.NilError(t, client.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, client.Close())
	for err = nil; err == nil; {
		_, err = c.Write(make([]byte, 1))
	}
	assert.Equal(t, c.CloseReason(), ConnectionReset)
}

// A client completes a TLS handshake and sends no request, as one that connects in advance does. Its bytes looked like
// a header that is being read: a stop waited for the request until its deadline, and a server without a header timeout
// kept the connection forever. While the reader is not blocked, the same bytes may contain a request.
func TestTLSHandshakeIsNotARequest(t *testing.T) {
	s, c, client := newTCPConn(t, &Limits{Idle: time.Second})
	s.onStateChange(tls.Server(c, &tls.Config{MinVersion: tls.VersionTLS12}), http.StateNew)
	_, err := io.WriteString(client, "hello")
	assert.NilError(t, err)
	p := make([]byte, 10)
	_, err = c.Read(p)
	assert.NilError(t, err)
	later := time.Now().Add(time.Hour)
	assert.Assert(t, !closedByStopAt(c, later), "closed before the reader had processed the bytes")
	failed := make(chan error)
	go func() {
		_, err := c.Read(p)
		failed <- err
	}()
	for !c.isReadBlocked() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !closedByStopAt(c, time.Now()), "closed although bytes had just arrived")
	assert.Assert(t, closedByStopAt(c, later))
	assert.ErrorIs(t, <-failed, net.ErrClosed)
}

func (c *Conn) isReadBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBlocked
}

// closedByStopAt reports whether a stop at the given time closes the connection.
func closedByStopAt(c *Conn, now time.Time) bool {
	c.closeIf(Stopped, func() bool { return c.closableOnStop(now) })
	return c.CloseReason() == Stopped
}
