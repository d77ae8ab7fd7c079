package dispatch

import (
	"math"
	"slices"
	"time"

	"savoryfall/core/hashmix"
)

// scoring compares the endpoints of a pool for one request.
type scoring struct {
	d *Dispatcher
	q Query
	// pool holds the endpoints that may be chosen, draining those that get no new work but still run.
	pool     []*endpoint
	draining []*endpoint
	now      time.Time
	engine   bool
	slots    int
	// loads is the estimated number of requests at each endpoint of the pool.
	loads []float64
	// meanLoad is the mean load of the pool, meanWithDraining that of the pool and the draining endpoints.
	meanLoad, meanWithDraining float64
	// meanOthers is the mean number of requests that other routers have at an endpoint.
	meanOthers float64
	// meanSent is the mean of what this router recently sent to an endpoint. unreportedPerSent is how many requests
	// the other routers have sent since their last report for each request that this router sent.
	meanSent, unreportedPerSent float64
	// latency is the mean of the known latencies in milliseconds.
	latency float64
	// home is the endpoint that ranks first for the prompt, on every router alike.
	home *endpoint
	// totalTokens is the length of the prompt, cachedTokens how many of its tokens each endpoint is estimated to have
	// cached.
	totalTokens  int
	cachedTokens []int
	// knownCachedAtHome is how many tokens the home is known to have cached, without the estimate of what others sent
	// it.
	knownCachedAtHome int
	// failureRates holds the recent failure rate of each endpoint, avoidingShare the share of prompts that avoid the
	// failing endpoints.
	failureRates  []float64
	avoidingShare float64
	// coldPerSecond is how many requests a second an endpoint of the service can take while it is cold, 0 for no
	// limit.
	coldPerSecond float64
	// brittle is set if the endpoints of the service fall over when they have to turn away too many requests.
	brittle bool
	// projectedLoad is the mean load of an endpoint if all routers send as much as this one.
	projectedLoad float64
	// size is the number of endpoints that may be chosen, of which pool may hold only some while overload control is active.
	size int
	// view and expectation hold the expected times while overload control is active for the service. view is nil otherwise.
	view *poolView
	// spreads is set if the request is kept from the few endpoints that still have free slots.
	spreads     bool
	expectation expectation
}

func (d *Dispatcher) scoring(q Query, pool []*endpoint, now time.Time) *scoring {
	if d.overload.ExpectedTime && d.overloadControl(q.Service, now) {
		return d.expectedScoring(q, pool, now)
	}
	accepting, withdrawn := d.split(pool, now)
	c := &scoring{d: d, q: q, pool: q.withContinuing(withoutSilent(accepting, now), accepting), draining: append(withdrawn, d.departing(q.Service, now)...), now: now}
	c.setService()
	c.computeMeans()
	c.estimateUnreported()
	c.computeLoads()
	if c.brittle {
		c.projectLoad()
	}
	c.computeFailureRates()
	if len(q.Prompt) > 0 {
		c.home = c.findHome()
		c.computeCachedTokens()
	}
	return c
}

// setService sets what is configured and known of the service.
func (c *scoring) setService() {
	c.slots, _, c.engine = c.d.serviceCapacity(c.q.Service)
	c.brittle = c.d.isBrittle(c.q.Service)
	if s := c.d.service(c.q.Service); s != nil {
		c.coldPerSecond = s.ColdPerSecond
	}
	c.size = len(c.pool)
}

// computeMeans computes the means of what other routers have at the endpoints and of their latencies.
func (c *scoring) computeMeans() {
	known := 0
	for _, e := range c.pool {
		c.meanOthers += e.currentOthers(c.now) / float64(len(c.pool))
		if !e.latency.at.IsZero() {
			c.latency += e.latency.value
			known++
		}
	}
	if known > 0 {
		c.latency /= float64(known)
	} else {
		c.latency = defaultLatencyMs
	}
}

