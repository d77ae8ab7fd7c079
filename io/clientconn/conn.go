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
	c.beginSocketRead(len(p))
	if c.raw == nil || len(p) == 0 {
		return c.readWithoutPeek(p)
	}
	failed := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = readOnce(int(fd), p)
		if errors.Is(err, unix.EAGAIN) {
			c.readBlocked = true
			return false
		}
		n, err = c.recordRead(n, err)
		c.recordTLS(p[:n])
		return true
	})
	if failed != nil {
		c.setReadBlocked(false)
		return 0, c.readError(failed)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = c.readError(err)
	}
	return n, err
}

// readWithoutPeek reads from a connection whose kernel can't be asked for unread bytes.
func (c *Conn) readWithoutPeek(p []byte) (n int, err error) {
	c.setReadBlocked(true)
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	n, err = c.recordRead(n, err)
	c.recordTLS(p[:n])
	deadlineSet := c.deadlineSet
	c.deadlineSet = nil
	c.mu.Unlock()
	if deadlineSet != nil {
		<-deadlineSet
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// beginSocketRead is called before a read from the socket, which is one of net/http unless there is TLS in between.
func (c *Conn) beginSocketRead(free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isTLS {
		c.beginReadLocked(free)
	}
}

func (c *Conn) recordTLS(p []byte) {
	if c.isTLS {
		c.ahead.records.add(p)
	}
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

// recordRead updates the state after a read. Bytes read after this process has closed the connection are dropped.
func (c *Conn) recordRead(n int, err error) (int, error) {
	c.readBlocked = false
	if c.pendingClose != "" {
		c.completePendingClose(n, err)
	}
	if c.closeReason.Local() {
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

func (c *Conn) setState(s state) { c.state, c.stateSince, c.lateSince = s, time.Now(), time.Time{} }

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
	c.ahead.deadlines, c.ahead.requestStarted = 0, false
}

// closeIf closes the connection if it is unused, net/http waits for bytes, the kernel has none and allowed returns
// true.
func (c *Conn) closeIf(reason CloseReason, allowed func() bool) {
	c.mu.Lock()
	closing := c.closeReason == "" && c.pendingClose == "" && c.unused() && c.readBlocked && allowed() && !c.hasUnreadBytes()
	var deadlineSet chan struct{}
	switch {
	case closing && c.raw == nil:
		closing, c.pendingClose = false, reason
		deadlineSet = make(chan struct{})
		c.deadlineSet = deadlineSet
	case closing:
		c.closeReason = reason
	}
	c.mu.Unlock()
	// Not under the lock: Close waits for a read that waits for the lock, and so may setting a deadline.
	switch {
	case deadlineSet != nil:
		// Only the read itself knows whether it has bytes. It decides when this deadline wakes it up.
		_ = c.Conn.SetReadDeadline(pastDeadline)
		close(deadlineSet)
	case closing:
		_ = c.Close()
	}
}

// unused reports whether nothing of a request has been read. A TLS connection whose client has sent something else than
// a request, such as a handshake, looks like one on which a header is being read. Like any other, it is closed only
// while its reader is blocked, that is, after the reader has processed everything received.
func (c *Conn) unused() bool {
	return c.state == idle || c.state == accepted || c.isTLS && c.state == reading && !c.holdsRequest()
}

// holdsRequest reports whether bytes of a request have arrived on a TLS connection on which nothing is being served.
func (c *Conn) holdsRequest() bool {
	return c.ahead.requestStarted || c.ahead.secured() && c.ahead.records.partial()
}

// closableOnStop reports whether a process that is stopping no longer needs to wait for a request on an unused
// connection.
func (c *Conn) closableOnStop(now time.Time) bool {
	switch c.state {
	case idle:
		return true
	case accepted:
		return now.Sub(c.stateSince) > requestGrace
	default:
		return now.Sub(c.lastRead) > requestGrace
	}
}

// pastDeadline, set as a deadline, makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// forceClose closes the connection in any state.
func (c *Conn) forceClose() {
	c.mu.Lock()
	c.setCloseReason(Stopped)
	c.mu.Unlock()
	_ = c.Close()
}

// hasUnreadBytes reports whether the kernel has bytes that have not been read.
func (c *Conn) hasUnreadBytes() (yes bool) {
	if c.raw == nil {
		return false
	}
	_ = c.raw.Control(func(fd uintptr) {
		var peek [1]byte
		n, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		yes = err == nil && n > 0
	})
	return yes
}

// lateHeaderRecheck is the minimum time between two checks that find a header late before its connection is closed.
const lateHeaderRecheck = 500 * time.Millisecond

// closeLateHeader closes the connection if a header is late at two checks: a process that was paused needs time to
// process what it has already read.
func (c *Conn) closeLateHeader(now time.Time, limit time.Duration) {
	c.mu.Lock()
	late := c.closeReason == "" && c.state == reading && now.Sub(c.stateSince) > limit
	if late && c.lateSince.IsZero() {
		c.lateSince = now
	}
	closing := late && now.Sub(c.lateSince) >= lateHeaderRecheck
	if closing {
		c.closeReason = HeaderTimeout
	}
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
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
