package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/accountshare"
	"savoryfall/core/coldlimit"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/origin"
	"savoryfall/core/outputlength"
	"savoryfall/core/prompt"
	"savoryfall/core/routetable"
)

// Dispatcher knows the endpoints of every service, their load and their health. Use New to create one.
type Dispatcher struct {
	mu            sync.Mutex
	failureDomain string
	table         *routetable.Table
	pools         map[string][]*endpoint
	byID          map[string]*endpoint
	prefill       prefillRate
	demands       map[string]*demand
	pendingReads  []fleetload.PrefixRead
	byShortHash   map[uint32]*endpoint
	// departed are the endpoints that recently left the directory; engines among them may cache prompts that no other
	// engine does.
	departed     []*endpoint
	promptTokens uint64
	cachedTokens uint64
	othersAt     time.Time
	// random is nil for the random source of the process, which differs between routers.
	random *rand.Rand
	// drained are the failure domains whose endpoints get no new work.
	drained        []string
	drainedAt      map[string]time.Time
	drainFetchTerm time.Duration
	fleet          coldlimit.Fleet
	// brittleAt has the services whose endpoints are brittle, and when an answer last said so.
	brittleAt map[string]time.Time
	coldBound coldlimit.Bound
	// withdrawals counts the events by which an endpoint may have been withdrawn, so that requests which are about to be
	// sent need the lock only after one.
	withdrawals atomic.Uint64
	overload    OverloadControl
	shares      accountshare.Shares
	retries     retries
	// limits follow the latency of the services for which overload control is active.
	limits map[string]*serviceLimit
	// speedReportedAt has the services whose endpoints report the speed of their VM, and when an answer last did.
	speedReportedAt map[string]time.Time
	// times has what the work of each service takes.
	times      map[string]*serviceTimes
	onCapacity func(service string, freed int)
	// lengths has how many events answers have.
	lengths outputlength.Predictor
	// distrustedReports counts how many times the reports of an endpoint's speed have become distrusted.
	distrustedReports uint64
	// views are what decisions share while overload control is active, by service, and holders finds the endpoints that hold a
	// prompt part.
	views   map[string]*poolView
	holders holderIndex
}

// New returns a dispatcher for a router of the failure domain.
func New(failureDomain string) *Dispatcher {
	return &Dispatcher{failureDomain: failureDomain, drainedAt: map[string]time.Time{}, brittleAt: map[string]time.Time{}, byID: map[string]*endpoint{}, pools: map[string][]*endpoint{}}
}

// Seed makes all random choices from now on the same in every run. Without it the routers of a fleet choose
// differently, as they must: routers with the same random numbers would all send to the same endpoint.
func (d *Dispatcher) Seed(seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random = rand.New(rand.NewPCG(seed, seed))
}

// Configure sets the services of a configuration.
func (d *Dispatcher) Configure(t *routetable.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = t
}

