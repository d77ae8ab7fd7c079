package dispatch

import (
	"math"
	"time"
)

const (
	// foresight is for how long a router plans the places of a service: as long as it does not know of what the others
	// have sent. Where a place is free again sooner, for as long as one is held.
	foresight = 600 * time.Millisecond
	// freeShare is the part of the places up to which nobody is turned away.
	freeShare = 0.5
)

// turnsAway tells whether the request must not take one of the places that are left, and why.
//
// In the time that is planned, the places that are free or become free go to the more urgent requests that will come,
// and what is left to those of this rank, shared fairly between the accounts by chance. Without it a service that is asked
// for several times what it can do serves every rank alike, and drafts are refused while quick questions hold the places.
// A threshold in place of the chance does not do: all routers let everybody in while it is not reached, fill the places
// twice before any sees it, and then turn away the urgent too.
func (c *contest) turnsAway() (why Reason, yes bool) {
	taken, places := c.occupancy()
	if places == 0 || taken < freeShare*places {
		return "", false
	}
	m := c.d.demand(c.q.Service)
	p := m.plan(c.q.Rank, c.now)
	// The square root is what chance adds to the more urgent: a place that is free only on average turns them away.
	left := places - taken + p.released - p.ahead - math.Sqrt(p.ahead)
	if left >= p.coming {
		return "", false
	}
	if left > 0 && c.d.spread() < m.level(c.q.Rank).shares.Chance(c.q.Account, left/p.coming, c.now) {
		return "", false
	}
	if p.ahead == 0 {
		return ReasonFull, true
	}
	return ReasonReserved, true
}

// occupancy is how many places of the service are taken, of how many. They are added up over the endpoints, because the
// sum is known better than its parts: some hundred milliseconds late, a busy endpoint still looks free to one router
// while the others fill it. Hidden requests are left out: of each endpoint the highest that any router met counts, and
// added up over ninety endpoints these made a quarter of the places look taken that were not.
func (c *contest) occupancy() (taken, places float64) {
	for _, e := range c.pool {
		if e.gone {
			continue
		}
		taken += e.counted(c.now)
		places += float64(c.places(e))
	}
	return taken, places
}
