package process

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// State is what a router knows of an endpoint's process after an answer has broken off.
type State string

// The states. A process that is alive has lost a connection only; of one that does not respond at all, nothing is known.
const (
	Ended   State = "ended"
	Alive   State = "alive"
	Unknown State = "unknown"
)

const (
	// checkTimeout limits a check. A machine that runs answers within a few milliseconds, with or without the process.
	checkTimeout = 100 * time.Millisecond
	// endTimeout is how long a new connection is watched for its end.
	endTimeout = 30 * time.Millisecond
	// checkAge is how long a check counts for the other requests that break off at the same process: those that its end
	// breaks off do so together.
	checkAge = 100 * time.Millisecond
)

// Checker finds out whether processes of endpoints have ended. All requests that break off at one process share a check. The zero
// value is ready to use.
type Checker struct {
	mu      sync.Mutex
	running map[string]*check
}

// check is one check. state is set once done is closed.
type check struct {
	began time.Time
	done  chan struct{}
	state State
}

// Check returns the state of the process with the id, which listens at the address.
func (c *Checker) Check(id, address string, dial func(ctx context.Context, address string) (net.Conn, error)) State {
	now := time.Now()
	c.mu.Lock()
	p := c.running[id]
	first := p == nil || now.Sub(p.began) > checkAge
	if first {
		c.forgetOld(now)
		p = &check{began: now, done: make(chan struct{})}
		c.running[id] = p
	}
	c.mu.Unlock()
	if first {
		p.state = ask(dial, address)
		close(p.done)
	}
	<-p.done
	return p.state
}

func (c *Checker) forgetOld(now time.Time) {
	if c.running == nil {
		c.running = map[string]*check{}
	}
	for id, p := range c.running {
		if now.Sub(p.began) > checkAge {
			delete(c.running, id)
		}
	}
}

// ask finds out whether a process listens at the address. A connection that is refused, or that is ended at once by what
// stands before the process, shows that none does: a machine that is lost does not respond at all.
func ask(dial func(ctx context.Context, address string) (net.Conn, error), address string) State {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(endTimeout))
		_, err = conn.Read(make([]byte, 1))
		if err == nil || timedOut(err) {
			return Alive
		}
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return Ended
	}
	return Unknown
}

func timedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