// computeLoads computes the load of each endpoint and the means.
func (c *scoring) computeLoads() {
	sum := 0.0
	c.loads = make([]float64, len(c.pool))
	for i, e := range c.pool {
		c.loads[i] = c.load(e)
		sum += c.loads[i]
	}
	c.meanLoad = sum / float64(max(len(c.pool), 1))
	for _, e := range c.draining {
		sum += e.load(c.now)
	}
	c.meanWithDraining = sum / float64(max(len(c.pool)+len(c.draining), 1))
}

// load estimates how many requests the endpoint has now. Requests of other routers that have ended since the last
// report were replaced by others at unknown endpoints, so they count as spread evenly. A plain service's calls end
// many times between two reports; when they counted as reported, all routers sent to the endpoint that had been least
// loaded some hundred milliseconds before, in a surge far beyond the users' bound.
func (c *scoring) load(e *endpoint) float64 {
	l := e.load(c.now) + (c.meanOthers-e.currentOthers(c.now))*(1-c.shareStillRunning(e))
	if c.unreportedPerSent == 0 {
		return l
	}
	return l + c.unreportedPerSent*max(e.recentlySent(c.now)-c.meanSent, 0)
}

// estimateUnreported estimates what the other routers have sent to engines since their last report, from what this
// router sent: all routers send prompts that begin alike to the same engine. Without it, an engine that caches a
// popular prompt was sent twice the mean in a surge before any router saw it fill.
func (c *scoring) estimateUnreported() {
	othersShare := c.d.demand(c.q.Service).othersShare(c.now)
	if !c.engine || othersShare == 0 || othersShare == 1 {
		return
	}
	for _, e := range c.pool {
		c.meanSent += e.recentlySent(c.now) / float64(len(c.pool))
	}
	age := min(c.now.Sub(c.d.othersAt), planningHorizon) + meanReportAge
	c.unreportedPerSent = othersShare / (1 - othersShare) * math.Ln2 * float64(age) / float64(sentHalfLife)
}

// confirmedLoad returns the load without the requests of other routers that may have ended. Admission limits how many
// calls the routers let in together. When a late report said that an endpoint was full, all routers refused everything
// until the next report, and then filled it again.
func (c *scoring) confirmedLoad(e *endpoint) float64 {
	return e.load(c.now) - e.currentOthers(c.now)*(1-c.shareStillRunning(e))
}

// shareStillRunning returns the share of the other routers' requests at the endpoint that has not ended since it was
// reported. Streams last about as long as a report is valid and count as reported.
func (c *scoring) shareStillRunning(e *endpoint) float64 {
	if c.engine {
		return 1
	}
	age := c.now.Sub(e.othersAt)
	if age > othersMaxAge {
		return 0
	}
	if e.othersAt.Equal(e.othersReportAt) {
		age += meanReportAge
	}
	return math.Exp(-float64(age) / float64(time.Millisecond) / max(c.latency, 1))
}

// meanReportAge is the mean age of the other routers' reports when their sum arrives.
const meanReportAge = 150 * time.Millisecond

// computeCachedTokens computes how many tokens of the prompt each endpoint has cached. The home is assumed to have
// been sent the shared parts by other routers.
func (c *scoring) computeCachedTokens() {
	c.totalTokens = c.q.Prompt.Tokens()
	assumed := int(homeCacheConfidence * float64(sharedParts(c.q.Prompt).Tokens()))
	c.cachedTokens = make([]int, len(c.pool))
	for i, e := range c.pool {
		c.cachedTokens[i] = e.cache.CachedTokens(c.q.Prompt)
		if e == c.home {
			c.knownCachedAtHome = c.cachedTokens[i]
			c.cachedTokens[i] = max(c.cachedTokens[i], assumed)
		}
	}
}

func (c *scoring) index(e *endpoint) int { return slices.Index(c.pool, e) }

// findHome ranks the endpoints by rendezvous hashing: routers agree without a message, and a lost endpoint moves only
// its own prompts.
func (c *scoring) findHome() (home *endpoint) {
	lowest := 1.0
	for _, e := range c.pool {
		if r := c.rank(e); !e.replaced && r < lowest {
			home, lowest = e, r
		}
	}
	return home
}

