package clientconn

import (
	"bytes"
	"io"
	"net"
	"time"

	"savoryfall/core/connbudget"
)

// headCount counts what has been received of the head of the current request. What net/http holds of the bytes after it is not known
// here, so that the count may be too high by what two of its buffers hold.
type headCount struct {
	bytes, lines int
	// lastBytes and lastLines count the last read, which may have brought a part of the next request.
	lastBytes, lastLines int
}

const (
	// readerBytes is the size in bytes of the buffer through which net/http reads heads.
	readerBytes = 4 << 10
	// headSlack is by how many bytes the count of a head may be too high.
	headSlack = 2 * readerBytes
	// discardBytes and lingerTime limit how much of a client that has been refused is read, and for how long.
	discardBytes = 256 << 10
	lingerTime   = 100 * time.Millisecond
)

// add counts bytes received while a head is being read.
func (h *headCount) add(p []byte, isHead bool) {
	lines := 0
	if isHead || len(p) <= readerBytes {
		lines = bytes.Count(p, []byte{'\n'})
	}
	if len(p) > 1 {
		h.lastBytes, h.lastLines = 0, 0
	}
	h.lastBytes += len(p)
	h.lastLines += lines
	if isHead {
		h.bytes += len(p)
		h.lines += lines
	}
}

// next begins the head of the next request. A read of more than a buffer was one of a body.
func (h *headCount) next() {
	h.bytes, h.lines = 0, 0
	if h.lastBytes <= readerBytes {
		h.bytes, h.lines = h.lastBytes, h.lastLines
	}
}

// recordBytes records bytes that were read from the socket. Unless TLS is in between, net/http receives them, and head is what it has of
// the head that they belong to. The caller holds the lock.
func (c *Conn) recordBytes(p []byte) (head headCount) {
	switch {
	case len(p) == 0:
		return headCount{}
	case c.isTLS:
		c.ahead.records.add(p)
		c.ahead.unread += len(p)
		return headCount{}
	}
	return c.addToHead(p)
}

// addToHead counts bytes that net/http receives, and returns what it has of the head that they belong to, nothing if they belong to
// none. The caller holds the lock.
func (c *Conn) addToHead(p []byte) (head headCount) {
	isHead := c.state == reading
	c.head.add(p, isHead)
	if !isHead {
		return headCount{}
	}
	return c.head
}

// refuseSocketRead refuses the head that a read from the socket has continued, if it may not be held.
func (c *Conn) refuseSocketRead(head headCount, p []byte, n int, err error) (int, error) {
	refused := c.checkHead(head)
	if refused == "" {
		return n, err
	}
	return 0, c.refuseHead(refused, c.Conn, p)
}

// checkHead returns why a head is refused, if it is. The lock must not be held: others are closed for it.
func (c *Conn) checkHead(head headCount) (refused CloseReason) {
	if head.bytes == 0 {
		return ""
	}
	if limit := c.set.headLimit(time.Now()); limit > 0 && head.bytes > limit+headSlack {
		return HeadTooLarge
	}
	if !c.place.GrowHead(head.bytes, head.lines) {
		return NoMemory
	}
	return ""
}

// refuseHead answers the request whose head is being read, and returns the error for net/http, which then closes the connection. For a
// moment, what the client is still sending is read into p: bytes that arrive at a closed socket reset the connection, and the client
// may not receive the refusal.
func (c *Conn) refuseHead(reason CloseReason, w net.Conn, p []byte) (err error) {
	c.mu.Lock()
	first := c.closeReason == ""
	c.setCloseReason(reason)
	c.mu.Unlock()
	if !first {
		return c.readError(net.ErrClosed)
	}
	_ = w.SetDeadline(time.Now().Add(lingerTime))
	c.place.SetState(connbudget.Lingering)
	_, err = io.WriteString(w, refusals[reason].text())
	half, is := w.(interface{ CloseWrite() error })
	if is && err == nil {
		err = half.CloseWrite()
	}
	c.setDiscarding(true)
	for n, total := 0, 0; err == nil && total < discardBytes; total += n {
		n, err = w.Read(p)
		c.discardedBytes()
	}
	c.setDiscarding(false)
	return c.readError(net.ErrClosed)
}

func (c *Conn) setDiscarding(discarding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discarding = discarding
}
