package retryshare

import (
	"sync"
	"time"
)

// Share counts first attempts and retries of this router in sliding windows, by service. The fleet's bound is a
// ratio of the requests plus a fixed slack in any window. The ratio splits by itself, since each router applies it to
// what it saw; the slack is divided by the number of routers. A router that has just started has seen nothing and has
// only its part of the slack, so that a herd of restarts mints no retries. The zero value allows none.
type Share struct {
	mu     sync.Mutex
	limits Limits
	// since is when counting began: slots are counted on the runtime's clock, because the time of day jumps.
	since time.Time
	by    map[string]*counts
}

// Limits are those of the whole fleet.
type Limits struct {
	// Ratio is how many retries there may be for each request, Slack how many more in a window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Routers is how many routers share the slack.
	Routers int
}

const (
	// slots is into how many parts a window is cut; retries count one part longer than the window, since the
	// windows that they are judged by begin at any moment.
	slots = 20
	// keep is the part of the fleet's bound that is given out; the rest covers clocks, requests that are judged in
	// another window than they were counted in, and routers not yet known.
	keep = 0.8
)

// counts are rings of slots, each for a part of a window.
type counts struct {
	firsts  [slots + 1]int
	retries [slots + 1]int
	at      int64
}

// SetLimits replaces the limits; counts are kept.
func (s *Share) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Window != s.limits.Window {
		s.by = nil
	}
	s.limits = l
}

// First counts a request for the service.
func (s *Share) First(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.counts(service, now); c != nil {
		c.firsts[c.at%(slots+1)]++
	}
}

// Allow counts a retry at the service, if there is room for it.
func (s *Share) Allow(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts(service, now)
	if c == nil || s.left(c) < 1 {
		return false
	}
	c.retries[c.at%(slots+1)]++
	return true
}

// Left is how many retries at the service this router may make now.
func (s *Share) Left(service string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts(service, now)
	if c == nil {
		return 0
	}
	return s.left(c)
}

func (s *Share) left(c *counts) float64 {
	firsts, retries := 0, 0
	for i := range c.firsts {
		firsts += c.firsts[i]
		retries += c.retries[i]
	}
	slack := s.limits.Slack / float64(max(s.limits.Routers, 1))
	return keep*(s.limits.Ratio*float64(firsts)+slack) - float64(retries)
}

// counts moves the rings of the service on to now.
func (s *Share) counts(service string, now time.Time) *counts {
	if s.limits.Window <= 0 {
		return nil
	}
	if s.by == nil {
		s.by, s.since = map[string]*counts{}, now
	}
	at := int64(now.Sub(s.since) / (s.limits.Window / slots))
	c := s.by[service]
	if c == nil {
		c = &counts{at: at}
		s.by[service] = c
	}
	if at-c.at > slots {
		c.at = at - slots - 1
	}
	for c.at < at {
		c.at++
		c.firsts[c.at%(slots+1)], c.retries[c.at%(slots+1)] = 0, 0
	}
	return c
}