// rank returns the endpoint's rank for the prompt, from 0 for the first to 1 for the last, on every router alike.
func (c *scoring) rank(e *endpoint) float64 {
	return unitFraction(c.q.Prompt.RoutingKey() ^ e.hash)
}

// unitFraction hashes x to a number from 0 to 1; any changed bit of x changes it.
func unitFraction(x uint64) float64 { return float64(hashmix.Mix(x)>>11) / (1 << 53) }

const (
	// loadBoundFactor and loadBoundSlack limit how far above the mean an endpoint may be loaded. They are below the
	// users' bound of twice the mean and three requests, because the loads are estimates that lag.
	loadBoundFactor = 1.7
	loadBoundSlack  = 3.0
	// expectedBoundFactor is loadBoundFactor while overload control is active: fewer endpoints are compared, so that more routers with the
	// same reports choose the same one, and a prompt part that is fetched costs little.
	expectedBoundFactor = 1.3
	// minHeadroomShare is the share of the headroom between the mean and the bound that every prompt may use. The
	// limit of each prompt differs, so that prompts leave a filling endpoint one after the other: when all left and
	// came back at the same load, an endpoint just below it was sent twice its bound before any router saw it fill.
	minHeadroomShare = 0.6
)

// overBound reports whether the endpoint is to be avoided while others are below the bound. The users' bound applies
// to the mean of all running endpoints. While many of them are draining, it is close to the mean of the pool or below
// it, and a bound below that mean gains nothing.
func (c *scoring) overBound(i int) bool {
	factor := loadBoundFactor
	if c.view != nil {
		factor = expectedBoundFactor
	}
	headroom := max(factor*c.meanWithDraining, c.meanLoad) + loadBoundSlack - c.meanLoad
	if c.engine && len(c.q.Prompt) > 0 {
		headroom *= minHeadroomShare + (1-minHeadroomShare)*unitFraction(hashmix.Mix(c.q.Prompt.RoutingKey())^c.pool[i].hash)
	}
	return c.loads[i]+1 > c.meanLoad+headroom
}

// best returns the endpoint of lowest cost among those that are not saturated, or among all when too few are left.
func (c *scoring) best() (best *endpoint, reason Reason) {
	if c.view != nil {
		return c.bestExpected()
	}
	best, reason, eligible := c.lowestCost(false)
	if c.tooFewEligible(eligible) {
		best, reason, _ = c.lowestCost(true)
	}
	return best, reason
}

// maxConcentration is how many times its even share of the requests an endpoint may get because others look full.
const maxConcentration = 2

// tooFewEligible reports whether to ignore saturation because only this many endpoints look as if they could take the
// request. Admission has already limited the requests of the service by the capacity that becomes free everywhere.
// When all were sent to the few endpoints that did not look full, every router chose the same ones for as long as its
// reports were late: in a surge, the last engines with free capacity were sent four times what they can hold. A router
// counts what it sends itself, so only the others' share is spread.
func (c *scoring) tooFewEligible(eligible int) bool {
	admissibleShare := maxConcentration * float64(eligible) / float64(max(len(c.pool), 1))
	if admissibleShare >= 1 || len(c.q.Tried) > 0 || c.brittle || c.restricted() {
		return false
	}
	return c.d.randomFloat() < (1-admissibleShare)*c.d.demand(c.q.Service).othersShare(c.now)
}

