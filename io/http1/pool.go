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
	"savoryfall/io/resetconn"
)

// Pool keeps idle connections to endpoints, by address. The zero value is an empty pool that is ready to use.
//
// The Transport of net/http is not used: it resends some requests if a persistent connection turns out to be closed, it
// does not tell whether bytes of a request were sent, and it may return a response that arrives late on a persistent
// connection to the next request.
type Pool struct {
	connect           func(ctx context.Context, address string) (net.Conn, error)
	mu                sync.Mutex
	idle              map[string][]*conn
	connectionsOpened uint64
	heads             headBudget
	// idleCount is the number of idle connections, and maxIdle the most there may be, 0 for no limit.
	idleCount, maxIdle int
}

const (
	// dialTimeout limits the time to open a connection. Within a region this takes a few milliseconds, and instead of
	// an endpoint that needs longer than this, another one can be used.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the time after which a connection with unacknowledged bytes is closed (TCP_USER_TIMEOUT): a
	// network partition gives no other sign. It also decides, in place of their count, when unanswered keep-alive probes
	// close a connection, and it exceeds the second or so for which a sound endpoint may be silent.
	userTimeout = 2500 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept at most. idleMargin is how much earlier than the endpoint it
	// is closed if the endpoint sends a timeout: a request that is sent while the endpoint closes the connection is
	// lost.
	maxIdleTime = 4 * time.Second
	idleMargin  = time.Second
	// maxIdleConns limits the idle connections to one endpoint.
	maxIdleConns = 32
)

// keepAlive and userTimeout close a connection three seconds after the last bytes of a peer that no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// NewPool creates a pool that opens connections with the given function.
func NewPool(connect func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{connect: connect}
}

// conn is a connection with its read buffer.
type conn struct {
	*resetconn.Conn
	r       *bufio.Reader
	limit   headLimiter
	address string
	reused  bool
	expires time.Time
}

// readBufferSize is the size of the read buffer in bytes. An event has a few hundred bytes, and the header of a
// response less than a thousand.
const readBufferSize = 4 << 10

// get returns an idle connection that shows no sign of having been closed, or a new one.
func (p *Pool) get(ctx context.Context, address string) (c *conn, err error) {
	for {
		c = p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.expires) && c.usable() {
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
	p.idleCount--
	return c
}

// SetMaxIdle sets how many idle connections there may be to all endpoints, 0 for no limit.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// full reports whether no other connection to the address may be kept.
func (p *Pool) full(address string) bool {
	return len(p.idle[address]) >= maxIdleConns || p.maxIdle > 0 && p.idleCount >= p.maxIdle
}

func (p *Pool) dial(ctx context.Context, address string) (c *conn, err error) {
	defer annotate.Error(&err, "connect to %s", address)
	connect := p.connect
	if connect == nil {
		connect = DialTCP
	}
	raw, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.connectionsOpened++
	p.mu.Unlock()
	tracked := resetconn.New(raw)
	c = &conn{Conn: tracked, address: address, limit: headLimiter{from: tracked, budget: &p.heads}}
	c.r = bufio.NewReaderSize(&c.limit, readBufferSize)
	return c, nil
}

// DialTCP opens a TCP connection to the address.
func DialTCP(ctx context.Context, address string) (c net.Conn, err error) {
	return DialTCPFrom(ctx, nil, address)
}

// DialTCPFrom opens a TCP connection to the address from the given local IP address, or from any if it is nil.
func DialTCPFrom(ctx context.Context, local net.IP, address string) (c net.Conn, err error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	if local != nil && !local.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: local}
	}
	return d.DialContext(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// usable reports whether an idle connection is still open and has received no bytes, which would belong to no request.
func (c *conn) usable() (ok bool) {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, is := c.Conn.Conn.(syscall.Conn)
	if !is {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = recvErr == unix.EAGAIN
		return true
	})
	return ok && err == nil
}

// singleUse reports whether the connection must not be kept for another request.
func (c *conn) singleUse() bool {
	_, is := c.Conn.Conn.(interface{ SingleUse() })
	return is
}

// DiscardIdle closes the idle connections to the addresses.
func (p *Pool) DiscardIdle(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		for _, c := range p.idle[address] {
			_ = c.Close()
		}
		p.idleCount -= len(p.idle[address])
		delete(p.idle, address)
	}
}

// put returns a connection to the pool. keep is how long the endpoint keeps it, or 0 if it does not say.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep > 0 {
		keep = min(keep-idleMargin, maxIdleTime)
	} else {
		keep = maxIdleTime
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep <= 0 || p.full(c.address) {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	c.expires = time.Now().Add(keep)
	p.idle[c.address] = append(p.idle[c.address], c)
	p.idleCount++
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			p.idleCount--
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// ConnectionsOpened returns the number of connections opened.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionsOpened
}
