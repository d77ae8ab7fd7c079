package background

import "sync"

// Group is a set of goroutines that a service has started; the zero value is empty.
type Group struct {
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// Go runs the function, or drops it when the group has stopped: an event that arrives while the service stops must
// not start work that nobody waits for.
func (g *Group) Go(do func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.running.Go(do)
	}
}

// Stop takes nothing more and waits for what runs.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.running.Wait()
}
