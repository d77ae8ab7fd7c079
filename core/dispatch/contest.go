package dispatch

import (
	"math"
	"slices"
	"time"

	"savoryfall/core/scatter"
)

// contest compares the endpoints of a pool for one request.
type contest struct {
	d *Dispatcher
	q Query
	// pool are the endpoints that may be chosen, resting those that get no new work and are still there.
	pool    []*endpoint
	resting []*endpoint
	now     time.Time
	engine  bool
	slots   int
	// loads are how many requests each endpoint is believed to have now.
	loads []float64
	// mean is that of the load of the endpoints, all that of those too that get no new work and are still there.
	mean, all float64
	// others is the mean of what other routers have at an endpoint.
	others float64
	// sent is the mean of what this router sent to an endpoint lately, unheard how many requests others sent since they
	// were heard of for each of those.
	sent, unheard float64
	// latency is the mean of the known ones in milliseconds.
	latency float64
	// home is the endpoint that ranks first for the prompt on every router alike.
	home *endpoint
	// total is the length of the prompt, warm what each endpoint holds of it.
	total int
	warm  []int
	// known is what the home is known to hold, not believed.
	known int
	// fails is the share of attempts that failed lately at each endpoint, avoided the part of the prompts that keep away from
	// those that fail.
	fails   []float64
	avoided float64
	// coldPerSecond is how many requests an endpoint of the service bears while it is cold, 0 for any number.
	coldPerSecond float64
}

func (d *Dispatcher) contest(q Query, pool []*endpoint, now time.Time) *contest {
	c := &contest{d: d, q: q, pool: answering(d.undrained(pool), now), resting: d.resting(q.Service, pool, now), now: now}
	pool = c.pool
	c.slots, _, c.engine = d.capacity(q.Service)
	if s := d.service(q.Service); s != nil {
		c.coldPerSecond = s.ColdPerSecond
	}
	known := 0
	for _, e := range pool {
		c.others += e.ofOthers(now) / float64(len(pool))
		if !e.latency.at.IsZero() {
			c.latency += e.latency.value
			known++
		}
	}
	if known > 0 {
		c.latency /= float64(known)
	} else {
		c.latency = usualLatency
	}
	c.judgeOthers()
	c.addUp()
	c.judgeFailures()
	if len(q.Prompt) > 0 {
		c.home = c.rankFirst()
		c.measureWarmth()
	}
	return c
}

// addUp takes what the endpoints have, and the means of it.
func (c *contest) addUp() {
	sum := 0.0
	c.loads = make([]float64, len(c.pool))
	for i, e := range c.pool {
		c.loads[i] = c.load(e)
		sum += c.loads[i]
	}
	c.mean = sum / float64(max(len(c.pool), 1))
	for _, e := range c.resting {
		sum += e.load(c.now)
	}
	c.all = sum / float64(max(len(c.pool)+len(c.resting), 1))
}

// load is how many requests the endpoint is believed to have now. Of those of other routers that have ended since they
// were told of it knows only that others came in their place somewhere: they count as spread evenly. When a plain
// service's calls, which end many times before the next word of them, counted as they were told, all routers sent to the
// endpoint that had been least loaded some hundred milliseconds before, in a surge far beyond the users' bound.
func (c *contest) load(e *endpoint) float64 {
	l := e.load(c.now) + (c.others-e.ofOthers(c.now))*(1-c.there(e))
	if c.unheard == 0 {
		return l
	}
	return l + c.unheard*max(e.sentLately(c.now)-c.sent, 0)
}

// judgeOthers reckons what the other routers sent to engines since they were heard of: as this router did, they send
// prompts that begin alike to the same engine. When it was left out, an engine that holds what many ask for in a surge was
// sent twice the mean before any router saw it fill.
func (c *contest) judgeOthers() {
	unseen := c.d.demand(c.q.Service).unseen(c.now)
	if !c.engine || unseen == 0 || unseen == 1 {
		return
	}
	for _, e := range c.pool {
		c.sent += e.sentLately(c.now) / float64(len(c.pool))
	}
	age := min(c.now.Sub(c.d.heardAt), foresight) + reportAge
	c.unheard = unseen / (1 - unseen) * math.Ln2 * float64(age) / float64(sentHalf)
}

