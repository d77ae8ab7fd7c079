package command

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savoryfall/io/http1"
)

// partition cuts one router off from endpoints: connections that it opens fail in the way of the kind, and so do those
// that it has. The zero value is no partition.
type partition struct {
	mu    sync.Mutex
	kind  partitionKind
	only  map[string]bool
	conns map[*partitionedConn]bool
}

type partitionKind string

const (
	healed partitionKind = ""
	// resetKind resets connections and refuses new ones, silentKind drops all packets, refuseKind refuses new
	// connections only, oneWayKind drops the packets from the endpoints.
	resetKind  partitionKind = "reset"
	silentKind partitionKind = "silent"
	refuseKind partitionKind = "refuse"
	oneWayKind partitionKind = "oneWay"
)

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// silenceTimeout is when the kernel closes a connection whose peer does not respond.
const silenceTimeout = 3 * time.Second

// set begins a partition from the endpoints with the given addresses, or from all if there are none.
func (p *partition) set(kind partitionKind, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind, p.only = kind, map[string]bool{}
	for _, a := range addresses {
		p.only[a] = true
	}
	for c := range p.conns {
		switch {
		case !p.covers(c.address):
		case kind == healed && c.lost.Load():
			_ = c.Conn.Close()
		case kind == resetKind:
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		case kind == silentKind || kind == oneWayKind:
			time.AfterFunc(silenceTimeout, func() {
				if p.silent(c.address) {
					_ = c.Conn.Close()
				}
			})
		}
	}
}

func (p *partition) covers(address string) bool { return len(p.only) == 0 || p.only[address] }

func (p *partition) silent(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return (p.kind == silentKind || p.kind == oneWayKind) && p.covers(address)
}

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	kind := p.kind
	if !p.covers(address) {
		kind = healed
	}
	p.mu.Unlock()
	switch kind {
	case resetKind, refuseKind:
		return nil, errRefused
	case silentKind, oneWayKind:
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	raw, err := http1.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &partitionedConn{Conn: raw, partition: p, address: address}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*partitionedConn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

// partitionedConn is a connection of the router that can be cut off.
type partitionedConn struct {
	net.Conn
	partition *partition
	address   string
	// lost is set once bytes that were written in a partition have been dropped: the connection ends with the partition.
	lost atomic.Bool
	// readDeadline is when reads fail, in Unix nanoseconds, 0 for never.
	readDeadline atomic.Int64
}

// SetDeadline keeps the deadline for bytes that are held up.
func (c *partitionedConn) SetDeadline(t time.Time) error {
	c.keepDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline does the same for reads only.
func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.keepDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *partitionedConn) keepDeadline(t time.Time) {
	if t.IsZero() {
		c.readDeadline.Store(0)
		return
	}
	c.readDeadline.Store(t.UnixNano())
}

func (c *partitionedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	// Bytes that are held up arrive when the partition ends, unless the connection was closed meanwhile.
	for err == nil && c.partition.silent(c.address) {
		if deadline := c.readDeadline.Load(); deadline != 0 && time.Now().UnixNano() > deadline {
			return 0, os.ErrDeadlineExceeded
		}
		<-time.After(10 * time.Millisecond)
		if c.Conn.(*net.TCPConn).SetNoDelay(true) != nil {
			return 0, net.ErrClosed
		}
	}
	if c.lost.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *partitionedConn) Write(b []byte) (n int, err error) {
	if c.partition.silent(c.address) && c.partition.kindNow() == silentKind {
		c.lost.Store(true)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SyscallConn lets the router look at the connection before it uses it again.
func (c *partitionedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (p *partition) kindNow() partitionKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind
}

func (c *partitionedConn) Close() error {
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}
