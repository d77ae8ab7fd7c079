package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/candidate"
	"savoryfall/core/endpoint"
	"savoryfall/core/health"
	"savoryfall/core/placement"
)

const (
	// digestLife is how long a peer's digest counts; a peer that is silent for longer is dead or cut off, and what
	// it last said would keep load on the books that has long ended.
	digestLife = 4 * time.Second
	// fresh is up to what age an endpoint's own report is newer than what the peers have said, which is half a period
	// old on average.
	fresh = 600 * time.Millisecond
	// remembered is how long own changes are kept, to add them to a late report.
	remembered = 2 * time.Second
)

// Ledger keeps the expected load of every endpoint; the zero value knows none.
type Ledger struct {
	mu      sync.Mutex
	index   map[string]int32
	all     []candidate.Candidate
	entries []*entry
	pools   map[string]*pool
	peers   map[string]*peerDigest
	// names is the hash of the endpoints' names, in whose order digests are written.
	names uint64
}

// shape stands for the endpoints in messages, where two bytes are enough to tell one configuration from the next.
func (l *Ledger) shape() uint32 { return uint32(uint16(l.names)) }

// pool is the endpoints that serve the same; its totals follow each change of a load, because adding them up anew for
// each decision was a third of its cost.
type pool struct {
	members []int32
	totals  placement.Totals
}

// entry is what the load of one endpoint is made of.
type entry struct {
	name        string
	pools       []*pool
	state       health.State
	requests    float64
	tokens      float64
	peerRequest float64
	peerTokens  float64
	reported    float64
	reportedAt  time.Time
	recent      []change
}

// change is a request of our own that was sent or has ended.
type change struct {
	at time.Time
	by float64
}

// PoolOfModel names the pool of the engines that serve a model.
func PoolOfModel(model string) string { return "model/" + model }

// PoolOfService names the pool of the processes of a plain service.
func PoolOfService(service string) string { return "service/" + service }

// Configure takes the endpoints in force, sorted by name, and keeps what is known of those that stay.
func (l *Ledger) Configure(endpoints []endpoint.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, oldAll := l.index, l.all
	oldEntries := l.entries
	l.index = map[string]int32{}
	l.pools = map[string]*pool{}
	l.all, l.entries = nil, nil
	names := xxhash.New()
	for i, e := range endpoints {
		c := candidate.New(e.Name(), e.Weight())
		en := &entry{name: e.Name()}
		if j, stays := old[e.Name()]; stays {
			c, en = oldAll[j], oldEntries[j]
			c.SetWeight(e.Weight())
			en.pools = nil
		}
		l.index[e.Name()] = int32(i)
		l.all = append(l.all, c)
		l.entries = append(l.entries, en)
		l.addToPools(int32(i), e)
		_, _ = names.WriteString(e.Name() + "\x00")
	}
	if sum := names.Sum64(); sum != l.names {
		l.names = sum
		l.dropDigests()
	}
	l.settleUsable()
}

func (l *Ledger) addToPools(i int32, e endpoint.Endpoint) {
	for _, m := range e.Models() {
		l.addToPool(i, PoolOfModel(m))
	}
	if e.Kind() == endpoint.KindService {
		l.addToPool(i, PoolOfService(e.Service()))
	}
}

func (l *Ledger) addToPool(i int32, name string) {
	p := l.pools[name]
	if p == nil {
		p = &pool{}
		l.pools[name] = p
	}
	p.members = append(p.members, i)
	l.entries[i].pools = append(l.entries[i].pools, p)
}

// recount adds the totals up anew, after a change of who is usable, and now and then against the drift of adding.
func (l *Ledger) recount() {
	for _, p := range l.pools {
		p.totals = placement.SumUsable(l.all, p.members)
	}
}

// SetState takes which endpoints may have new work, and forgets none of the others.
func (l *Ledger) SetState(name string, state health.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[name]
	if !ok || l.entries[i].state == state {
		return
	}
	l.entries[i].state = state
	l.settleUsable()
}

// panicShare is the part of a pool that must be up. When more is down at once, a cut or a fault of our own is
// likelier than that many deaths, and the few left would be overrun; so the down ones are tried again.
const panicShare = 0.5

func (l *Ledger) settleUsable() {
	for i, e := range l.entries {
		l.all[i].SetUsable(e.state == health.Up || e.state == "")
	}
	for _, p := range l.pools {
		if l.inPanic(p.members) {
			l.allowDown(p.members)
		}
	}
	l.recount()
}

func (l *Ledger) inPanic(members []int32) bool {
	up, staying := 0, 0
	for _, i := range members {
		if l.entries[i].state == health.Leaving {
			continue
		}
		staying++
		if state := l.entries[i].state; state == health.Up || state == "" {
			up++
		}
	}
	return float64(up) < panicShare*float64(staying)
}

func (l *Ledger) allowDown(members []int32) {
	for _, i := range members {
		if l.entries[i].state != health.Leaving {
			l.all[i].SetUsable(true)
		}
	}
}

// Report takes how many requests an endpoint said it held, and when that was on the clock of this process.
func (l *Ledger) Report(name string, requests int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[name]
	if !ok || at.Before(l.entries[i].reportedAt) {
		return
	}
	l.entries[i].reported = float64(requests)
	l.entries[i].reportedAt = at
	l.refresh(i)
}