// sure is the load without what is not known of the other routers. How many calls they let in together is for the places
// of the whole service to decide: when a view that was late by many calls told that an endpoint was full, all routers
// turned away everybody until the next one, and then filled it again.
func (c *contest) sure(e *endpoint) float64 {
	return e.load(c.now) - e.ofOthers(c.now)*(1-c.there(e))
}

// there is the part of the other routers' requests at the endpoint that has not ended since they were told of. Streams
// last about as long as a view does and count as told.
func (c *contest) there(e *endpoint) float64 {
	if c.engine {
		return 1
	}
	age := c.now.Sub(e.othersAt)
	if age > othersAge {
		return 0
	}
	if e.othersAt.Equal(e.heardOf) {
		age += reportAge
	}
	return math.Exp(-float64(age) / float64(time.Millisecond) / max(c.latency, 1))
}

// reportAge is how old the other routers' words are on average when they are heard of together.
const reportAge = 150 * time.Millisecond

// measureWarmth takes what each endpoint is known to hold of the prompt, and believes of the first in rank that other
// routers sent the shared parts there.
func (c *contest) measureWarmth() {
	c.total = c.q.Prompt.Tokens()
	believed := int(homeBelief * float64(commonParts(c.q.Prompt).Tokens()))
	c.warm = make([]int, len(c.pool))
	for i, e := range c.pool {
		c.warm[i] = e.cache.Warm(c.q.Prompt)
		if e == c.home {
			c.known = c.warm[i]
			c.warm[i] = max(c.warm[i], believed)
		}
	}
}

func (c *contest) index(e *endpoint) int { return slices.Index(c.pool, e) }

// rankFirst ranks by rendezvous hashing: no message is needed for the routers to agree, and a lost endpoint moves only
// its own prompts.
func (c *contest) rankFirst() (home *endpoint) {
	least := 1.0
	for _, e := range c.pool {
		if u := c.rank(e); !e.gone && u < least {
			home, least = e, u
		}
	}
	return home
}

// rank is where the endpoint stands for the prompt, from 0 for first to 1 for last, on every router alike.
func (c *contest) rank(e *endpoint) float64 {
	return fraction(c.q.Prompt.Key() ^ e.hash)
}

// fraction is a number from 0 to 1 that any difference in x changes.
func fraction(x uint64) float64 { return float64(scatter.Mix(x)>>11) / (1 << 53) }

const (
	// evenBound and evenSlack are how far above the mean an endpoint may be loaded: under the users' factor of two and
	// three requests, since the loads are estimates that lag.
	evenBound = 1.7
	evenSlack = 3.0
	// leastShare is the part of the way from the mean to the bound that every prompt may go. Each prompt has a part of
	// its own, so that they leave an endpoint that fills one after the other: when all left and came back at the same
	// load, an endpoint just under it was sent twice its bound before any router saw it fill.
	leastShare = 0.6
)

// full tells whether an endpoint is left out while others are not. The users' bound is on the mean of all that are there: while
// many get no new work it comes near to what the others have on average, and below that nothing is gained.
func (c *contest) full(i int) bool {
	room := max(evenBound*c.all, c.mean) + evenSlack - c.mean
	if c.engine && len(c.q.Prompt) > 0 {
		room *= leastShare + (1-leastShare)*fraction(scatter.Mix(c.q.Prompt.Key())^c.pool[i].hash)
	}
	return c.loads[i]+1 > c.mean+room
}

// best is the endpoint of least cost among those that can take the request, or among all when too few look as if they
// could.
func (c *contest) best() (best *endpoint, why Reason) {
	best, why, open := c.least(false)
	if c.crowded(open) {
		best, why, _ = c.least(true)
	}
	return best, why
}

// mostShare is how many times its even share of the requests an endpoint may get because others look full.
const mostShare = 2

