package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savoryfall/core/completion"
)

const (
	// maxReportAge is up to which age the load that an endpoint reported is used in place of the sum of what routers sent. In that
	// time most plain calls and a part of the streams end.
	maxReportAge = time.Second
	// maxReportedFactor bounds a reported load, in slots: endpoints queue a few more requests than they have slots.
	maxReportedFactor = 2.0
	// readingTerm is the time in which most of the prompts that other routers reported as unread have been read.
	readingTerm = 200 * time.Millisecond
	// maxWaitShare is the largest share of the latency target for which a request may be expected to wait for a slot. What waits
	// at an endpoint can be neither reordered nor refused any more, and the wait is the least certain part of an estimate.
	maxWaitShare = 0.25
	// maxPlainFactor is how many times its slots a plain endpoint may be given, however patient the callers are.
	maxPlainFactor = 4.0
)

const (
	// cacheWeight is the weight of a token that has to be read or fetched: it evicts what others would find cached.
	cacheWeight = 2.0
	// readingWeight is the weight of a token that has to be read, beside the pauses that it causes.
	readingWeight = 2.0
	// streamWeight is the weight of the time for which a stream runs after its first event.
	streamWeight = 0.1
	// maxEventPause is the pause between two events that callers accept.
	maxEventPause = 500 * time.Millisecond
	// nearCost is the difference of costs up to which endpoints are as good as each other, in milliseconds, and nearCostShare in
	// proportion to the lower cost. Routers decide with the same reports, so they must not all choose the best one.
	nearCostMs    = 5.0
	nearCostShare = 0.1
)

// expectation is what the estimates of a request have in common, and those of each endpoint of the pool.
type expectation struct {
	base         completion.Work
	meanSlowdown float64
	meanUnread   float64
	// works and estimates are by endpoint of the pool.
	works     []completion.Work
	estimates []completion.Estimate
}

// expect computes the estimates of all endpoints, and the loads as the endpoints report them.
func (c *scoring) expect() {
	c.reportedLoads()
	d, q := c.d, c.q
	_, cache, _ := d.serviceCapacity(q.Service)
	x := &expectation{meanSlowdown: 1}
	for _, e := range c.pool {
		x.meanSlowdown += (e.slowdown(c.now) - 1) / float64(len(c.pool))
		x.meanUnread += float64(c.othersUnread(e)) / float64(len(c.pool))
	}
	if c.engine {
		x.base = completion.Work{
			TokensPerMs: d.prefill.perMs(), EventTime: d.eventTime(q.Service), Events: max(d.expectedEvents(q), 1), CacheTokens: cache,
			RequestTokens: c.requestTokens(),
		}
	} else {
		x.base.PlainTime = d.plainTime(q.Service)
	}
	x.base.UrgentShare = c.urgentShare()
	c.expectation = x
	x.works, x.estimates = make([]completion.Work, len(c.pool)), make([]completion.Estimate, len(c.pool))
	for i := range c.pool {
		x.works[i] = c.work(i)
		x.estimates[i] = x.works[i].Estimate()
	}
}

// urgentShare returns the share of the released capacity that more urgent requests take.
func (c *scoring) urgentShare() float64 {
	f := c.d.demand(c.q.Service).forecast(c.q.Rank, c.now)
	if f.released <= 0 {
		return 0
	}
	return f.moreUrgent / f.released
}

// requestTokens returns how many tokens the endpoint holds for the request at its end.
func (c *scoring) requestTokens() int {
	return c.q.Prompt.Tokens() + int(c.d.expectedOutputTokens(c.q))
}

// work returns what an endpoint of the pool has to do for the request and before it.
func (c *scoring) work(i int) completion.Work {
	e, w := c.pool[i], c.expectation.base
	w.Slowdown = e.slowdown(c.now)
	w.Running, w.LoadError, w.Slots = c.loads[i], c.loadError(e), c.slotsOf(e)
	if !c.engine {
		w.HoldTime = time.Duration(float64(w.PlainTime) * w.Slowdown)
		return w
	}
	hold := c.d.demand(c.q.Service).holdTime.lastOr(planningHorizon.Seconds())
	w.HoldTime = time.Duration(hold * w.Slowdown / c.expectation.meanSlowdown * float64(time.Second))
	w.UnreadTokens = e.unreadTokens + c.expectedUnread(e)
	w.MissingTokens, w.FetchedTokens = c.missingTokens(i), c.fetchedTokens(i)
	w.HeldTokens = e.state.heldTokens
	if s, ok := e.reported(c.now); ok {
		w.HeldTokens = s.HeldTokens
	}
	return w
}

// loadError returns the standard deviation of the estimate of the requests at an endpoint: the square root of how many of the
// others' requests are unknown.
func (c *scoring) loadError(e *endpoint) float64 {
	known := 0.0
	if s, ok := e.reported(c.now); ok && s.Age <= maxReportAge {
		known = math.Exp(-float64(s.Age) / float64(c.reportHoldTime()))
	}
	return math.Sqrt(c.meanLoadOfOthers() * (1 - known))
}

// meanLoadOfOthers returns the mean number of requests of other routers at an endpoint.
func (c *scoring) meanLoadOfOthers() float64 {
	own := 0
	for _, e := range c.pool {
		own += e.running
	}
	return max(c.meanLoad-float64(own)/float64(len(c.pool)), 0)
}

// slotsOf returns how many requests the endpoint runs at once, 0 if unknown.
func (c *scoring) slotsOf(e *endpoint) int {
	if e.entry.Slots > 0 {
		return e.entry.Slots
	}
	return c.slots
}

