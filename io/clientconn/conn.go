package clientconn

import (
	"net"
	"sync"
	"time"
)

// state is what a connection is used for at the moment.
type state int

const (
	// fresh: accepted, nothing was read yet.
	fresh state = iota
	// serving: from the beginning of the handler until the answer was written.
	serving
	// idle: the answer was written, nothing of another request was read.
	idle
)

// Conn is one connection of a client, which knows what it is used for and how it ended.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	state  state
	since  time.Time
	ending Ending
	// limit is for how long the connection may be idle by what was in force when it became so: its client goes by that,
	// also when the limit has been lowered since.
	limit time.Duration
	// served is how many answers were written, idleFor how long the connection was idle before the present request.
	served  int
	idleFor time.Duration
	// readFor is how long the present request took from its first byte to its handler.
	readFor time.Duration
	// readAt is when the present request's first bytes were read.
	readAt time.Time
}

func newConn(c net.Conn) *Conn { return &Conn{Conn: c, since: time.Now()} }

// Read notes what came.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.took(n, err)
	return n, err
}

// took notes what a read brought.
func (c *Conn) took(n int, err error) {
	if n > 0 && (c.state == idle || c.state == fresh) && c.readAt.IsZero() {
		c.readAt = time.Now()
	}
	if err != nil && c.ending == "" {
		c.ending = endingOf(err)
	}
}

func (c *Conn) enter(s state) { c.state, c.since = s, time.Now() }

// begin is called when a request's handler begins.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleFor, c.readFor = c.readAt.Sub(c.since), time.Since(c.readAt)
	c.readAt = time.Time{}
	c.enter(serving)
}

// rest is called when an answer has been written.
func (c *Conn) rest(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	c.limit = limit
	c.enter(idle)
}

// endIf ends the connection when it is idle by net/http's word and may allows it.
func (c *Conn) endIf(why Ending, may func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending == "" && c.state == idle && may() {
		c.ending = why
		_ = c.Close()
	}
}

// Ending is why the connection has ended, empty while it has not.
func (c *Conn) Ending() Ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// Fields are the connection's part of a log line on a request: how it ended, what it had served before, how long it had
// been idle, and how long the request took from its first byte to its handler.
func (c *Conn) Fields() (keyvals []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []any{
		"ended", c.ending, "served", c.served, "idleMs", c.idleFor.Milliseconds(), "readMs", c.readFor.Milliseconds(),
	}
}
