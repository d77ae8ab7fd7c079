package reach

import (
	"sync"
	"time"

	"savoryfall/core/directory"
)

// Tracker records the outcomes of connection attempts. A service is unreachable if this router's attempts at its
// endpoints fail one after the other: then this router may be cut off, or the endpoints may all be lost. The zero value
// knows no endpoint.
type Tracker struct {
	mu        sync.Mutex
	services  map[string]*service
	byAddress map[string]*target
}

// service is what this router knows of the way to the endpoints of a service.
type service struct {
	name    string
	targets int
	// failedInRow are the addresses at which attempts have failed since one last succeeded at any endpoint, and when.
	failedInRow map[string]time.Time
	// unreachableSince is zero if the service is reachable.
	unreachableSince time.Time
	// noRelayAt is when there was last no router that reaches the service, zero if there has been one since.
	noRelayAt time.Time
}

// target is what this router knows of the ways to one endpoint.
type target struct {
	service       *service
	failureDomain string
	// down is set while the newest attempt at the endpoint has failed.
	down bool
	// relayFailedAt is when other routers last failed to connect to the endpoint, zero if they have not or have
	// succeeded since.
	relayFailedAt time.Time
	probedAt      time.Time
}

const (
	// minFailedInRow is the number of endpoints in a row at which attempts must fail: one or two endpoints fail more often
	// by themselves than a router is cut off. In a small service it is all but one, because a request that was sent to one
	// endpoint has only the others left.
	minFailedInRow = 3
	// failureWindow is the time within which they must fail.
	failureWindow = 5 * time.Second
)

// failuresNeeded returns the number of endpoints at which attempts must fail for the service to be unreachable.
func (s *service) failuresNeeded() int { return max(1, min(minFailedInRow, s.targets-1)) }

// recentFailures returns the number of endpoints at which attempts have failed in a row, and forgets older ones.
func (s *service) recentFailures(now time.Time) int {
	for address, at := range s.failedInRow {
		if now.Sub(at) > failureWindow {
			delete(s.failedInRow, address)
		}
	}
	return len(s.failedInRow)
}

// Change is a service that has become unreachable or reachable.
type Change struct {
	Service   string
	Reachable bool
	// After is how long the service was unreachable, if it has become reachable.
	After time.Duration
	// Endpoints is the number of endpoints, Down how many of them the newest attempts have failed at.
	Endpoints, Down int
}

// Update sets the endpoints. What is known of the way to an address is kept while it belongs to the same service. A
// service is reachable again if the endpoints at which attempts failed are gone. The changes are returned.
func (t *Tracker) Update(entries []directory.Entry, now time.Time) (changes []*Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.byAddress
	t.byAddress = map[string]*target{}
	for _, s := range t.services {
		s.targets = 0
	}
	for _, e := range entries {
		s := t.service(e.Service)
		known := before[e.Address]
		if known == nil || known.service != s {
			known = &target{service: s}
		}
		known.failureDomain = e.FailureDomain
		t.byAddress[e.Address] = known
		s.targets++
	}
	for name, s := range t.services {
		if s.targets == 0 {
			delete(t.services, name)
			continue
		}
		s.forgetRemoved(t.byAddress)
		if c := t.change(s); !s.unreachableSince.IsZero() && c.Down == 0 {
			t.setReachable(s, c, now)
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Tracker) service(name string) (s *service) {
	if t.services == nil {
		t.services = map[string]*service{}
	}
	s = t.services[name]
	if s == nil {
		s = &service{name: name, failedInRow: map[string]time.Time{}}
		t.services[name] = s
	}
	return s
}

// forgetRemoved drops failures at endpoints that the service no longer has.
func (s *service) forgetRemoved(byAddress map[string]*target) {
	for address := range s.failedInRow {
		if known := byAddress[address]; known == nil || known.service != s {
			delete(s.failedInRow, address)
		}
	}
}

// Record records the outcome of an attempt of this router to connect to the address, and returns the change that
// follows from it, nil if there is none. A service that is unreachable is reachable again once an attempt succeeds at
// an endpoint where the one before failed: an endpoint that could be reached all the time shows nothing of the others.
func (t *Tracker) Record(address string, connected bool, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.byAddress[address]
	if to == nil {
		return nil
	}
	s := to.service
	wasDown := to.down
	to.down = !connected
	if !connected {
		s.failedInRow[address] = now
		if !s.unreachableSince.IsZero() || s.recentFailures(now) < s.failuresNeeded() {
			return nil
		}
		s.unreachableSince = now
		return t.change(s)
	}
	clear(s.failedInRow)
	if s.unreachableSince.IsZero() || !wasDown {
		return nil
	}
	c := t.change(s)
	t.setReachable(s, c, now)
	return c
}

func (t *Tracker) setReachable(s *service, c *Change, now time.Time) {
	c.Reachable, c.After = true, now.Sub(s.unreachableSince)
	s.unreachableSince = time.Time{}
	t.clearDown(s)
}

func (t *Tracker) change(s *service) *Change {
	c := &Change{Service: s.name, Endpoints: s.targets}
	for _, to := range t.byAddress {
		if to.service == s && to.down {
			c.Down++
		}
	}
	return c
}

func (t *Tracker) clearDown(s *service) {
	for _, to := range t.byAddress {
		if to.service == s {
			to.down = false
		}
	}
}

// Addresses returns the addresses of the service's endpoints.
func (t *Tracker) Addresses(name string) (addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, to := range t.byAddress {
		if to.service.name == name {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// UnreachableFor returns for how long the service has been unreachable, 0 if it is reachable.
func (t *Tracker) UnreachableFor(name string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.unreachableSince.IsZero() {
		return 0
	}
	return now.Sub(s.unreachableSince)
}

// UnreachableServices returns the number of services that are unreachable.
func (t *Tracker) UnreachableServices() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if !s.unreachableSince.IsZero() {
			n++
		}
	}
	return n
}
