package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryfall/core/completion"
)

// feasible reports whether an endpoint of the pool is expected to serve the request in time and has memory for it.
//
// What a plain endpoint holds for other routers has ended many times since they reported it. Admission limits the calls of a plain service, and
// only what this router knows for certain counts for one endpoint: when a late report said that all were full, all routers refused every call
// until the next one, whatever the share of its account.
func (c *scoring) feasible(i int) bool {
	w, e := c.expectation.works[i], c.expectation.estimates[i]
	switch {
	case !w.HasMemory(), c.brittle && w.SlotWait() > 0:
		return false
	case c.q.LatencyTarget <= 0 && c.q.TimeLeft <= 0:
		return !c.saturated(c.pool[i])
	case !c.engine:
		w.Running, w.LoadError = c.confirmedLoad(c.pool[i]), 0
		return !c.saturated(c.pool[i]) && w.Estimate().Within(c.q.LatencyTarget, c.q.TimeLeft)
	case c.idle(w):
		return e.Within(0, c.q.TimeLeft)
	}
	most := time.Duration(maxWaitShare * float64(c.q.LatencyTarget))
	if most > 0 && w.SlotWait() > most {
		return false
	}
	if float64(w.SlotWait()) > maxWaitTurns*float64(w.HoldTime) {
		return false
	}
	// A request that is late by itself, for its long prompt, is served late. It is refused for the load that it would meet.
	inTime := e.Within(c.q.LatencyTarget, 0) || w.SlotWait()+w.ReadingDelay() <= most
	return inTime && e.Within(0, c.q.TimeLeft)
}

// idle reports whether so little is at the endpoint that nothing is gained by refusing the request.
func (c *scoring) idle(w completion.Work) bool {
	return w.Running < unreservedShare*float64(w.Slots) && inMs(w.ReadingDelay()) <= maxWaitMs
}

// expectedCost returns the cost of an endpoint of the pool: the expected time to the first event, and what the request costs
// the others.
func (c *scoring) expectedCost(i int) (ms float64) {
	ms, whole := c.baseCost(i)
	if whole {
		return ms
	}
	e := c.pool[i]
	w, x := &c.expectation.works[i], c.expectation.estimates[i]
	ms += inMs(x.First) + streamWeight*inMs(x.Last-x.First)
	if !c.engine {
		return ms + tieBreakCostMs*c.d.randomFloat()
	}
	excess := max(c.loads[i]-evenLoadFactor*c.meanLoad-evenLoadSlack, 0)
	ms += rankCostMs*c.rank(e) + excessLoadCostMs*excess*excess
	reading := inMs(w.ReadingTime())
	streams := min(w.Running, float64(max(w.Slots, 1)))
	pauses := streams * reading * (reading + inMs(w.ReadingDelay())) / inMs(maxEventPause)
	return ms + cacheWeight*float64(w.MissingTokens)/max(w.TokensPerMs, 1) + readingWeight*reading + pauses
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// bestExpected returns an endpoint of low expected cost among a few candidates, or among all if none of these can take the request.
func (c *scoring) bestExpected() (best *endpoint, reason Reason) {
	v := c.view
	if len(c.q.Prompt) > 0 {
		c.home = v.home(c.q.Prompt.RoutingKey())
	}
	whole := c.pool
	few := c.q.Origin == nil && len(whole) > smallPool
	if few {
		c.spreads = c.avoidsLeast()
		c.compare(c.candidates())
		best, reason = c.lowestExpected(false)
		if best == nil && c.spreads {
			c.compare(c.randomEndpoints(moreCandidates))
			return c.lowestExpected(true)
		}
		if best != nil || v.exhausted[c.rankIndex()] {
			return best, reason
		}
	}
	c.compare(whole)
	best, reason = c.lowestExpected(true)
	v.exhausted[c.rankIndex()] = few && best == nil && len(c.q.Tried) == 0
	return best, reason
}

func (c *scoring) rankIndex() int { return min(max(c.q.Rank, 0), maxRanks-1) }

// lowestExpected returns one of the endpoints of lowest expected cost among those that are feasible and below the bound, or among
// all that are feasible when none is below it and beyondBound is set.
func (c *scoring) lowestExpected(beyondBound bool) (best *endpoint, reason Reason) {
	reason = ReasonAllTried
	var within, beyond []offer
	for i, e := range c.pool {
		if e.replaced || slices.Contains(c.q.Tried, e.entry.ID) || !c.mayContinue(e) {
			continue
		}
		if r := c.obstacle(i); r != "" {
			if reason != ReasonInfeasible {
				reason = r
			}
			continue
		}
		o := offer{e: e, cost: c.expectedCost(i)}
		if c.overBound(i) {
			beyond = append(beyond, o)
		} else {
			within = append(within, o)
		}
	}
	if len(within) == 0 && beyondBound {
		within = beyond
	}
	if len(within) == 0 {
		if len(beyond) > 0 {
			reason = ReasonAllFull
		}
		return nil, reason
	}
	best = c.choose(within)
	if best == c.home {
		return best, ReasonCached
	}
	return best, ReasonLowestCost
}

// obstacle returns why an endpoint of the pool must not be given the request, "" if it may.
func (c *scoring) obstacle(i int) Reason {
	e := c.pool[i]
	switch {
	case c.coldLimitReached(e) || c.brittleLimitReached(i) || e.pause.limited():
		return ReasonAllFull
	case c.feasible(i):
		return ""
	case c.q.LatencyTarget <= 0 && c.q.TimeLeft <= 0:
		return ReasonAllFull
	}
	return ReasonInfeasible
}

// offer is an endpoint that can take the request, and what it costs there.
type offer struct {
	e    *endpoint
	cost float64
}

// choose returns the home of the prompt if no other endpoint costs much less, and otherwise one of those of about the lowest cost.
func (c *scoring) choose(offers []offer) *endpoint {
	lowest := slices.MinFunc(offers, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	limit := lowest.cost + max(nearCostMs, nearCostShare*lowest.cost)
	near := 0
	for _, o := range offers {
		if o.cost > limit {
			continue
		}
		if o.e == c.home {
			return o.e
		}
		offers[near] = o
		near++
	}
	return offers[c.d.randomIndex(near)].e
}
