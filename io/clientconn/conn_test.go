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

// A request has arrived and no goroutine has read it yet when idle connections are looked at, and when the process stops.
// The connection was ended with the request unread or just read, and its client got no answer. It must stay for as long as
// there is something to read.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	s, c, client := pair(t, &Limits{Idle: time.Second})
	rest(s, c)
	_, err := io.WriteString(client, "GET")
	assert.NilError(t, err)
	awaitUnread(t, c)
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, s.Release(), 1)
	assert.Equal(t, c.Ending(), Ending(""))
	p := make([]byte, 3)
	_, err = io.ReadFull(c, p)
	assert.NilError(t, err)
	assert.Equal(t, string(p), "GET")
	// Read, and not yet a request for anybody else.
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, s.Release(), 1)
	assert.Assert(t, c.begin())
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, s.Release(), 1)
	s.note(c, http.StateIdle)
	assert.Equal(t, s.Release(), 1)
	assert.Equal(t, c.Ending(), Ending(""), "net/http had not come to its next read")
	c.wait(true)
	s.Release()
	assert.Equal(t, c.Ending(), ByStop)
	_, err = client.Read(p)
	assert.ErrorIs(t, err, io.EOF)
}

// A read is waiting while the connection is ended: it must neither hold up the end nor be held up by it.
func TestEndMeetsAWaitingRead(t *testing.T) {
	s, c, _ := pair(t, &Limits{Idle: time.Second})
	s.note(c, http.StateIdle)
	failed := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		failed <- err
	}()
	for c.Ending() == "" {
		s.Sweep(time.Now().Add(time.Hour))
	}
	assert.ErrorIs(t, <-failed, net.ErrClosed)
	assert.Equal(t, c.Ending(), ByIdle)
	assert.Assert(t, !c.begin(), "a handler began on an ended connection")
}

// Errors of reads must look to net/http as net's own do: it tells a deadline from the rest by them.
func TestErrorsOfReads(t *testing.T) {
	_, c, client := pair(t, &Limits{})
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
	_, c, client := pair(t, &Limits{})
	assert.NilError(t, client.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, client.Close())
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, c.Ending(), ByReset)
}

// Where the kernel cannot be asked, the read itself decides: one that has bytes when the connection is to be ended goes on,
// and the connection with it; one that has none ends it.
func TestReadWithBytesKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c, client := pipe(t, &Limits{Idle: time.Second})
		s.note(c, http.StateIdle)
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		c.asked = ByIdle
		n, err := c.took(1, nil)
		c.mu.Unlock()
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
		assert.Equal(t, c.Ending(), Ending(""))
		s.note(c, http.StateIdle)
		c.wait(true)
		time.Sleep(3 * time.Second)
		sweep(s)
		assert.Equal(t, c.Ending(), ByIdle)
		_, err = client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}

// Bytes that a read brings after the process has ended the connection go nowhere: what was ended must not be served.
func TestBytesReadAfterTheEndGoNowhere(t *testing.T) {
	s, c, client := pair(t, &Limits{Idle: time.Second})
	rest(s, c)
	s.Sweep(time.Now().Add(time.Hour))
	assert.Equal(t, c.Ending(), ByIdle)
	_, err := c.took(3, nil)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Assert(t, !c.begin())
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Writes that fail tell of the client too: one that does not take its answer, and one that has gone.
func TestEndingsOfWrites(t *testing.T) {
	_, c, _ := pair(t, &Limits{})
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	var err error
	for err == nil {
		_, err = c.Write(make([]byte, 1<<20))
	}
	assert.Equal(t, c.Ending(), ByStall)
	_, c, client := pair(t, &Limits{})
	assert.NilError(t, client.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, client.Close())
	for err = nil; err == nil; {
		_, err = c.Write(make([]byte, 1))
	}
	assert.Equal(t, c.Ending(), ByReset)
}

// A client shakes hands on an encrypted connection, as one that connects ahead does, and asks for nothing. To the connection
// its bytes look like a header that is being read: a stop waited for the request until its time was over, and a server
// without a limit for headers kept the connection for ever. When the reader stands still, the same bytes may hold a request.
func TestHandshakeIsNoRequest(t *testing.T) {
	s, c, client := pair(t, &Limits{Idle: time.Second})
	s.note(tls.Server(c, &tls.Config{MinVersion: tls.VersionTLS12}), http.StateNew)
	_, err := io.WriteString(client, "hello")
	assert.NilError(t, err)
	p := make([]byte, 10)
	_, err = c.Read(p)
	assert.NilError(t, err)
	later := time.Now().Add(time.Hour)
	assert.Assert(t, !endedAt(c, later), "the reader has not looked at what came")
	failed := make(chan error)
	go func() {
		_, err := c.Read(p)
		failed <- err
	}()
	for !c.awaits() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !endedAt(c, time.Now()), "the client has just been heard")
	assert.Assert(t, endedAt(c, later))
	assert.ErrorIs(t, <-failed, net.ErrClosed)
}

func (c *Conn) awaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// endedAt tells whether a stop at that time ends the connection.
func endedAt(c *Conn, now time.Time) bool {
	c.endIf(ByStop, func() bool { return c.abandoned(now) })
	return c.Ending() == ByStop
}
