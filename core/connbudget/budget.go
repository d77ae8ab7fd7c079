package connbudget

import (
	"container/list"
	"sync"
	"time"
)

const (
	// connectionBytes is the memory in bytes of a connection: its goroutine, its buffers, and a head of up to freeHeadBytes.
	// servingBytes is what a request takes in addition while it is served.
	// secureBytes is what TLS takes in addition: its state, and a buffer for a record.
	connectionBytes = 24 << 10
	secureBytes     = 24 << 10
	servingBytes    = 40 << 10
	freeHeadBytes   = 4 << 10
	// freeHandshakeBytes is how many bytes of a handshake are held in the buffer for a record. More are held handshakeCopies times: in a
	// buffer that has grown by doubling, which stays, and as a message.
	freeHandshakeBytes = 18 << 10
	handshakeCopies    = 3
	// lineBytes is the memory in bytes of a header line in addition to its text: the strings, the slice and the map entry of its
	// name and value, with their garbage and a copy. A head as text is held once and copied once.
	lineBytes  = 256
	textCopies = 2
	// smallHeadBytes is the memory in bytes up to which a head is small: one of 16 KB in a hundred lines is. Larger ones may take
	// largeShare of the budget, so that clients with usual heads find room beside any number of them.
	smallHeadBytes = 64 << 10
	largeShare     = 0.5
	// usualPause is how long a client on a slow way may take between connecting and sending, or for a head. A connection that has
	// been in its state for longer is closed before the others.
	usualPause = 500 * time.Millisecond
	// maxEvictions limits how many connections are tried for a new one: some may have just received a request.
	maxEvictions = 4
)

// Budget is what the connections of a listener may take. It is safe for concurrent use. The zero value is unlimited and only counts.
type Budget struct {
	mu sync.Mutex
	// size is the memory in bytes, 0 for no limit. held is what is held of it, of which large belongs to large heads.
	size, held, large int64
	// most is the number of descriptors, 0 for no limit, and used how many of them are in use.
	most, used int
	open       int
	// connection is the memory in bytes of a connection in addition to connectionBytes.
	connection int64
	// byState are the connections by state, those that have been in it for longest first.
	byState [states]list.List
	// denied is how many connections or heads found no room, or were closed for others.
	denied uint64
}

// Connection is what is held of one connection.
type Connection struct {
	budget *Budget
	// evict closes the connection unless a request has arrived on it, and reports whether it did.
	evict func(s State) bool
	state State
	since time.Time
	place *list.Element
	head  int64
	// connection is the memory in bytes of the connection itself, handshake what it takes for a long handshake.
	connection, handshake int64
	removed               bool
}

// SetLimits sets the memory in bytes and the number of descriptors that connections may take, 0 for no limit. Connections that are
// open already stay.
func (b *Budget) SetLimits(bytes int64, descriptors int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size, b.most = bytes, descriptors
}

// SetSecure counts connections that are opened from now on as ones with TLS.
func (b *Budget) SetSecure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connection = secureBytes
}

// Usage returns the bytes held, the limit, the number of connections, and how many were denied what they need, or closed
// for others.
func (b *Budget) Usage() (held, size int64, connections int, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.size, b.open, b.denied
}

// Descriptors returns the number of descriptors in use, and the limit.
func (b *Budget) Descriptors() (used, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.most
}

// Open takes on a connection, if need be in the place of another one. It returns nil if there is no room. The connection must be
// closed. evict is called without a lock held.
func (b *Budget) Open(evict func(s State) bool) (c *Connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bytes := connectionBytes + b.connection
	if !b.makeRoom(bytes, 1, nil) {
		b.denied++
		return nil
	}
	c = &Connection{budget: b, evict: evict, since: time.Now(), connection: bytes}
	c.place = b.byState[Silent].PushBack(c)
	b.open++
	b.used++
	b.held += bytes
	return c
}

// makeRoom evicts connections other than c until there is room. The lock is released while one is closed.
func (b *Budget) makeRoom(bytes int64, descriptors int, c *Connection) (ok bool) {
	for range maxEvictions {
		if b.fits(bytes, descriptors) {
			return true
		}
		v := b.victim(c, time.Now())
		if v == nil {
			return false
		}
		b.tryEvict(v)
	}
	return b.fits(bytes, descriptors)
}

func (b *Budget) fits(bytes int64, descriptors int) bool {
	return (b.size <= 0 || b.held+bytes <= b.size) && (b.most <= 0 || b.used+descriptors <= b.most)
}