// refresh works the load of one endpoint out anew. A report is late: what was sent since is missing in it, and
// without adding that every router would see the same idle engine and send to it. What the peers said is late too;
// the fresher view counts. Taking the larger of the two instead would pile up the errors of both.
func (l *Ledger) refresh(i int32) {
	e := l.entries[i]
	requests := e.requests + e.peerRequest
	if time.Since(e.reportedAt) < fresh {
		requests = max(e.reported+e.since(e.reportedAt), e.requests)
	}
	tokens := e.tokens + e.peerTokens
	if known := e.requests + e.peerRequest; known > 0 {
		tokens *= requests / known
	}
	l.setLoad(i, requests, tokens)
}

func (l *Ledger) setLoad(i int32, requests, tokens float64) {
	c := &l.all[i]
	if c.Usable() {
		for _, p := range l.entries[i].pools {
			p.totals.Requests += requests - c.Requests()
			p.totals.Tokens += tokens - c.Tokens()
		}
	}
	c.SetLoad(requests, tokens)
}

func (e *entry) since(at time.Time) (sum float64) {
	for _, c := range e.recent {
		if c.at.After(at) {
			sum += c.by
		}
	}
	return sum
}

func (e *entry) record(by float64, now time.Time) {
	n := 0
	for n < len(e.recent) && now.Sub(e.recent[n].at) > remembered {
		n++
	}
	e.recent = append(e.recent[n:], change{at: now, by: by})
}

// Choice is the outcome of a placement, with the figures that explain it.
type Choice struct {
	Endpoint   string
	Reason     placement.Reason
	Requests   float64
	Tokens     float64
	MeanTokens float64
	Usable     int
	Members    int
	// Hash is that of the endpoint's name, and First tells whether the key ranks first there.
	Hash  uint64
	First bool
}

// Query is one request to place.
type Query struct {
	Pool      string
	Key       uint64
	Warm      string
	Returning bool
	Worth     float64
	Tokens    float64
	Exclude   []string
}

// Choose places a request by the policy, and never on an excluded endpoint.
func (l *Ledger) Choose(policy placement.Policy, q Query) (c Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[q.Pool]
	if p == nil {
		return Choice{Reason: placement.ReasonNoneUsable}
	}
	members := p.members
	defer l.exclude(q.Exclude)()
	r := placement.Request{Key: q.Key, Warm: placement.NoCandidate, Returning: q.Returning, Worth: q.Worth, Tokens: q.Tokens}
	r.Totals = p.totals
	if i, ok := l.index[q.Warm]; ok && slices.Contains(l.entries[i].pools, p) {
		r.Warm = int(i)
	}
	i, reason := policy.Choose(r, l.all, members)
	c = Choice{Members: len(members), Usable: r.Totals.Usable, Reason: reason}
	c.MeanTokens = r.Totals.Tokens / float64(max(c.Usable, 1))
	if i != placement.NoCandidate {
		c.Endpoint = l.entries[i].name
		c.Requests, c.Tokens = l.all[i].Requests(), l.all[i].Tokens()
		c.Hash = l.all[i].Hash()
		c.First = reason == placement.ReasonRank || i == placement.First(q.Key, r.Totals, l.all, members)
	}
	return c
}

// exclude forbids endpoints for one choice; the returned function allows them again.
func (l *Ledger) exclude(names []string) (restore func()) {
	if len(names) == 0 {
		return func() {}
	}
	var hidden []int32
	for _, name := range names {
		if i, ok := l.index[name]; ok && l.all[i].Usable() {
			l.all[i].SetUsable(false)
			hidden = append(hidden, i)
		}
	}
	l.recount()
	return func() {
		for _, i := range hidden {
			l.all[i].SetUsable(true)
		}
		l.recount()
	}
}

// State is the load of one endpoint, for people.
type State struct {
	Endpoint string  `json:"endpoint"`
	Usable   bool    `json:"usable"`
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	Own      float64 `json:"own"`
	Peers    float64 `json:"peers"`
	Reported float64 `json:"reported"`
}

// States are the loads of all endpoints, sorted by name.
func (l *Ledger) States() (states []State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.entries {
		c := &l.all[i]
		states = append(states, State{
			Endpoint: e.name, Usable: c.Usable(), Requests: c.Requests(), Tokens: c.Tokens(),
			Own: e.requests, Peers: e.peerRequest, Reported: e.reported,
		})
	}
	return states
}

// ByHash finds the endpoint whose name has a hash that fits.
func (l *Ledger) ByHash(fits func(hash uint64) bool) (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.all {
		if fits(l.all[i].Hash()) {
			return l.entries[i].name
		}
	}
	return ""
}

// SetYoung marks an endpoint that has just come, or has matured.
func (l *Ledger) SetYoung(name string, young bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i, ok := l.index[name]; ok {
		l.all[i].SetYoung(young)
	}
}

// Capacity is how many requests a pool may hold when each endpoint of weight one may hold perEndpoint.
func (l *Ledger) Capacity(name string, perEndpoint int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[name]
	if p == nil {
		return 0
	}
	return int(p.totals.Weight * float64(perEndpoint))
}
