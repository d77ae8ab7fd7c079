package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savoryfall/core/connbudget"
	"savoryfall/core/field"
)

// state is the state of a connection with respect to requests.
type state int

const (
	// accepted: nothing has been read yet.
	accepted state = iota
	// reading: bytes of an unanswered request have been read, and its handler has not started.
	reading
	// serving: from the start of the handler until the response has been written.
	serving
	// idle: the response has been written, and nothing of another request has been read.
	idle
)

// Conn is one client connection.
//
// net/http reports a connection as idle until it has parsed the header of the next request. Closing idle connections by
// that state closed some whose next request had already been read: it was parsed, forwarded and cancelled, and the
// client received no response. Therefore the connection itself records each read, under the same lock under which it is
// closed.
type Conn struct {
	net.Conn
	// raw is nil if the kernel cannot be asked for unread bytes.
	raw syscall.RawConn

	mu          sync.Mutex
	state       state
	stateSince  time.Time
	closeReason CloseReason
	// readBlocked is set while net/http waits for bytes. It is not set while net/http still has buffered bytes beyond
	// the previous request, or has not returned to reading yet.
	readBlocked bool
	// pendingClose is the reason for which a blocked read is to close the connection, where the kernel cannot be asked
	// for unread bytes.
	pendingClose CloseReason
	// deadlineSet is closed when the deadline of the pending close has been set. Until then, the read that it wakes up
	// must not take it back.
	deadlineSet chan struct{}
	// limit is the idle timeout in force when the connection became idle. The client relies on it even if the timeout
	// has been lowered since.
	limit time.Duration
	// responses is the number of responses written, idleTime how long the connection was idle before the current
	// request.
	responses int
	idleTime  time.Duration
	// readTime is the time from the first byte of the current request to the start of its handler.
	readTime time.Duration
	// lateSince is when the header of the current request was first found to be late.
	lateSince time.Time
	// isTLS reports that bytes read may belong to a TLS handshake instead of a request. lastRead is when bytes were
	// last read.
	isTLS    bool
	lastRead time.Time
	ahead    readAhead
	// set is the set that the connection belongs to, and place its place in the set's budget.
	set   *Set
	place *connbudget.Connection
	head  headCount
	// discarding is set while what a refused client still sends is read.
	discarding bool
}

func newConn(c net.Conn) *Conn {
	w := &Conn{Conn: c, stateSince: time.Now()}
	if sc, is := c.(syscall.Conn); is {
		raw, err := sc.SyscallConn()
		if err == nil {
			w.raw = raw
		}
	}
	return w
}

// Read updates the state in the same critical section in which the bytes are taken from the kernel. Otherwise, the
// goroutine could be paused between the two for as long as its VM is.
func (c *Conn) Read(p []byte) (n int, err error) {
	unread := c.beginSocketRead(len(p))
	if !c.place.GrowHandshake(unread) {
		return 0, c.refuseHandshake()
	}
	if c.raw == nil || len(p) == 0 {
		return c.readWithoutPeek(p)
	}
	var head headCount
	failed := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = readOnce(int(fd), p)
		if errors.Is(err, unix.EAGAIN) {
			c.readBlocked = true
			return false
		}
		n, err = c.recordRead(n, err)
		head = c.recordBytes(p[:n])
		return true
	})
	if failed != nil {
		c.setReadBlocked(false)
		return 0, c.readError(failed)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = c.readError(err)
	}
	return c.refuseSocketRead(head, p, n, err)
}

// readWithoutPeek reads from a connection whose kernel can't be asked for unread bytes.
func (c *Conn) readWithoutPeek(p []byte) (n int, err error) {
	c.setReadBlocked(true)
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	n, err = c.recordRead(n, err)
	head := c.recordBytes(p[:n])
	deadlineSet := c.deadlineSet
	c.deadlineSet = nil
	c.mu.Unlock()
	if deadlineSet != nil {
		<-deadlineSet
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return c.refuseSocketRead(head, p, n, err)
}

// beginSocketRead is called before a read from the socket, which is one of net/http unless there is TLS in between. It returns how many
// bytes TLS holds of what it has read before.
func (c *Conn) beginSocketRead(free int) (unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isTLS {
		c.beginReadLocked(free)
	}
	return c.ahead.unread
}

func (c *Conn) setReadBlocked(readBlocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBlocked = readBlocked
}

// Write records if the peer is gone or does not read what is sent.
func (c *Conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setCloseReason(writeCloseReason(err))
	}
	return n, err
}

