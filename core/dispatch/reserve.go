package dispatch

import (
	"math"
	"time"
)

const (
	// planningHorizon is how far ahead a router plans the capacity of a service: as long as it does not know what the
	// others have sent. Where requests hold capacity for less than that, their hold time is used instead.
	planningHorizon = 600 * time.Millisecond
	// unreservedShare is the share of the capacity up to which no request is refused.
	unreservedShare = 0.5
)

// rejects reports whether the request must not take any of the remaining capacity, and why.
//
// Within the planning horizon, capacity that is free or becomes free goes to the more urgent requests that will
// arrive, and the rest to those of this rank, shared fairly between accounts by random choice. Without it, a service
// that gets several times the requests it can serve treats all ranks alike, and drafts are refused while quick
// questions hold the capacity. A fixed threshold in place of the random choice does not work: all routers admit
// every request until it is reached, fill the capacity twice before any sees it, and then refuse urgent requests too.
func (c *scoring) rejects() (reason Reason, rejected bool) {
	taken, capacity := c.occupancy()
	if capacity == 0 || taken < unreservedShare*capacity {
		return "", false
	}
	m := c.d.demand(c.q.Service)
	expected := m.forecast(c.q.Rank, c.now)
	// The square root is the standard deviation of the more urgent arrivals: with only their mean reserved, some of
	// them would be refused.
	left := capacity - taken + expected.released - expected.moreUrgent - math.Sqrt(expected.moreUrgent)
	if c.controlled() {
		if c.admitsShare(left, expected) {
			return "", false
		}
	} else if left >= expected.sameRank || left > 0 && c.d.randomFloat() < m.level(c.q.Rank).shares.AdmitProbability(c.q.Account, left/expected.sameRank, c.now) {
		return "", false
	}
	if expected.moreUrgent == 0 {
		return ReasonAllFull, true
	}
	return ReasonReserved, true
}

// occupancy returns how many requests the service holds, and how many it can. Both are summed over the endpoints,
// because the sum is known better than its parts: with reports some hundred milliseconds late, a busy endpoint still
// looks free to one router while the others fill it. Untracked requests are left out: for each endpoint the highest
// number that any router saw counts, and summed over ninety endpoints they made a quarter of the capacity look taken
// that was not.
func (c *scoring) occupancy() (taken, capacity float64) {
	if c.view != nil {
		return c.expectedOccupancy()
	}
	for _, e := range c.pool {
		if e.replaced {
			continue
		}
		taken += float64(e.running) + c.othersTaking(e)
		capacity += float64(c.capacity(e))
	}
	return taken, capacity * c.limitFactor()
}

// othersTaking returns how many requests other routers hold at the endpoint. Without reports of theirs, what its last answer implied counts
// for as long as such requests last where overload control is active: else a router that refuses all for it would get no newer answer.
func (c *scoring) othersTaking(e *endpoint) float64 {
	others := e.currentOthers(c.now)
	if c.now.Sub(e.othersReportAt) > othersMaxAge && c.controlled() {
		others *= c.shareStillRunning(e)
	}
	return others
}
