package readrotation

import (
	"sync"
	"time"
)

// Rotation assigns reading to one router after the other, and keeps a router assigned as long as its reads succeed.
// The zero value has no assignments. Times are measured since boot.
//
// The store may reject the hub and serve other routers. When each router found that out by itself, an outage cost
// the store two calls a second from every router.
type Rotation struct {
	mu          sync.Mutex
	assignments map[string]*assignment
	// active is the number of current assignments, assigned the number of assignments made since the hub could last
	// read, and lastAssignedAt the time of the latest one.
	active         int
	assigned       int
	lastAssignedAt time.Duration
}

// assignment is the state of a router that was assigned to read.
type assignment struct {
	active bool
	// delivers is set if the router had newer data when it was assigned, or has delivered some since.
	delivers    bool
	startedAt   time.Duration
	deliveredAt time.Duration
}

const (
	// maxActive is how many routers are assigned at a time.
	maxActive = 2
	// fastAssignments is how many routers are assigned as fast as the previous ones fail: if the store serves some
	// routers, one of them is found this way. After that the store is assumed to be unavailable to all, and one
	// router is assigned per assignInterval.
	fastAssignments = 8
	assignInterval  = 2 * time.Second
	// deliveryTimeout is how long a router may take to deliver newer records: enough for several attempts at a
	// store that does not answer.
	deliveryTimeout = 900 * time.Millisecond
	// failureDelay is how long reports of failure are ignored after an assignment or delivery, because an earlier
	// report may describe the state before it.
	failureDelay = 250 * time.Millisecond
	// reassignDelay is how long a router that could not read is not assigned again; the cause of a rejection seldom
	// goes away sooner.
	reassignDelay = 5 * time.Second
)

// Hub is the state of the hub's own reads from the store.
type Hub struct {
	// Failing is set when the hub needs to read and cannot; Stale is set when its data is also becoming stale.
	Failing, Stale bool
}

// Router is the state that a router has just reported.
type Router struct {
	Name string
	// HasNewer is set when the router has newer data than the hub from its own reads; Failing is set when it cannot
	// read.
	HasNewer, Failing bool
}

// ShouldRead returns whether the router should read the store for the hub.
func (r *Rotation) ShouldRead(router Router, hub Hub, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !hub.Failing {
		r.assignments, r.active, r.assigned = nil, 0, 0
		return false
	}
	r.expire(now)
	current := r.assignments[router.Name]
	if current != nil && current.active {
		if router.Failing && now-current.deliveredAt > failureDelay {
			r.end(current)
		}
		return current.active
	}
	if !r.mayAssign(router, current, hub, now) {
		return false
	}
	if r.assignments == nil {
		r.assignments = map[string]*assignment{}
	}
	r.assignments[router.Name] = &assignment{active: true, delivers: router.HasNewer, startedAt: now, deliveredAt: now}
	r.active++
	r.assigned++
	r.lastAssignedAt = now
	return true
}

// mayAssign returns whether a router may be assigned, given its last assignment, or nil if it had none. One that has newer data
// is, unless enough others deliver.
func (r *Rotation) mayAssign(router Router, last *assignment, hub Hub, now time.Duration) bool {
	if router.HasNewer {
		return r.delivering() < maxActive
	}
	if !hub.Stale || r.active >= maxActive || last != nil && now-last.startedAt < reassignDelay {
		return false
	}
	return r.assigned < fastAssignments || now-r.lastAssignedAt >= assignInterval
}

func (r *Rotation) end(t *assignment) {
	t.active = false
	r.active--
}

// Delivered records that a router delivered something newer than the hub had.
func (r *Rotation) Delivered(router string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.assignments[router]; current != nil {
		current.deliveredAt, current.delivers = now, true
	}
}

// delivering returns the number of current assignments of routers that deliver.
func (r *Rotation) delivering() (n int) {
	for _, t := range r.assignments {
		if t.active && t.delivers {
			n++
		}
	}
	return n
}

// expire ends the assignments of routers that deliver nothing.
func (r *Rotation) expire(now time.Duration) {
	for _, t := range r.assignments {
		if t.active && now-t.deliveredAt > deliveryTimeout {
			r.end(t)
		}
	}
}
