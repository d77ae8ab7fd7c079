package rota

import (
	"sync"
	"time"
)

// Rota asks one router after the other to read for the hub, and goes on with one that can; the zero value asks nobody. Times
// are of the clock since boot.
//
// The store may turn the hub away and serve others. When each router found that out by itself, an outage cost the store two
// calls a second from every router.
type Rota struct {
	mu    sync.Mutex
	turns map[string]*turn
	// active is how many are asked now, asked how many were since the hub could read last, and lastAt when the last was.
	active int
	asked  int
	lastAt time.Duration
}

// turn is a router that was asked.
type turn struct {
	active    bool
	since     time.Duration
	delivered time.Duration
}

const (
	// atOnce is how many routers are asked at a time.
	atOnce = 2
	// atFirst is how many routers are asked as fast as they fail: where the store serves some, one of them is found so.
	// After that the store is taken to be away from all, and one is asked each pace.
	atFirst = 8
	pace    = 2 * time.Second
	// turnTime is how long a router has to bring something: some tries at a store that does not answer.
	turnTime = 900 * time.Millisecond
	// failTime is after how long a router is believed that says it cannot read; what it says sooner may be of before.
	failTime = 250 * time.Millisecond
	// again is how long a router that could not read is not asked: what turned it away is seldom over sooner.
	again = 5 * time.Second
)

// Hub is how the hub itself stands with the store.
type Hub struct {
	// Failing tells that it must read and cannot, Starving that what it knows is getting old besides.
	Failing, Starving bool
}

// Router is what one that has just reported says of itself.
type Router struct {
	Name string
	// Newer tells that it knows more than the hub, by reads of its own; Failing that it cannot read.
	Newer, Failing bool
}

// Asks tells a router whether it is to read.
func (r *Rota) Asks(router Router, hub Hub, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !hub.Failing {
		r.turns, r.active, r.asked = nil, 0, 0
		return false
	}
	r.expire(now)
	t := r.turns[router.Name]
	if t != nil && t.active {
		if router.Failing && now-t.delivered > failTime {
			r.end(t)
		}
		return t.active
	}
	if !router.Newer && !r.due(t, hub, now) {
		return false
	}
	if r.turns == nil {
		r.turns = map[string]*turn{}
	}
	r.turns[router.Name] = &turn{active: true, since: now, delivered: now}
	r.active++
	r.asked++
	r.lastAt = now
	return true
}

// due tells whether a router is to be asked that had its last turn then.
func (r *Rota) due(last *turn, hub Hub, now time.Duration) bool {
	if !hub.Starving || r.active >= atOnce || last != nil && now-last.since < again {
		return false
	}
	return r.asked < atFirst || now-r.lastAt >= pace
}

func (r *Rota) end(t *turn) {
	t.active = false
	r.active--
}

// Delivered notes that a router brought something newer than the hub had.
func (r *Rota) Delivered(router string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.turns[router]; t != nil {
		t.delivered = now
	}
}

// expire ends the turns of routers that bring nothing.
func (r *Rota) expire(now time.Duration) {
	for _, t := range r.turns {
		if t.active && now-t.delivered > turnTime {
			r.end(t)
		}
	}
}
