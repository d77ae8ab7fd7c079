package retrylimit

import (
	"sync"
	"time"
)

// Limiter counts first attempts and retries of this router in sliding windows, by service. The fleet's bound in any
// window is a ratio of the requests plus a fixed slack. The ratio needs no division, since each router applies it to
// its own requests; the slack is divided by the number of routers. A router that has just started has counted nothing
// and has only its part of the slack, so that many restarts at once add no retries. The zero value allows none.
type Limiter struct {
	mu     sync.Mutex
	limits Limits
	// epoch is when counting began. Slots are counted on the monotonic clock, because the wall clock jumps.
	epoch     time.Time
	byService map[string]*slidingCounts
}

// Limits are the limits of the whole fleet.
type Limits struct {
	// Ratio is how many retries are allowed for each request, Slack how many more in a window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Routers is how many routers share the slack.
	Routers int
}

const (
	// windowSlots is the number of slots of a window. Counts are kept for one slot longer than the window, because the
	// windows by which the retries are judged begin at any moment.
	windowSlots = 20
	// usableShare is the part of the fleet's bound that is used. The rest covers clock differences, requests that are
	// judged in another window than they were counted in, and routers that are not known yet.
	usableShare = 0.8
)

// slidingCounts are ring buffers with the counts of each slot of a window.
type slidingCounts struct {
	firsts  [windowSlots + 1]int
	retries [windowSlots + 1]int
	slot    int64
}

// SetLimits replaces the limits. The counts are kept unless the window changes.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits.Window != l.limits.Window {
		l.byService = nil
	}
	l.limits = limits
}

// RecordFirst counts a request for the service.
func (l *Limiter) RecordFirst(service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.slidingCounts(service, now); c != nil {
		c.firsts[c.slot%(windowSlots+1)]++
	}
}

// Allow reports whether a retry at the service is allowed, and counts it if so.
func (l *Limiter) Allow(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.slidingCounts(service, now)
	if c == nil || l.remaining(c) < 1 {
		return false
	}
	c.retries[c.slot%(windowSlots+1)]++
	return true
}

// Remaining returns how many retries at the service this router may make now.
func (l *Limiter) Remaining(service string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.slidingCounts(service, now)
	if c == nil {
		return 0
	}
	return l.remaining(c)
}

func (l *Limiter) remaining(c *slidingCounts) float64 {
	firsts, retries := 0, 0
	for i := range c.firsts {
		firsts += c.firsts[i]
		retries += c.retries[i]
	}
	slack := l.limits.Slack / float64(max(l.limits.Routers, 1))
	return usableShare*(l.limits.Ratio*float64(firsts)+slack) - float64(retries)
}

// slidingCounts returns the counts of the service, advanced to now.
func (l *Limiter) slidingCounts(service string, now time.Time) *slidingCounts {
	if l.limits.Window <= 0 {
		return nil
	}
	if l.byService == nil {
		l.byService, l.epoch = map[string]*slidingCounts{}, now
	}
	slot := int64(now.Sub(l.epoch) / (l.limits.Window / windowSlots))
	c := l.byService[service]
	if c == nil {
		c = &slidingCounts{slot: slot}
		l.byService[service] = c
	}
	if slot-c.slot > windowSlots {
		c.slot = slot - windowSlots - 1
	}
	for c.slot < slot {
		c.slot++
		c.firsts[c.slot%(windowSlots+1)], c.retries[c.slot%(windowSlots+1)] = 0, 0
	}
	return c
}
