package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savoryfall/core/board"
	"savoryfall/core/coldshare"
	"savoryfall/core/directory"
	"savoryfall/core/prompt"
	"savoryfall/core/routetable"
)

// Dispatcher knows the endpoints of every service, their load and their health; New makes one.
type Dispatcher struct {
	mu            sync.Mutex
	failureDomain string
	table         *routetable.Table
	pools         map[string][]*endpoint
	by            map[string]*endpoint
	prefill       prefillRate
	demands       map[string]*demand
	placed        []board.Read
	byName        map[uint32]*endpoint
	// left are the engines that are on the list no more, which may hold prompts that no other does.
	left         []*endpoint
	promptTokens uint64
	warmTokens   uint64
	heardAt      time.Time
	// random is nil for the source of the process, which no two routers have alike.
	random *rand.Rand
	// drained are the failure domains whose endpoints get no new work.
	drained   []string
	drainedAt map[string]time.Time
	drainTerm time.Duration
	fleet     coldshare.Fleet
	coldBound coldshare.Bound
}

// New makes a dispatcher for a router of the failure domain.
func New(failureDomain string) *Dispatcher {
	return &Dispatcher{failureDomain: failureDomain, drainedAt: map[string]time.Time{}, by: map[string]*endpoint{}, pools: map[string][]*endpoint{}}
}

// Seed makes all that is left to chance from now on the same in every run. Without it the routers of a fleet draw
// differently, as they must: those that drew alike would all send to the same endpoint.
func (d *Dispatcher) Seed(seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random = rand.New(rand.NewPCG(seed, seed))
}

// Configure takes the services of a configuration.
func (d *Dispatcher) Configure(t *routetable.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = t
}

// Update takes the endpoints that may have new work. Those that stay keep what is known of them, unless their process
// is another one.
func (d *Dispatcher) Update(entries []directory.Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	by, pools := map[string]*endpoint{}, map[string][]*endpoint{}
	for _, entry := range entries {
		e := d.find(entry.ID)
		if e == nil || e.entry.Born != entry.Born || e.entry.Address != entry.Address {
			e = newEndpoint(entry)
		}
		if e.entry != entry {
			e.cold.left(entry.Cold, now)
		}
		e.entry = entry
		by[entry.ID] = e
		pools[entry.Service] = append(pools[entry.Service], e)
	}
	d.leave(by, now)
	d.by, d.pools = by, pools
	d.byName = map[uint32]*endpoint{}
	for _, e := range by {
		d.byName[e.name()] = e
	}
}

// find is the endpoint of that id, also when the list had dropped it.
func (d *Dispatcher) find(id string) (e *endpoint) {
	if e = d.by[id]; e != nil {
		return e
	}
	for _, e := range d.left {
		if e.entry.ID == id {
			return e
		}
	}
	return nil
}

// Query is what decides where an attempt goes.
type Query struct {
	Service string
	Prompt  prompt.Chain
	// Rank is where the request stands among those to its service, 0 for the most urgent.
	Rank int
	// Account is whose request it is, empty for anybody's.
	Account string
	// Tried are the endpoints that this request must not go to again.
	Tried []string
}

// Reason is why no endpoint was chosen, or why this one.
type Reason string

// The reasons of a choice.
const (
	ReasonWarm  Reason = "warm"
	ReasonCost  Reason = "cost"
	ReasonNone  Reason = "noEndpoint"
	ReasonTried Reason = "allTried"
	ReasonFull  Reason = "allFull"
	// ReasonReserved says that what is left is kept for more urgent requests.
	ReasonReserved Reason = "reserved"
)

// Choose begins an attempt at the endpoint where the request costs least; the attempt is nil when there is none.
func (d *Dispatcher) Choose(q Query, now time.Time) (a *Attempt, why Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.contest(q, d.pools[q.Service], now)
	if len(c.pool) == 0 {
		return nil, ReasonNone
	}
	if len(q.Tried) > 0 {
		// What was let in once goes on: it has used a place already, and its client has waited.
		return c.decide()
	}
	m := d.demand(q.Service)
	m.saw(q.Rank, q.Account, now)
	why, full := c.turnsAway()
	if !full {
		a, why = c.decide()
	}
	if a == nil {
		m.turnedAway(q.Rank, now)
	}
	return a, why
}

func (c *contest) decide() (a *Attempt, why Reason) {
	best, why := c.best()
	if best == nil {
		return nil, why
	}
	return c.d.begin(c, best), why
}

// Occupancy is how many places of the service this router believes to be taken, of how many.
func (d *Dispatcher) Occupancy(service string, now time.Time) (taken, places int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, p := d.contest(Query{Service: service}, d.pools[service], now).occupancy()
	return int(t), int(p)
}

// FullFor is for how long many requests of the rank have been turned away from the service, 0 when they are not.
func (d *Dispatcher) FullFor(service string, rank int, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand(service).fullFor(rank, now)
}

// Room tells whether an endpoint of the service other than the one of that id could take a request now.
func (d *Dispatcher) Room(service, id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.contest(Query{Service: service}, d.pools[service], now)
	return slices.ContainsFunc(c.pool, func(e *endpoint) bool {
		return e.entry.ID != id && !e.gone && !e.breaker.open(now) && !c.over(e) && !c.tooCold(e)
	})
}

// Gone drops an endpoint that another process has replaced at its address, until the list names it anew.
func (d *Dispatcher) Gone(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.by[id]
	if e != nil {
		e.gone = true
	}
}

// service is that of the configuration, nil when it names none.
func (d *Dispatcher) service(name string) *routetable.Service {
	if d.table == nil {
		return nil
	}
	return d.table.Service(name)
}

func (d *Dispatcher) capacity(service string) (slots, cache int, engine bool) {
	s := d.service(service)
	if s == nil {
		return 0, 0, false
	}
	return s.Slots, s.CacheTokens, s.Engine
}

// spread breaks ties between equal costs, so that routers which see the same do not all send to the same endpoint.
func (d *Dispatcher) spread() float64 {
	if d.random == nil {
		return rand.Float64()
	}
	return d.random.Float64()
}
