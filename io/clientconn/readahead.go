package clientconn

import "time"

// readAhead tells whether net/http, or TLS below it, holds bytes of a request whose header has not arrived completely.
// net/http reads while it still serves the previous request: in the background, to notice that the client
// disconnects, and with the previous request, if the client pipelines. The state of the connection does not show these
// bytes, and one that was closed as idle lost the request that they belong to.
type readAhead struct {
	// bufferSize is the size of net/http's buffer, which is empty at the first read. A read of fewer bytes means that
	// the buffer holds some.
	bufferSize int
	// deadlines counts the read deadlines that net/http has set since the last response.
	deadlines int
	// requestStarted reports that bytes of the current request have reached net/http. It is used only for TLS, where
	// bytes read from the socket may belong to something else.
	requestStarted bool
	records        tlsRecords
	// unread is how many bytes TLS has read since it last passed some to net/http. When it reads again, they are a part of a record, and
	// handshake messages beyond that.
	unread int
}

// secured reports whether the TLS handshake is complete: net/http reads only then.
func (a *readAhead) secured() bool { return a.bufferSize > 0 }

// beginRead is called when net/http is about to read into the free part of its buffer, whose size in bytes is free.
func (c *Conn) beginRead(free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginReadLocked(free)
}

func (c *Conn) beginReadLocked(free int) {
	if c.ahead.bufferSize == 0 {
		c.ahead.bufferSize = free
	}
	if c.state != idle {
		return
	}
	switch {
	case free < c.ahead.bufferSize:
		c.recordRequestBytes()
	case c.ahead.records.partial():
		c.startReading()
	}
}

// receivedRequestBytes is called when TLS has passed bytes to net/http. It returns what net/http has of the head that they belong to.
func (c *Conn) receivedRequestBytes(p []byte) (head headCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.unread = 0
	if c.state != serving {
		c.recordRequestBytes()
	}
	return c.addToHead(p)
}

// discardedBytes is called when TLS has passed bytes on that net/http does not receive.
func (c *Conn) discardedBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.unread = 0
}

// recordRequestBytes records that net/http holds bytes of a request that is not being served yet.
func (c *Conn) recordRequestBytes() {
	c.startReading()
	c.ahead.requestStarted = true
}

// deadlinesBeforeHeader is how many read deadlines net/http sets between a response and the next header: one before it
// waits for the first bytes, and another when it has them.
const deadlinesBeforeHeader = 2

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.state == idle {
		c.ahead.deadlines++
		if c.ahead.deadlines == deadlinesBeforeHeader {
			c.recordRequestBytes()
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}
