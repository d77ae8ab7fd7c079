package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"savoryfall/core/directory"
)

// processState is what a router knows of an endpoint's process after an answer has broken off.
type processState string

// The states. A process that is alive has lost a connection only; of one that does not respond at all, nothing is known.
const (
	processEnded   processState = "ended"
	processAlive   processState = "alive"
	processUnknown processState = "unknown"
)

const (
	// processCheckTimeout limits a check. A machine that runs answers within a few milliseconds, with or without the process.
	processCheckTimeout = 100 * time.Millisecond
	// endTimeout is how long a new connection is watched for its end.
	endTimeout = 30 * time.Millisecond
	// processCheckAge is how long a check counts for the other requests that break off at the same process: those that its end
	// breaks off do so together.
	processCheckAge = 100 * time.Millisecond
)

// processChecks finds out whether processes of endpoints have ended. All requests that break off at one process share a
// check. The zero value is ready to use.
type processChecks struct {
	mu      sync.Mutex
	running map[processID]*processCheck
}

// processID identifies the process of an endpoint.
type processID struct {
	endpoint string
	born     int64
}

// processCheck is one check. state is set once done is closed.
type processCheck struct {
	began time.Time
	done  chan struct{}
	state processState
}

// check returns the state of the process that the entry describes.
func (c *processChecks) check(e directory.Entry, dial func(ctx context.Context, address string) (net.Conn, error)) processState {
	now := time.Now()
	id := processID{endpoint: e.ID, born: e.Born}
	c.mu.Lock()
	p := c.running[id]
	first := p == nil || now.Sub(p.began) > processCheckAge
	if first {
		c.forgetOld(now)
		p = &processCheck{began: now, done: make(chan struct{})}
		c.running[id] = p
	}
	c.mu.Unlock()
	if first {
		p.state = askProcess(dial, e.Address)
		close(p.done)
	}
	<-p.done
	return p.state
}

func (c *processChecks) forgetOld(now time.Time) {
	if c.running == nil {
		c.running = map[processID]*processCheck{}
	}
	for id, p := range c.running {
		if now.Sub(p.began) > processCheckAge {
			delete(c.running, id)
		}
	}
}

// askProcess finds out whether a process listens at the address. A connection that is refused, or that is ended at once by what
// stands before the process, shows that none does: a machine that is lost does not respond at all.
func askProcess(dial func(ctx context.Context, address string) (net.Conn, error), address string) processState {
	ctx, cancel := context.WithTimeout(context.Background(), processCheckTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(endTimeout))
		_, err = conn.Read(make([]byte, 1))
		if err == nil || isTimeout(err) {
			return processAlive
		}
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return processEnded
	}
	return processUnknown
}
