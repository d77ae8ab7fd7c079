package origins

import (
	"context"
	"slices"
	"sync"
)

// Placement is where the record of a stream that is about to begin was sent. The zero value is a record that no other router
// needs.
type Placement struct {
	version string
	// earlier are the routers that may have a record of another version, of an earlier attempt of the request.
	earlier []*peer
	// any is closed once a router has the record, or none can be given it, and all once also the earlier ones have it.
	any, all chan struct{}
	anyOnce  sync.Once

	mu        sync.Mutex
	contacted []*peer
	// superseded is set once a later attempt has another record.
	superseded bool
}

// Shared reports whether other routers may have the record.
func (p *Placement) Shared() bool { return p != nil && p.any != nil }

// supersede takes over the routers that may have the record of an earlier attempt. They are given no older one from now on.
func (p *Placement) supersede(earlier *Placement) {
	if !earlier.Shared() {
		return
	}
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	earlier.superseded = true
	p.contacted = slices.Clone(earlier.contacted)
	if earlier.version != p.version || len(earlier.earlier) > 0 {
		p.earlier = slices.Clone(earlier.contacted)
	}
}

// contact reports whether the router may be given the record, and notes that it may have it.
func (p *Placement) contact(c *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.superseded {
		p.contacted = append(p.contacted, c)
	}
	return !p.superseded
}

func (p *Placement) acked() { p.anyOnce.Do(func() { close(p.any) }) }

// finish is called when no further router will be given the record.
func (p *Placement) finish(earlierAcked bool) {
	p.acked()
	if earlierAcked {
		close(p.all)
	}
}

// Wait waits until the first event may be forwarded, at most until the context ends, and reports whether another router has
// the record by then. safe is false if a router may still have a record of another version: then the stream must not begin.
func (p *Placement) Wait(ctx context.Context) (stored, safe bool) {
	if !p.Shared() {
		return true, true
	}
	if len(p.earlier) > 0 {
		select {
		case <-p.all:
			return true, true
		case <-ctx.Done():
			return false, false
		}
	}
	select {
	case <-p.any:
		return true, true
	case <-ctx.Done():
		return false, true
	}
}
