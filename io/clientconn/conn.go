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

// state is what a connection is used for at the moment.
type state int

const (
	// fresh: accepted, nothing was read yet.
	fresh state = iota
	// reading: bytes that belong to no answered request were read, and no handler has begun on them.
	reading
	// serving: from the beginning of the handler until the answer was written.
	serving
	// idle: the answer was written, nothing of another request was read.
	idle
)

// Conn is one connection of a client.
//
// net/http calls a connection idle until it has parsed the next request's header. Whoever ended idle connections by that
// ended some whose request had been read already; it was parsed, sent on and cut, and its client got no answer. So the
// connection itself takes note of each byte under the lock under which it is ended.
type Conn struct {
	net.Conn
	// raw is nil where the kernel cannot be asked for unread bytes.
	raw syscall.RawConn

	mu     sync.Mutex
	state  state
	since  time.Time
	ending Ending
	// waiting tells that net/http waits for bytes. It does not when it has read more than the request before, or has not
	// come to it yet.
	waiting bool
	// asked is why a read that waits is to end the connection, where the kernel cannot be asked for unread bytes.
	asked Ending
	// limit is for how long the connection may be idle by what was in force when it became so: its client goes by that,
	// also when the limit has been lowered since.
	limit time.Duration
	// served is how many answers were written, idleFor how long the connection was idle before the present request.
	served  int
	idleFor time.Duration
	// readFor is how long the present request took from its first byte to its handler.
	readFor time.Duration
	// overdue is when the present request's header was first seen to be late.
	overdue time.Time
	// encrypted tells that what is read may be of a handshake, and not of a request; heard when the last bytes came.
	encrypted bool
	heard     time.Time
}

func newConn(c net.Conn) *Conn {
	w := &Conn{Conn: c, since: time.Now()}
	if sc, is := c.(syscall.Conn); is {
		raw, err := sc.SyscallConn()
		if err == nil {
			w.raw = raw
		}
	}
	return w
}

// Read marks the connection as used in the same step that takes the bytes from the kernel: between the two, a goroutine
// may stand still for as long as its VM does.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		c.wait(true)
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.took(n, err)
	}
	failed := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = readOnce(int(fd), p)
		if errors.Is(err, unix.EAGAIN) {
			c.waiting = true
			return false
		}
		n, err = c.took(n, err)
		return true
	})
	if failed != nil {
		c.wait(false)
		return 0, c.readError(failed)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = c.readError(err)
	}
	return n, err
}

func (c *Conn) wait(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
}

// Write notes when the other side is found to be gone, or does not take what is sent.
func (c *Conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lost(writeEnding(err))
	}
	return n, err
}

// CloseWrite ends the sending side. net/http does so before it waits for a client that is still sending: otherwise the
// client's bytes meet a closed connection, and the reset that answers them takes the answer with it.
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

// readError is the error as net itself gives it, which net/http looks for.
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

// took notes what a read brought. Bytes that come after this process has ended the connection go nowhere.
func (c *Conn) took(n int, err error) (int, error) {
	c.waiting = false
	if c.asked != "" {
		c.heed(n, err)
	}
	if c.ending.Ours() {
		return 0, c.readError(net.ErrClosed)
	}
	if n > 0 {
		c.heard = time.Now()
	}
	if n > 0 && (c.state == idle || c.state == fresh) {
		c.idleFor = time.Since(c.since)
		c.enter(reading)
	}
	if err != nil {
		c.lost(readEnding(err))
	}
	return n, err
}

// heed ends the connection, as was asked for, unless the read has brought something.
func (c *Conn) heed(n int, err error) {
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost(c.asked)
	}
	c.asked = ""
	_ = c.SetReadDeadline(time.Time{})
}

// lost notes the first end.
func (c *Conn) lost(e Ending) {
	if c.ending == "" {
		c.ending = e
	}
}

func (c *Conn) enter(s state) { c.state, c.since, c.overdue = s, time.Now(), time.Time{} }

// begin is called when a request's handler begins, and tells whether it may: not on a connection that was ended.
func (c *Conn) begin() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFor = time.Since(c.since)
	c.enter(serving)
	return !c.ending.Ours()
}

// encrypt is called when a server is to shake hands with the client before it reads requests.
func (c *Conn) encrypt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encrypted = true
}

// rest is called when an answer has been written.
func (c *Conn) rest(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	c.limit = limit
	c.enter(idle)
}

// endIf ends the connection when nobody is using it and may allows it: net/http waits for bytes, and none lie in the kernel.
func (c *Conn) endIf(why Ending, may func() bool) {
	c.mu.Lock()
	ended := c.ending == "" && c.unused() && c.waiting && may() && !c.unread()
	switch {
	case ended && c.raw == nil:
		// Only the read itself knows whether it has bytes. It decides when this deadline wakes it.
		ended, c.asked = false, why
		_ = c.SetReadDeadline(longAgo)
	case ended:
		c.ending = why
	}
	c.mu.Unlock()
	// Not under the lock: closing waits for a read that waits for the lock.
	if ended {
		_ = c.Close()
	}
}

// unused tells whether nothing of a request was read. An encrypted connection whose client has shaken hands and asked for
// nothing looks like one on which a header is being read; like the others, it is ended only while its reader waits for
// more, which it does when it has looked at all that came.
func (c *Conn) unused() bool {
	return c.state == idle || c.state == fresh || c.encrypted && c.served == 0 && c.state == reading
}

// abandoned tells whether a stopping process need not wait for a request on an unused connection any longer.
func (c *Conn) abandoned(now time.Time) bool {
	switch c.state {
	case idle:
		return true
	case fresh:
		return now.Sub(c.since) > newFor
	default:
		return now.Sub(c.heard) > newFor
	}
}

// longAgo as a deadline ends reads at once.
var longAgo = time.Unix(1, 0)

// cut ends the connection whatever it is used for.
func (c *Conn) cut() {
	c.mu.Lock()
	c.lost(ByStop)
	c.mu.Unlock()
	_ = c.Close()
}

// unread tells whether bytes wait in the kernel.
func (c *Conn) unread() (yes bool) {
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

// secondLook is how much later a late header is looked at again before it ends its connection.
const secondLook = 500 * time.Millisecond

// endLate ends the connection when a header is late and still is at a second look: a process that stood still must have
// time to go on with what it has read.
func (c *Conn) endLate(now time.Time, limit time.Duration) {
	c.mu.Lock()
	late := c.ending == "" && c.state == reading && now.Sub(c.since) > limit
	if late && c.overdue.IsZero() {
		c.overdue = now
	}
	ended := late && now.Sub(c.overdue) >= secondLook
	if ended {
		c.ending = ByHeader
	}
	c.mu.Unlock()
	if ended {
		_ = c.Close()
	}
}

// using is what the connection is used for.
func (c *Conn) using() state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Ending is why the connection has ended, empty while it has not and where net/http ended it after an answer.
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
		field.Ended, c.ending, field.Served, c.served, field.IdleMs, c.idleFor.Milliseconds(), field.ReadMs, c.readFor.Milliseconds(),
	}
}
