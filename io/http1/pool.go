package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savoryfall/core/annotate"
)

// Pool keeps idle connections to endpoints by address; the zero value is empty.
//
// net/http's own transport is not used: it resends some requests on a kept connection that turns out dead, it hides
// whether bytes of a request were sent, and it may hand an answer that came late on a kept connection to the next
// request.
type Pool struct {
	connect func(ctx context.Context, address string) (net.Conn, error)
	mu      sync.Mutex
	idle    map[string][]*conn
	dials   uint64
}

const (
	// dialTimeout bounds the making of a connection: within a region it takes some milliseconds, and the endpoint
	// that needs longer than this has another one beside it.
	dialTimeout = 400 * time.Millisecond
	// sendTimeout is when bytes that are not acknowledged end a connection: a cut leaves no other sign.
	sendTimeout = 1500 * time.Millisecond
	// idleMax is how long a connection is kept when the endpoint does not say, idleMargin how much sooner than the
	// endpoint says: a request that crosses the endpoint's close is lost.
	idleMax    = 4 * time.Second
	idleMargin = time.Second
	// idleAtMost bounds the idle connections to one endpoint.
	idleAtMost = 32
)

// keepAlive finds out within some seconds that the other side has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NewPool makes a pool that connects by the function, as tests without a network do.
func NewPool(connect func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{connect: connect}
}

// conn is one connection and what it has read ahead.
type conn struct {
	net.Conn
	r       *bufio.Reader
	address string
	reused  bool
	until   time.Time
}

// readAhead is the size of the read buffer in bytes: an event is some hundred, an answer's header below a thousand.
const readAhead = 4 << 10

// take returns a kept connection that shows no sign of having ended, or a new one.
func (p *Pool) take(ctx context.Context, address string) (c *conn, err error) {
	for {
		c = p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.until) && c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) (c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c = list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (c *conn, err error) {
	defer annotate.Error(&err, "connect to %s", address)
	connect := p.connect
	if connect == nil {
		connect = connectTCP
	}
	raw, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readAhead), address: address}, nil
}

func connectTCP(ctx context.Context, address string) (c net.Conn, err error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitSending}
	return d.DialContext(ctx, "tcp4", address)
}

func limitSending(_, _ string, raw syscall.RawConn) (err error) {
	failed := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout/time.Millisecond))
	})
	if failed != nil {
		return failed
	}
	return err
}

// quiet tells whether nothing has come on a kept connection: an end, or bytes that belong to no request.
func (c *conn) quiet() (ok bool) {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, is := c.Conn.(syscall.Conn)
	if !is {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, failed := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = failed == unix.EAGAIN
		return true
	})
	return ok && err == nil
}

// put keeps a connection for keep, or as long as is usual when keep is 0.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep > 0 {
		keep = min(keep-idleMargin, idleMax)
	} else {
		keep = idleMax
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep <= 0 || len(p.idle[c.address]) >= idleAtMost {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	c.until = time.Now().Add(keep)
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Dials is how many connections were made.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}
