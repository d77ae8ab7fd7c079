package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

// link is a loopback proxy between two programs that can delay, block or reset its connections. Blocked bytes are
// delivered when the link heals, as they are after a network partition, unless the connection was reset in the
// meantime.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	delay    time.Duration
	blocked  [2]chan struct{}
	open     map[net.Conn]bool
}

// The directions of a link.
const (
	toTarget   = 0
	fromTarget = 1
)

// link opens a link to the target address.
func (h *harness) link(target string) (l *link) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(h.t, err)
	l = &link{listener: listener, target: target, open: map[net.Conn]bool{}}
	go l.accept()
	h.t.Cleanup(func() {
		l.heal()
		_ = listener.Close()
		l.reset()
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serveConn(c)
	}
}

func (l *link) serveConn(from net.Conn) {
	l.waitToDeliver(toTarget)
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	to, err := net.Dial("tcp4", target)
	if err != nil {
		resetConn(from)
		return
	}
	l.mu.Lock()
	l.open[from], l.open[to] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copyStream(to, from, toTarget) })
	both.Go(func() { l.copyStream(from, to, fromTarget) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, from)
	delete(l.open, to)
	l.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// copyStream copies one direction of a connection. It passes on a close as a close and a reset as a reset, so that a
// truncated answer never looks complete.
func (l *link) copyStream(to, from net.Conn, direction int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.waitToDeliver(direction)
		if n > 0 {
			_, failed := to.Write(buf[:n])
			if failed != nil {
				resetConn(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (l *link) waitToDeliver(direction int) {
	l.mu.Lock()
	blocked, delay := l.blocked[direction], l.delay
	l.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	<-time.After(delay)
}

// block stops one direction until the link heals.
func (l *link) block(direction int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked[direction] == nil {
		l.blocked[direction] = make(chan struct{})
	}
}

func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// reset resets all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		resetConn(c)
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = 0
	for i, blocked := range l.blocked {
		if blocked != nil {
			close(blocked)
			l.blocked[i] = nil
		}
	}
}

func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}