// othersUnread returns how many prompt tokens of other routers the endpoint had to read as of their last reports.
func (c *scoring) othersUnread(e *endpoint) int { return e.backlog(c.now) - e.unreadTokens }

// expectedUnread estimates how many prompt tokens of other routers the endpoint has to read now: those that were reported have
// been read after a while, and others came to unknown endpoints.
func (c *scoring) expectedUnread(e *endpoint) int {
	age := c.now.Sub(e.othersReportAt) + meanReportAge
	mean := c.expectation.meanUnread
	return int(mean + (float64(c.othersUnread(e))-mean)*math.Exp(-float64(age)/float64(readingTerm)))
}

// reportedLoads replaces the loads of the endpoints that have reported theirs lately.
//
// The requests of other routers that were reported have ended in part, and those that came since went to unknown endpoints, so
// the others' part of a load approaches the mean as the report ages. The sum over routers is not used: each of them also counts
// the requests that nobody waits for any more.
func (c *scoring) reportedLoads() {
	others := make([]float64, len(c.pool))
	ages := make([]time.Duration, len(c.pool))
	mean, known := 0.0, 0
	for i, e := range c.pool {
		others[i], ages[i] = c.reportedOthers(e)
		if ages[i] <= maxReportAge {
			mean += others[i]
			known++
		}
	}
	if known == 0 {
		return
	}
	mean /= float64(known)
	hold := c.reportHoldTime()
	sum := 0.0
	for i, e := range c.pool {
		if ages[i] <= maxReportAge {
			l := float64(e.running) + mean + (others[i]-mean)*math.Exp(-float64(ages[i])/float64(hold))
			if c.unreportedPerSent > 0 {
				l += c.unreportedPerSent * max(e.recentlySent(c.now)-c.meanSent, 0)
			}
			c.loads[i] = l
		}
		sum += c.loads[i]
	}
	c.meanLoad = sum / float64(len(c.pool))
	for _, e := range c.draining {
		sum += e.load(c.now)
	}
	c.meanWithDraining = sum / float64(max(len(c.pool)+len(c.draining), 1))
}

// reportedOthers returns how many requests other than this router's the endpoint had as of its last report, and how long ago.
func (c *scoring) reportedOthers(e *endpoint) (n float64, age time.Duration) {
	s, ok := e.reported(c.now)
	if !ok {
		return 0, math.MaxInt64
	}
	total := float64(s.Running + s.Waiting)
	if slots := c.slotsOf(e); slots > 0 {
		total = min(total, maxReportedFactor*float64(slots))
	}
	ownThen := e.running - e.history.since(c.now.Add(-s.Age))
	return max(total-float64(ownThen), 0), s.Age
}

// reportHoldTime returns the time in which most requests of a report end.
func (c *scoring) reportHoldTime() time.Duration {
	hold := c.d.demand(c.q.Service).holdTime.lastOr(planningHorizon.Seconds())
	return max(time.Duration(hold*float64(time.Second)), minHoldTime)
}

// fetchedTokens returns how many tokens of the prompt an endpoint of the pool would fetch from another one.
func (c *scoring) fetchedTokens(i int) int {
	if len(c.cachedTokens) == 0 {
		return 0
	}
	held := c.heldTokens(i)
	most := 0
	for j, e := range c.pool {
		if j != i && c.cachedTokens[j] > most && !e.replaced && c.failureRates[j] <= maxSourceFailureRate {
			most = c.cachedTokens[j]
		}
	}
	if most <= held+minFetchTokens {
		return 0
	}
	return min(most-held, c.missingTokens(i))
}

// feasible reports whether an endpoint of the pool is expected to serve the request in time and has memory for it.
func (c *scoring) feasible(i int) bool {
	w, e := c.expectation.works[i], c.expectation.estimates[i]
	if !w.HasMemory() {
		return false
	}
	if c.q.LatencyTarget <= 0 && c.q.TimeLeft <= 0 {
		return !c.saturated(c.pool[i])
	}
	if c.brittle && w.SlotWait() > 0 {
		return false
	}
	if target := c.q.LatencyTarget; target > 0 && float64(w.SlotWait()) > maxWaitShare*float64(target) {
		return false
	}
	return e.Within(c.q.LatencyTarget, c.q.TimeLeft)
}

// expectedCost returns the cost of an endpoint of the pool: the expected time to the first event, and what the request costs
// the others.
func (c *scoring) expectedCost(i int) (ms float64) {
	e := c.pool[i]
	ms = failureCostMs * c.effectiveFailureRate(i)
	if c.q.Spread {
		return ms + spreadCostMs*c.d.randomFloat()
	}
	if e.entry.FailureDomain != c.d.failureDomain {
		ms += crossDomainCostMs
	}
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

// bestExpected returns one of the endpoints of lowest expected cost among those that are feasible and below the bound, or among
// all that are feasible when none is below it.
func (c *scoring) bestExpected() (best *endpoint, reason Reason) {
	reason = ReasonAllTried
	var within, beyond []offer
	for i, e := range c.pool {
		if e.replaced || slices.Contains(c.q.Tried, e.entry.ID) || !c.mayContinue(e) {
			continue
		}
		if !c.feasible(i) {
			reason = ReasonInfeasible
			continue
		}
		if c.coldLimitReached(e) || c.brittleLimitReached(i) || e.pause.limited() {
			if reason != ReasonInfeasible {
				reason = ReasonAllFull
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
	if len(within) == 0 {
		within = beyond
	}
	if len(within) == 0 {
		return nil, reason
	}
	best = c.choose(within)
	if best == c.home {
		return best, ReasonCached
	}
	return best, ReasonLowestCost
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
	return offers[min(int(c.d.randomFloat()*float64(near)), near-1)].e
}
