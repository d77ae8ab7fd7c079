package clientconn

import (
	"time"

	"golang.org/x/sys/unix"

	"savoryfall/core/connbudget"
)

// closeIf closes the connection if it is unused, net/http waits for bytes, the kernel has none and allowed returns
// true. It reports whether it has closed the connection, and not whether a blocked read is to close it.
func (c *Conn) closeIf(reason CloseReason, allowed func() bool) (closing bool) {
	c.mu.Lock()
	closing = c.closeReason == "" && c.pendingClose == "" && c.unused() && c.readBlocked && allowed() && !c.hasUnreadBytes()
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
	return closing
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

// evict closes the connection for another one, unless a request has arrived on it.
func (c *Conn) evict(s connbudget.State) (closed bool) {
	switch s {
	case connbudget.Silent, connbudget.Idle:
		return c.closeIf(Evicted, func() bool { return true })
	case connbudget.Lingering:
		_ = c.Close()
		return true
	}
	c.mu.Lock()
	closed = c.closeReason == "" && c.state == reading
	if closed {
		c.closeReason = Evicted
	}
	c.mu.Unlock()
	if closed {
		_ = c.Close()
	}
	return closed
}
