package dispatch

import (
	"math"
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
	// maxWaitTurns is for how many times as long as requests hold a slot one may wait for one, however patient its caller is: engines
	// queue only a few more requests than they have slots.
	maxWaitTurns = 0.5
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
	base completion.Work
	// meanSlowdown and meanUnread are the means of the slowdown and of the prompt tokens that other routers have at an endpoint.
	// meanBeyond is the mean by which the requests that endpoints report are more than those that routers wait for. knownReports is
	// set if any endpoint has reported its load.
	meanSlowdown, meanUnread, meanBeyond float64
	knownReports                         bool
	// othersLoad is the mean estimate of the requests of other routers at an endpoint.
	othersLoad float64
	holdTime   time.Duration
	// mostCached is the most tokens of the prompt that an endpoint has cached, mostCachedBy that endpoint, and secondCached the most
	// that any other has.
	mostCached, secondCached int
	mostCachedBy             *endpoint
	// works and estimates are by endpoint of the pool.
	works     []completion.Work
	estimates []completion.Estimate
}

// reportedMeans computes the means over the pool, and the load and slowdown of each endpoint.
func (c *scoring) reportedMeans() (slowdowns []float64) {
	x, n := &c.expectation, float64(max(len(c.pool), 1))
	hold := c.d.demand(c.q.Service).holdTime.lastOr(planningHorizon.Seconds())
	x.holdTime = max(time.Duration(hold*float64(time.Second)), minHoldTime)
	x.meanSlowdown = 1
	slowdowns = make([]float64, len(c.pool))
	others, ages := make([]float64, len(c.pool)), make([]time.Duration, len(c.pool))
	known := 0
	for i, e := range c.pool {
		slowdowns[i] = e.slowdown(c.now)
		x.meanSlowdown += (slowdowns[i] - 1) / n
		x.meanUnread += float64(c.othersUnread(e)) / n
		if others[i], ages[i] = c.reportedOthers(e); ages[i] <= maxReportAge {
			x.meanBeyond += others[i] - c.sumOfOthers(e)
			known++
		}
	}
	if x.knownReports = known > 0; x.knownReports {
		// Reports are older than sums while more and more is asked: then they are less.
		x.meanBeyond = max(x.meanBeyond/float64(known), 0)
	}
	c.sumLoads(others, ages)
	return slowdowns
}

// sumLoads computes the load of each endpoint and sums over the pool.
func (c *scoring) sumLoads(others []float64, ages []time.Duration) {
	v, sum, free := c.view, 0.0, 0
	c.loads = make([]float64, len(c.pool))
	for i, e := range c.pool {
		c.loads[i] = c.loadByReport(e, others[i], ages[i])
		sum += c.loads[i]
		v.own += e.running
		if !e.replaced {
			slots := float64(c.slotsOf(e))
			v.slots += slots
			v.taken += c.taking(e, c.loads[i])
			if c.loads[i] < slots {
				free++
			}
		}
	}
	n := float64(max(len(c.pool), 1))
	v.freeShare = float64(free) / n
	c.meanLoad = sum / n
	c.expectation.othersLoad = max(c.meanLoad-float64(v.own)/n, 0)
	for _, e := range c.draining {
		sum += e.load(c.now)
	}
	c.meanWithDraining = sum / float64(max(len(c.pool)+len(c.draining), 1))
}

// taking returns how many requests an endpoint counts for in the sum of the taken slots. load is the expected number of its requests.
func (c *scoring) taking(e *endpoint, load float64) float64 {
	if !c.engine {
		return float64(e.running) + c.othersTaking(e)
	}
	return load
}

// expectedOccupancy returns how many requests the service holds and how many it may hold, as of the view.
func (c *scoring) expectedOccupancy() (taken, capacity float64) {
	factor := c.limitFactor()
	if !c.engine && !c.brittle {
		factor = c.timelyFactor(c.expectation.meanSlowdown)
	}
	return c.view.taken + float64(c.view.ownChange), c.view.slots * factor
}

