package dispatch

import (
	"slices"
	"time"
)

const (
	// minFetchTokens is from how many tokens on it pays to fetch cached parts from another endpoint. Setting up a
	// transfer takes about 8 ms, as long as reading 900 tokens, but unlike reading it does not delay running streams
	// (prefillInterference). With 1,000, a fifth more shared tokens were read a second time on days without surges.
	minFetchTokens = 200
	// maxSourceFailureRate is the failure rate up to which cached parts are fetched from an endpoint.
	maxSourceFailureRate = 0.3
)

// fetchSource returns the address of the endpoint that caches most of what endpoint i lacks. Moving cached parts takes
// a fifth of the time of reading them, and does not delay the streams that run on the engine.
func (c *scoring) fetchSource(i int) (address string) {
	if !c.engine || len(c.cachedTokens) == 0 {
		return ""
	}
	threshold := c.heldTokens(i) + minFetchTokens
	consider := func(e *endpoint, tokens int) {
		if tokens > threshold && !e.replaced && e.failureRate(c.now) <= maxSourceFailureRate {
			address, threshold = e.entry.Address, tokens
		}
	}
	for j, other := range c.pool {
		if j != i {
			consider(other, c.cachedTokens[j])
		}
	}
	for _, e := range c.draining {
		if c.d.mayServeFetches(e, c.now) && !e.breaker.isOpen(c.now) {
			consider(e, e.cache.CachedTokens(c.q.Prompt))
		}
	}
	return address
}

// heldTokens returns how many tokens of the prompt endpoint i is known to have cached.
func (c *scoring) heldTokens(i int) int {
	if c.pool[i] == c.home {
		// If the assumption about the home is wrong, the whole prompt is read; a transfer that was not needed costs
		// nothing.
		return c.knownCachedAtHome
	}
	return c.cachedTokens[i]
}

// departureGrace is for how long cached parts are fetched from an engine that has left the directory: it still serves
// what it has cached, and exits some seconds after it announced that it leaves.
const departureGrace = 3 * time.Second

// retainDeparted keeps the endpoints that have left the directory. When engines are replaced, many of the prompts that
// they have read are cached nowhere else, and would be read again. One that has asked for a pause is kept until its end: it
// may be listed again before. An endpoint whose address is in use again is dropped.
func (d *Dispatcher) retainDeparted(listed map[string]*endpoint, now time.Time) {
	addresses := map[string]bool{}
	for _, e := range listed {
		addresses[e.entry.Address] = true
	}
	for id, e := range d.byID {
		if listed[id] == nil {
			e.departedAt = now
			d.departed = append(d.departed, e)
		}
	}
	d.departed = slices.DeleteFunc(d.departed, func(e *endpoint) bool {
		return now.Sub(e.departedAt) > departureGrace && !e.pause.active(now) || addresses[e.entry.Address]
	})
}