// crowded tells whether the request goes where it costs least, whatever looks full, since only that many endpoints look
// as if they could take it. How many requests are let in has been decided for the service, by the places that become free
// everywhere. When they all went to the few endpoints that did not look full, every router sent them to the same ones for
// as long as its view was late: in a surge the last engines with a place were sent four times what they had places for.
// What this router alone sends it counts itself, so that only the others' part is spread.
func (c *contest) crowded(open int) bool {
	part := mostShare * float64(open) / float64(max(len(c.pool), 1))
	if part >= 1 || len(c.q.Tried) > 0 {
		return false
	}
	return c.d.spread() < (1-part)*c.d.demand(c.q.Service).unseen(c.now)
}

// least is the endpoint of least cost among those under the bound, or among all when none is, and of how many; unless
// anyway, those that look full are left out.
func (c *contest) least(anyway bool) (best *endpoint, why Reason, open int) {
	why = ReasonTried
	least, under := math.Inf(1), false
	for i, e := range c.pool {
		if e.gone || slices.Contains(c.q.Tried, e.entry.ID) {
			continue
		}
		if !anyway && c.over(e) || c.tooCold(e) {
			why = ReasonFull
			continue
		}
		open++
		ok := !c.full(i)
		cost := c.cost(i)
		if ok && !under || ok == under && cost < least {
			best, least, under = e, cost, ok
		}
	}
	if best == nil {
		return nil, why, 0
	}
	if best == c.home {
		return best, ReasonWarm, open
	}
	return best, ReasonCost, open
}

const (
	// failureCost is what a certain failure costs in milliseconds. It is enough to leave an endpoint that fails for
	// one that does not and is no busier; at four times as much, the two fifths of the engines that lost no answers
	// were given twice the mean, beyond the users' bound, while the others idled.
	failureCost = 150.0
	// excessCost is what the square of the requests above an even load costs in milliseconds: each slows the steps of
	// all that run beside it by some hundredths.
	excessCost = 12.0
	// readingHarm is how many times a token that has to be read counts: reading delays the next token of every request
	// that runs beside it, and pushes out what others would find cached.
	readingHarm = 5.0
	// farCost is the way to another failure domain and back, in milliseconds.
	farCost = 2.0
	// tieCost spreads equal costs of plain endpoints.
	tieCost = 1.0
	// rankCost is how much the last in rank costs more than the first, in milliseconds. Among engines that hold the
	// prompt the rank decides and not the load, as long as that is near the mean: loads are some hundred milliseconds
	// old, and an engine that all routers saw empty at once was sent six times its share before any saw it fill.
	rankCost = 20.0
	// nearMean is up to which multiple of the mean, and how many requests more, a load counts as even.
	nearMean      = 1.2
	nearMeanSlack = 1.0
	// usualLatency is the time of a plain answer in milliseconds until one is known.
	usualLatency = 15.0
	// homeBelief is how far a router believes that the first in rank holds the shared parts of a prompt that it has
	// not sent there itself: other routers probably did.
	homeBelief = 0.8
)

func (c *contest) cost(i int) (ms float64) {
	e := c.pool[i]
	ms = failureCost * c.avoidance(i)
	if e.entry.FailureDomain != c.d.failureDomain {
		ms += farCost
	}
	if !c.engine {
		// Requests within the slots run beside each other; beyond them they wait for a turn.
		turns := 1 + c.loads[i]/float64(max(e.entry.Slots, 1))
		return ms + turns*e.latency.or(c.latency, c.now) + tieCost*c.d.spread()
	}
	excess := max(c.loads[i]-nearMean*c.mean-nearMeanSlack, 0)
	reading := (readingHarm*float64(c.missing(i)) + float64(e.toRead(c.now))) / c.d.prefill.perMs()
	return ms + rankCost*c.rank(e) + excessCost*excess*excess + reading
}

// missing is how many tokens of the prompt the endpoint would have to read.
func (c *contest) missing(i int) int {
	if len(c.warm) == 0 {
		return 0
	}
	return c.total - c.warm[i]
}