// victim returns the connection to be closed first, nil if there is none but c.
func (b *Budget) victim(c *Connection, now time.Time) (v *Connection) {
	for _, s := range evictionOrder {
		v = b.oldest(s, c)
		if v != nil && now.Sub(v.since) > usualPause {
			return v
		}
	}
	for _, s := range youngEvictionOrder {
		v = b.oldest(s, c)
		if v != nil {
			return v
		}
	}
	return nil
}

// oldest returns the connection that has been in the state for longest, c excepted.
func (b *Budget) oldest(s State, c *Connection) *Connection {
	e := b.byState[s].Front()
	if e != nil && e.Value.(*Connection) == c {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*Connection)
}

// tryEvict closes the connection. One that can't be closed comes last among those of its state.
func (b *Budget) tryEvict(v *Connection) {
	state := v.state
	b.byState[state].MoveToBack(v.place)
	b.mu.Unlock()
	closed := v.evict(state)
	b.mu.Lock()
	if closed && !v.removed {
		b.denied++
		v.remove()
	}
}

// Serve records that a request is to be served, and returns false if there is no room for that, even in place of other connections.
func (c *Connection) Serve() (ok bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state != Serving && !b.makeRoom(servingBytes, 1, c) {
		b.denied++
		return false
	}
	c.setState(Serving)
	return true
}

// SetState records what the connection is held for from now on.
func (c *Connection) SetState(s State) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.setState(s)
}

func (c *Connection) setState(s State) {
	b := c.budget
	if c.removed || c.state == s {
		return
	}
	b.byState[c.state].Remove(c.place)
	if c.state == Serving {
		b.used--
		b.held -= servingBytes
	}
	c.state, c.since = s, time.Now()
	c.place = b.byState[s].PushBack(c)
	if s == Serving {
		b.used++
		b.held += servingBytes
	}
	if s == Idle {
		c.setHead(0)
	}
}

// GrowHead records how many bytes and lines of a head have been received, and returns false if they may not be held. Other
// connections are closed for a small head.
func (c *Connection) GrowHead(bytes, lines int) (ok bool) {
	b := c.budget
	head := max(int64(textCopies*bytes)+int64(lineBytes*lines)-freeHeadBytes, 0)
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.removed || head <= c.head {
		return true
	}
	if !c.allows(head) {
		b.denied++
		return false
	}
	c.setHead(head)
	return true
}

func (c *Connection) allows(head int64) bool {
	b := c.budget
	if head <= smallHeadBytes {
		return b.size <= 0 || b.makeRoom(head-c.head, 0, c)
	}
	return b.allowsLarge(head-largePart(c.head), head-c.head)
}

// GrowHandshake records how many bytes of TLS have been received that contained nothing for the reader above it, and returns false if
// they may not be held. Those beyond a record count as a large head, for as long as the connection is open.
func (c *Connection) GrowHandshake(bytes int) (ok bool) {
	if bytes <= freeHandshakeBytes {
		return true
	}
	handshake := handshakeCopies * (int64(bytes) - freeHandshakeBytes)
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.removed || handshake <= c.handshake {
		return true
	}
	if !b.allowsLarge(handshake-c.handshake, handshake-c.handshake) {
		b.denied++
		return false
	}
	c.setHandshake(handshake)
	return true
}

func (c *Connection) setHandshake(handshake int64) {
	c.budget.held += handshake - c.handshake
	c.budget.large += handshake - c.handshake
	c.handshake = handshake
}

// allowsLarge reports whether there is room for that many bytes more, of which some become large.
func (b *Budget) allowsLarge(large, bytes int64) bool {
	return b.size <= 0 || float64(b.large+large) <= largeShare*float64(b.size) && b.fits(bytes, 0)
}

// largePart returns what of a head counts as large.
func largePart(head int64) int64 {
	if head <= smallHeadBytes {
		return 0
	}
	return head
}

func (c *Connection) setHead(head int64) {
	c.budget.held += head - c.head
	c.budget.large += largePart(head) - largePart(c.head)
	c.head = head
}

// Close releases what the connection holds.
func (c *Connection) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.removed {
		c.remove()
	}
}

func (c *Connection) remove() {
	b := c.budget
	c.removed = true
	b.byState[c.state].Remove(c.place)
	c.setHead(0)
	c.setHandshake(0)
	b.open--
	b.used--
	b.held -= c.connection
	if c.state == Serving {
		b.used--
		b.held -= servingBytes
	}
}