// compare makes the endpoints the pool and computes their loads and estimates.
func (c *scoring) compare(pool []*endpoint) {
	c.pool = pool
	x, q := &c.expectation, c.q
	x.base = completion.Work{UrgentShare: c.urgentShare()}
	if c.engine {
		_, cache, _ := c.d.serviceCapacity(q.Service)
		events := max(c.d.expectedEvents(q), 1)
		x.base.EventTime, x.base.Events, x.base.CacheTokens = c.d.eventTime(q.Service), events, cache
		x.base.RequestTokens = q.Prompt.Tokens() + int(c.d.expectedOutputTokens(q))
	}
	c.loads, c.failureRates = make([]float64, len(pool)), make([]float64, len(pool))
	for i, e := range pool {
		c.loads[i], c.failureRates[i] = c.expectedLoad(e), e.failureRate(c.now)
	}
	if len(q.Prompt) > 0 {
		c.computeCachedTokens()
		x.mostCached, x.mostCachedBy, x.secondCached = 0, nil, 0
		c.findSources()
	}
	x.works, x.estimates = make([]completion.Work, len(pool)), make([]completion.Estimate, len(pool))
	for i := range pool {
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

// work returns what an endpoint of the pool has to do for the request and before it.
func (c *scoring) work(i int) completion.Work {
	e := c.pool[i]
	w := c.baseWork(e, c.loads[i])
	if !c.engine {
		return w
	}
	w.MissingTokens, w.FetchedTokens = c.missingTokens(i), c.fetchedTokens(i)
	w.HeldTokens = e.state.heldTokens
	if s, ok := e.reported(c.now); ok {
		w.HeldTokens = s.HeldTokens
	}
	return w
}

// baseWork returns what an endpoint has to do before a request.
func (c *scoring) baseWork(e *endpoint, load float64) completion.Work {
	x := &c.expectation
	w := x.base
	w.Slowdown = e.slowdown(c.now)
	w.Running, w.LoadError, w.Slots = load, c.loadError(e), c.slotsOf(e)
	if !c.engine {
		w.PlainTime = c.d.plainTime(c.q.Service)
		w.HoldTime = time.Duration(float64(w.PlainTime) * w.Slowdown)
		return w
	}
	w.HoldTime = time.Duration(float64(x.holdTime) * w.Slowdown / x.meanSlowdown)
	w.TokensPerMs = c.d.prefill.perMs()
	w.UnreadTokens = e.unreadTokens + c.expectedUnread(e)
	return w
}

// loadError returns the standard deviation of the estimate of the requests at an endpoint: the square root of how many of the
// others' requests are unknown.
func (c *scoring) loadError(e *endpoint) float64 {
	unknown := 1.0
	if s, ok := e.reported(c.now); ok && s.Age <= maxReportAge {
		unknown -= c.shareOfReport(s.Age)
	}
	if age := c.sumAge(e); age <= maxReportAge {
		unknown *= 1 - c.shareOfReport(age)
	}
	return math.Sqrt(c.expectation.othersLoad * unknown)
}

// sumAge returns how old the sum of what other routers have at an endpoint is. One that does not count any more is much older.
func (c *scoring) sumAge(e *endpoint) time.Duration {
	if c.now.Sub(e.othersReportAt) > othersMaxAge {
		return time.Hour
	}
	return c.now.Sub(e.othersReportAt) + meanReportAge
}

// shareOfReport returns the share of the requests in a report that have not ended since.
func (c *scoring) shareOfReport(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(c.expectation.holdTime))
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
	mean := c.expectation.meanUnread
	return int(mean + (float64(c.othersUnread(e))-mean)*math.Exp(-float64(c.sumAge(e))/float64(readingTerm)))
}

// expectedLoad estimates how many requests an endpoint has.
//
// A report counts the requests that nobody waits for any more, which the sum of what routers wait for does not; summed over routers,
// estimates of them are far too high. But it ages, and the requests in it end. So the others' part of a load begins with the report
// and approaches the sum, and the mean by which reports are beyond their sums.
func (c *scoring) expectedLoad(e *endpoint) float64 {
	others, age := c.reportedOthers(e)
	return c.loadByReport(e, others, age)
}

func (c *scoring) loadByReport(e *endpoint, others float64, age time.Duration) float64 {
	x := &c.expectation
	if !x.knownReports {
		return c.load(e)
	}
	sum := max(c.sumOfOthers(e)+x.meanBeyond, 0)
	l := float64(e.running) + sum
	if age <= maxReportAge {
		l += (others - sum) * c.shareOfReport(age)
	}
	if c.unreportedPerSent > 0 {
		l += c.unreportedPerSent * max(e.recentlySent(c.now)-c.meanSent, 0)
	}
	return l
}

// sumOfOthers estimates how many requests other routers wait for at an endpoint, by what they reported themselves.
func (c *scoring) sumOfOthers(e *endpoint) float64 {
	current := e.currentOthers(c.now)
	return current + (c.meanOthers-current)*(1-c.shareStillRunning(e))
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

// fetchedTokens returns how many tokens of the prompt an endpoint of the pool would fetch from another one.
func (c *scoring) fetchedTokens(i int) int {
	if len(c.cachedTokens) == 0 {
		return 0
	}
	held := c.heldTokens(i)
	most := c.expectation.mostCached
	if c.pool[i] == c.expectation.mostCachedBy {
		most = c.expectation.secondCached
	}
	if most <= held+minFetchTokens {
		return 0
	}
	return min(most-held, c.missingTokens(i))
}

// findSources finds the most tokens of the prompt that an endpoint of the pool has cached, and that any other has.
func (c *scoring) findSources() {
	x := &c.expectation
	for i, e := range c.pool {
		switch tokens := c.cachedTokens[i]; {
		case e.replaced || c.failureRates[i] > maxSourceFailureRate:
		case tokens > x.mostCached:
			x.mostCached, x.mostCachedBy, x.secondCached = tokens, e, x.mostCached
		case tokens > x.secondCached:
			x.secondCached = tokens
		}
	}
}

// BestEstimate returns when the first and last event are expected from the endpoint that would answer the request first, of those
// that are compared for it. ok is false if overload control is not active for the service or there is no endpoint.
func (d *Dispatcher) BestEstimate(q Query, now time.Time) (best completion.Estimate, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.scoring(q, d.pools[q.Service], now)
	if c.view == nil {
		return best, false
	}
	if len(q.Prompt) > 0 {
		c.home = c.view.home(q.Prompt.RoutingKey())
	}
	if len(c.pool) > smallPool {
		c.pool = c.candidates()
	}
	c.compare(c.pool)
	for _, e := range c.expectation.estimates {
		if !ok || e.First < best.First {
			best, ok = e, true
		}
	}
	return best, ok
}
