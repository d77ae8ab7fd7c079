package dispatch

import "slices"

const (
	// maxHolders is how many endpoints that hold a part of the prompt are compared, and leastCandidates and randomCandidates how
	// many of those that are expected to begin first, and of all. Each router compares other ones, and few: the more are compared with
	// the same reports, the more routers choose the endpoint that these show as the best.
	maxHolders       = 6
	leastCandidates  = 2
	randomCandidates = 2
	// moreCandidates is how many are compared in place of the whole pool by a request that is kept from the least loaded endpoints.
	moreCandidates = 4
)

// candidates returns the endpoints of the pool that are compared for the request.
func (c *scoring) candidates() (list []*endpoint) {
	list = make([]*endpoint, 0, maxHolders+leastCandidates+randomCandidates+1)
	add := func(e *endpoint) { list = c.appendCandidate(list, e) }
	add(c.home)
	if c.engine {
		holders := c.d.holders.lookUp(c.q.Prompt)
		first := 0
		if len(holders) > maxHolders {
			first = c.d.randomIndex(len(holders))
		}
		for i := range min(len(holders), maxHolders) {
			add(holders[(first+i)%len(holders)])
		}
	}
	for range leastCandidates {
		if n := len(c.view.least); n > 0 && !c.spreads {
			add(c.view.least[c.d.randomIndex(n)])
		}
	}
	for range randomCandidates {
		add(c.view.pool[c.d.randomIndex(len(c.view.pool))])
	}
	return list
}

// randomEndpoints returns up to n endpoints of the pool.
func (c *scoring) randomEndpoints(n int) (list []*endpoint) {
	for range n {
		list = c.appendCandidate(list, c.view.pool[c.d.randomIndex(len(c.view.pool))])
	}
	return list
}

// appendCandidate adds an endpoint that is in the pool and not yet in the list.
func (c *scoring) appendCandidate(list []*endpoint, e *endpoint) []*endpoint {
	if e == nil || e.view != c.view || e.breaker.isOpen(c.now) || slices.Contains(list, e) {
		return list
	}
	return append(list, e)
}

// avoidsLeast decides whether to leave out the endpoints that are expected to begin first. When few have a free slot, all routers see
// the same ones, for as long as their reports are late, and would send them several times what they can hold. A router counts what it
// sends itself, so only the others' share is spread.
func (c *scoring) avoidsLeast() bool {
	admissibleShare := maxConcentration * c.view.freeShare
	if admissibleShare >= 1 || len(c.q.Tried) > 0 {
		return false
	}
	return c.d.randomFloat() < (1-admissibleShare)*c.d.demand(c.q.Service).othersShare(c.now)
}
