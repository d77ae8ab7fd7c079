package entry

import (
	"context"
	"sync"
	"time"

	"savoryfall/core/directory"
)

// processState is what a router knows of an endpoint's process after an answer has broken off.
type processState string

// The states. A process that is alive has lost a connection only; of one that does not answer at all, nothing is known.
const (
	processEnded   processState = "ended"
	processAlive   processState = "alive"
	processUnknown processState = "unknown"
)

const (
	// processCheckTimeout limits a check. A machine that runs answers within a few milliseconds, with or without the process.
	processCheckTimeout = 100 * time.Millisecond
	// processCheckAge is how long the result of a check holds for the other requests that broke off at the same process.
	processCheckAge = time.Second
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
func (c *processChecks) check(e directory.Entry, connect func(ctx context.Context, address string) (refused bool, err error)) processState {
	if connect == nil {
		return processUnknown
	}
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
		p.state = stateOf(connect, e.Address)
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

func stateOf(connect func(ctx context.Context, address string) (refused bool, err error), address string) processState {
	ctx, cancel := context.WithTimeout(context.Background(), processCheckTimeout)
	defer cancel()
	refused, err := connect(ctx, address)
	switch {
	case refused:
		return processEnded
	case err != nil:
		return processUnknown
	}
	return processAlive
}