// CloseWrite shuts down the sending side. net/http does this before it waits for a client that is still sending:
// otherwise the client's bytes arrive at a closed socket, and the resulting reset may discard the response.
func (c *Conn) CloseWrite() error {
	c.place.SetState(connbudget.Lingering)
	half, is := c.Conn.(interface{ CloseWrite() error })
	if !is {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

func readOnce(fd int, p []byte) (n int, err error) {
	for {
		n, err = unix.Read(fd, p)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// readError returns the error in the form in which package net returns it, which net/http checks for.
func (c *Conn) readError(cause error) error {
	var of *net.OpError
	if errors.As(cause, &of) {
		cause = of.Err
	}
	var number syscall.Errno
	if errors.As(cause, &number) {
		cause = os.NewSyscallError("read", number)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}

// recordRead updates the state after a read. Bytes read after this process has closed the connection are dropped, but for those that are
// read to be discarded.
func (c *Conn) recordRead(n int, err error) (int, error) {
	c.readBlocked = false
	if c.pendingClose != "" {
		c.completePendingClose(n, err)
	}
	if c.closeReason.Local() && !c.discarding {
		return 0, c.readError(net.ErrClosed)
	}
	if n > 0 {
		c.lastRead = time.Now()
	}
	if n > 0 {
		c.startReading()
	}
	if err != nil {
		c.setCloseReason(readCloseReason(err))
	}
	return n, err
}

// completePendingClose records the requested close, unless the read has returned bytes or another error. The read then
// fails, and net/http closes the connection.
func (c *Conn) completePendingClose(n int, err error) {
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.setCloseReason(c.pendingClose)
	}
	c.pendingClose = ""
}

// setCloseReason records why the connection was closed. Only the first reason is kept.
func (c *Conn) setCloseReason(reason CloseReason) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

func (c *Conn) setState(s state) {
	c.state, c.stateSince, c.lateSince = s, time.Now(), time.Time{}
	switch s {
	case reading:
		c.place.SetState(connbudget.Reading)
	case idle:
		c.place.SetState(connbudget.Idle)
	}
}

// startReading records that bytes have arrived, unless a request is already being read or served.
func (c *Conn) startReading() {
	if c.state == idle || c.state == accepted {
		c.idleTime = time.Since(c.stateSince)
		c.setState(reading)
	}
}

// startRequest is called when the handler of a request starts. It returns false if this process has closed the
// connection, in which case the request must not be served.
func (c *Conn) startRequest() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTime = time.Since(c.stateSince)
	c.setState(serving)
	return !c.closeReason.Local()
}

// holdRequest counts what the request takes that has started, and returns false if there is no room for it. A head that arrived with the
// previous request has not been counted by a read of its own. It must not be called with the lock held: others are closed for it.
func (c *Conn) holdRequest() (ok bool) {
	c.mu.Lock()
	head := c.head
	c.mu.Unlock()
	if c.place.Serve() && c.place.GrowHead(head.bytes, head.lines) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseReason(NoMemory)
	return false
}

// setTLS is called when a server is about to do a TLS handshake with the client.
func (c *Conn) setTLS() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isTLS = true
}

// finishResponse is called when a response has been written. limit is the idle timeout that applies.
func (c *Conn) finishResponse(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses++
	c.limit = limit
	c.setState(idle)
	c.head.next()
	c.ahead.deadlines, c.ahead.requestStarted = 0, false
}

// currentState returns the state of the connection.
func (c *Conn) currentState() state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// CloseReason returns why the connection was closed. It is empty while the connection is open, and if net/http closed
// it after a response.
func (c *Conn) CloseReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// LogFields returns log fields for a request on the connection: why the connection was closed, how many responses it
// had carried before, how long it had been idle, and the time from the request's first byte to its handler.
func (c *Conn) LogFields() (keyvals []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []any{
		field.Ended, c.closeReason, field.Served, c.responses, field.IdleMs, c.idleTime.Milliseconds(), field.ReadMs, c.readTime.Milliseconds(),
	}
}