// lowestCost returns the endpoint of lowest cost among those below the bound, or among all when none is, and how many
// endpoints are eligible. Saturated endpoints are left out unless ignoreSaturation is set.
func (c *scoring) lowestCost(ignoreSaturation bool) (best *endpoint, reason Reason, eligible int) {
	reason = ReasonAllTried
	lowestCost, foundWithinBound := math.Inf(1), false
	for i, e := range c.pool {
		if e.replaced || slices.Contains(c.q.Tried, e.entry.ID) || !c.mayContinue(e) {
			continue
		}
		if !ignoreSaturation && c.saturated(e) || c.coldLimitReached(e) || c.brittleLimitReached(i) || e.pause.limited() {
			reason = ReasonAllFull
			continue
		}
		eligible++
		withinBound := !c.overBound(i)
		cost := c.cost(i)
		if withinBound && !foundWithinBound || withinBound == foundWithinBound && cost < lowestCost {
			best, lowestCost, foundWithinBound = e, cost, withinBound
		}
	}
	if best == nil {
		return nil, reason, 0
	}
	if best == c.home {
		return best, ReasonCached, eligible
	}
	return best, ReasonLowestCost, eligible
}

const (
	// failureCostMs is the cost of a certain failure. It is enough to prefer a healthy endpoint that is no busier. At
	// four times as much, the two fifths of the engines that lost no answers were given twice the mean, beyond the
	// users' bound, while the others idled.
	failureCostMs = 150.0
	// excessLoadCostMs is multiplied by the square of the requests above an even load: each of them slows the steps of
	// all that run beside it by some hundredths.
	excessLoadCostMs = 12.0
	// prefillInterference is the weight of a token that has to be read: reading delays the next token of every stream
	// that runs on the engine, and evicts what others would find cached.
	prefillInterference = 5.0
	// crossDomainCostMs is the round trip to another failure domain.
	crossDomainCostMs = 2.0
	// spreadCostMs decides for a request that may go to any endpoint.
	spreadCostMs = 100.0
	// tieBreakCostMs spreads plain endpoints of equal cost.
	tieBreakCostMs = 1.0
	// rankCostMs is how much the last in rank costs more than the first. Among engines that cache the prompt the rank
	// decides and not the load, as long as that is near the mean: loads are some hundred milliseconds old, and an
	// engine that all routers saw empty at once was sent six times its share before any saw it fill.
	rankCostMs = 20.0
	// evenLoadFactor and evenLoadSlack limit what counts as an even load: the factor times the mean, plus the slack in
	// requests.
	evenLoadFactor = 1.2
	evenLoadSlack  = 1.0
	// defaultLatencyMs is the latency of a plain answer until one is known.
	defaultLatencyMs = 15.0
	// homeCacheConfidence is the share of a prompt's shared parts that the home is assumed to have cached although
	// this router has not sent them there: other routers probably did.
	homeCacheConfidence = 0.8
)

// baseCost returns the part of an endpoint's cost that its latency has no share in. whole is set if that is all.
func (c *scoring) baseCost(i int) (ms float64, whole bool) {
	ms = failureCostMs * c.effectiveFailureRate(i)
	if c.q.Spread {
		return ms + spreadCostMs*c.d.randomFloat(), true
	}
	if c.pool[i].entry.FailureDomain != c.d.failureDomain {
		ms += crossDomainCostMs
	}
	return ms, false
}

func (c *scoring) cost(i int) (ms float64) {
	ms, whole := c.baseCost(i)
	if whole {
		return ms
	}
	e := c.pool[i]
	if !c.engine {
		// Requests within the slots run in parallel; those beyond wait for their turn.
		turns := 1 + c.loads[i]/float64(max(e.entry.Slots, 1))
		return ms + turns*e.latency.decayedOr(c.latency, c.now) + tieBreakCostMs*c.d.randomFloat()
	}
	excess := max(c.loads[i]-evenLoadFactor*c.meanLoad-evenLoadSlack, 0)
	prefillMs := (prefillInterference*float64(c.missingTokens(i)) + float64(e.backlog(c.now))) / c.d.prefill.perMs()
	return ms + rankCostMs*c.rank(e) + excessLoadCostMs*excess*excess + prefillMs
}

// missingTokens returns how many tokens of the prompt the endpoint would have to read.
func (c *scoring) missingTokens(i int) int {
	if len(c.cachedTokens) == 0 {
		return 0
	}
	return c.totalTokens - c.cachedTokens[i]
}