// Update sets the endpoints that may get new work. What is known of an endpoint is kept, unless its process was
// replaced.
func (d *Dispatcher) Update(entries []directory.Entry, now time.Time) {
	defer d.reportChange(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	byID, pools := map[string]*endpoint{}, map[string][]*endpoint{}
	for _, entry := range entries {
		e := d.find(entry.ID)
		if e == nil || e.entry.Born != entry.Born || e.entry.Address != entry.Address {
			e = newEndpoint(entry)
		}
		if e.entry != entry {
			e.cold.setRemaining(entry.Cold, now)
		}
		e.entry = entry
		byID[entry.ID] = e
		pools[entry.Service] = append(pools[entry.Service], e)
	}
	d.retainDeparted(byID, now)
	d.holders.drop(func(e *endpoint) bool { return byID[e.entry.ID] == e })
	d.withdrawals.Add(1)
	d.byID, d.pools = byID, pools
	d.byShortHash = map[uint32]*endpoint{}
	for _, e := range byID {
		d.byShortHash[e.shortHash()] = e
	}
}

// find returns the endpoint with the id, also if it has recently left the directory.
func (d *Dispatcher) find(id string) (e *endpoint) {
	if e = d.byID[id]; e != nil {
		return e
	}
	for _, e := range d.departed {
		if e.entry.ID == id {
			return e
		}
	}
	return nil
}

// Query describes a request for the choice of its endpoint.
type Query struct {
	Service string
	Prompt  prompt.Chain
	// Rank is the request's priority among those of its service, 0 for the most urgent.
	Rank int
	// Account is the client account of the request, empty for none.
	Account string
	// Tried are the endpoints that this request must not be sent to again.
	Tried []string
	// Origin is where the stream began that the request continues, nil if it begins one.
	Origin *origin.Origin
	// Spread is set if an endpoint crashed under the request. It goes to any endpoint, so that those that share its prompt and may be
	// the cause, or meet its crashes, are at other ones.
	Spread bool
	// Kind is the name of the request's route. LengthHint is the client's estimate of the output tokens, 0 for none.
	Kind       string
	LengthHint int
	// LatencyTarget is the time within which the answer has its full value, and TimeLeft how long the client still waits. Both
	// are 0 if unknown.
	LatencyTarget, TimeLeft time.Duration
	// Retrying is set if the client has tried the request before. RecognizedAfter is how long a client that is refused now must wait for
	// its next attempt to be recognized as one that retries.
	Retrying        bool
	RecognizedAfter time.Duration
	// Waited is set if an earlier choice for this attempt found no capacity. The request has been counted then.
	Waited bool
}

// Reason is why no endpoint was chosen, or why this one was.
type Reason string

// The reasons of a choice.
const (
	ReasonCached     Reason = "warm"
	ReasonLowestCost Reason = "cost"
	ReasonNoEndpoint Reason = "noEndpoint"
	// ReasonPaused means that all endpoints have asked for no requests for some time.
	ReasonPaused   Reason = "paused"
	ReasonAllTried Reason = "allTried"
	ReasonAllFull  Reason = "allFull"
	// ReasonReserved means that the remaining capacity is reserved for more urgent requests.
	ReasonReserved Reason = "reserved"
	// ReasonNoVersion means that no endpoint of the version that began the stream may be chosen, ReasonDoubtfulVersion that
	// it is not certain which version that was.
	ReasonNoVersion       Reason = "noVersion"
	ReasonDoubtfulVersion Reason = "doubtfulVersion"
	// ReasonInfeasible means that no endpoint is expected to serve the request within its latency target and the client's
	// deadline.
	ReasonInfeasible Reason = "infeasible"
)

// Choose begins an attempt at the endpoint where the request costs least. The attempt is nil if there is none.
func (d *Dispatcher) Choose(q Query, now time.Time) (a *Attempt, reason Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.scoring(q, d.pools[q.Service], now)
	if len(c.pool) == 0 {
		if d.pausedFor(q.Service, now) > 0 {
			return nil, ReasonPaused
		}
		return nil, ReasonNoEndpoint
	}
	if reason, ok := c.checkOrigin(); !ok {
		return nil, reason
	}
	if len(q.Tried) > 0 {
		// A retry may take reserved capacity: the request has used capacity already, and its client has waited.
		return c.beginCheapest()
	}
	m := d.demand(q.Service)
	controlled := d.overloadControl(q.Service, now)
	m.routers = 0
	if controlled {
		m.routers = max(d.fleet.Size(), 1)
	}
	if !q.Waited {
		m.recordArrival(q.Rank, now)
		d.recordDemand(q, controlled, now)
	}
	m.updateSkew(d.fleet.Size(), now)
	reason, rejected := c.rejects()
	if !rejected {
		a, reason = c.beginCheapest()
	}
	m.recordResult(q, a != nil, now)
	if controlled && q.Retrying {
		d.retries.recordReturn(a != nil)
	}
	return a, reason
}

func (c *scoring) beginCheapest() (a *Attempt, reason Reason) {
	best, reason := c.best()
	if best == nil {
		return nil, reason
	}
	return c.d.begin(c, best), reason
}

// Occupancy returns how many requests the service is estimated to hold, and how many it can.
func (d *Dispatcher) Occupancy(service string, now time.Time) (taken, capacity int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, p := d.scoring(Query{Service: service}, d.pools[service], now).occupancy()
	return int(t), int(p)
}

// FullFor returns for how long many requests of the rank have been refused by the service, 0 if they are not.
func (d *Dispatcher) FullFor(service string, rank int, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand(service).fullFor(rank, now)
}

// HasCapacityElsewhere reports whether an endpoint of the query's service, other than those that it was sent to, could take
// it now.
func (d *Dispatcher) HasCapacityElsewhere(q Query, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.scoring(q, d.pools[q.Service], now)
	if c.view != nil {
		c.compare(c.pool)
	}
	return slices.ContainsFunc(c.pool, func(e *endpoint) bool {
		return !slices.Contains(q.Tried, e.entry.ID) && c.mayContinue(e) && !e.replaced && !e.breaker.isOpen(now) && !c.full(e) && !c.coldLimitReached(e) &&
			!c.brittleLimitReached(c.index(e)) && !e.pause.limited()
	})
}

// MarkReplaced drops an endpoint that another process has replaced at its address, until the directory lists it again.
func (d *Dispatcher) MarkReplaced(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byID[id]
	if e != nil {
		e.replaced = true
	}
}

// service returns the configured service, nil if there is none of that name.
func (d *Dispatcher) service(name string) *routetable.Service {
	if d.table == nil {
		return nil
	}
	return d.table.Service(name)
}

func (d *Dispatcher) serviceCapacity(service string) (slots, cache int, engine bool) {
	s := d.service(service)
	if s == nil {
		return 0, 0, false
	}
	return s.Slots, s.CacheTokens, s.Engine
}

// randomFloat returns a random number that also breaks ties between equal costs, so that routers with the same
// information do not all send to the same endpoint.
func (d *Dispatcher) randomFloat() float64 {
	if d.random == nil {
		return rand.Float64()
	}
	return d.random.Float64()
}
