package background

import "sync"

// Group is a set of goroutines that a service has started. The zero value is empty.
type Group struct {
	mu         sync.Mutex
	stopped    bool
	goroutines sync.WaitGroup
}

// Go runs f in a goroutine, or ignores it if the group has stopped: an event that arrives while the service stops
// must not start work that nothing waits for.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.goroutines.Go(f)
	}
}

// Stop accepts no further goroutines and waits for the running ones.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.goroutines.Wait()
}
