package dispatch

import (
	"slices"
	"time"
)

const (
	// worthFetching is from how many tokens on it pays to fetch parts from another endpoint: setting up a transfer takes
	// some 8 ms, as long as reading 900 tokens, but it leaves the steps to the streams that run, which reading does not
	// (readingHarm). With 1,000, a fifth more shared tokens were read a second time on calm days.
	worthFetching = 200
	// soundRate is the share of failures up to which an endpoint is asked for what it holds.
	soundRate = 0.3
)

// donor is the address of the endpoint that holds most of what e lacks. Moving cached parts takes a fifth of the time
// of reading them, and leaves the engine's steps to the streams that run.
func (c *contest) donor(i int) (address string) {
	if !c.engine || len(c.warm) == 0 {
		return ""
	}
	held := c.warm[i]
	if c.pool[i] == c.home {
		// A belief that is wrong costs reading the whole; a transfer that was not needed costs nothing.
		held = c.known
	}
	most := held + worthFetching
	consider := func(e *endpoint, holds int) {
		if holds > most && !e.gone && e.failing(c.now) <= soundRate {
			address, most = e.entry.Address, holds
		}
	}
	for j, other := range c.pool {
		if j != i {
			consider(other, c.warm[j])
		}
	}
	for _, e := range c.resting {
		if c.d.givesStill(e, c.now) && !e.breaker.open(c.now) {
			consider(e, e.cache.Warm(c.q.Prompt))
		}
	}
	return address
}

// servesOn is for how long an engine that has left the list is asked for what it holds: it answers what it had, and
// leaves some seconds after it said so.
const servesOn = 3 * time.Second

// leave keeps the endpoints that are on the list no more. When engines are replaced, nobody else holds many of the prompts
// that they have read, and each would be read again. One whose address another has now is gone.
func (d *Dispatcher) leave(listed map[string]*endpoint, now time.Time) {
	addresses := map[string]bool{}
	for _, e := range listed {
		addresses[e.entry.Address] = true
	}
	for id, e := range d.by {
		if listed[id] == nil {
			e.leftAt = now
			d.left = append(d.left, e)
		}
	}
	d.left = slices.DeleteFunc(d.left, func(e *endpoint) bool {
		return now.Sub(e.leftAt) > servesOn || addresses[e.entry.Address]
	})
}
