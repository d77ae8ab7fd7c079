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
	// digestTTL is how long a peer's digest counts. A peer that is silent for longer is dead or partitioned, and its
	// last digest would keep counting requests that ended long ago.
	digestTTL = 4 * time.Second
	// reportMaxAge is the age up to which an endpoint's own report is preferred to the peers' digests, which on average
	// are half a period old.
	reportMaxAge = 600 * time.Millisecond
	// changeRetention is how long changes to own requests are kept, so that they can be added to a late report.
	changeRetention = 2 * time.Second
)

// Ledger estimates the load of every endpoint. The zero value has no endpoints.
type Ledger struct {
	mu          sync.Mutex
	indexByName map[string]int32
	candidates  []candidate.Candidate
	loads       []*endpointLoad
	pools       map[string]*pool
	peers       map[string]*peerLoad
	// namesHash is the hash of the endpoint names, whose order is that of the digests.
	namesHash uint64
}

// fingerprint identifies the list of endpoints in messages; two bytes are enough to tell one configuration from the
// next.
func (l *Ledger) fingerprint() uint32 { return uint32(uint16(l.namesHash)) }

// pool is the set of endpoints that serve the same model or service. Its totals are updated with each load change,
// because summing them for each decision took a third of the decision's time.
type pool struct {
	members []int32
	totals  placement.Totals
}

// endpointLoad holds the parts from which the load of one endpoint is estimated: requests and tokens are this router's
// own, peerRequests and peerTokens the sums of the peers' digests, and reported the endpoint's own count.
type endpointLoad struct {
	name          string
	pools         []*pool
	state         health.State
	requests      float64
	tokens        float64
	peerRequests  float64
	peerTokens    float64
	reported      float64
	reportedAt    time.Time
	recentChanges []change
}

// change is the start (+1) or end (-1) of one of this router's own requests.
type change struct {
	at    time.Time
	delta float64
}

// PoolOfModel returns the pool name for the engines that serve a model.
func PoolOfModel(model string) string { return "model/" + model }

// PoolOfService returns the pool name for the processes of a plain service.
func PoolOfService(service string) string { return "service/" + service }

// Configure sets the current endpoints, which must be sorted by name, and keeps the load of those that were known
// before.
func (l *Ledger) Configure(endpoints []endpoint.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldIndex, oldCandidates := l.indexByName, l.candidates
	oldLoads := l.loads
	l.indexByName = map[string]int32{}
	l.pools = map[string]*pool{}
	l.candidates, l.loads = nil, nil
	namesHash := xxhash.New()
	for i, e := range endpoints {
		c := candidate.New(e.Name(), e.Weight())
		load := &endpointLoad{name: e.Name()}
		if j, exists := oldIndex[e.Name()]; exists {
			c, load = oldCandidates[j], oldLoads[j]
			c.SetWeight(e.Weight())
			load.pools = nil
		}
		l.indexByName[e.Name()] = int32(i)
		l.candidates = append(l.candidates, c)
		l.loads = append(l.loads, load)
		l.addToPools(int32(i), e)
		_, _ = namesHash.WriteString(e.Name() + "\x00")
	}
	if sum := namesHash.Sum64(); sum != l.namesHash {
		l.namesHash = sum
		l.dropPeerLoads()
	}
	l.updateUsable()
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
	l.loads[i].pools = append(l.loads[i].pools, p)
}

// recomputeTotals sums the totals afresh after the set of usable endpoints has changed, and periodically, to remove the
// accumulated rounding errors.
func (l *Ledger) recomputeTotals() {
	for _, p := range l.pools {
		p.totals = placement.SumUsable(l.candidates, p.members)
	}
}

// SetState sets the health state of an endpoint, which determines whether it may receive new requests.
func (l *Ledger) SetState(name string, state health.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.indexByName[name]
	if !ok || l.loads[i].state == state {
		return
	}
	l.loads[i].state = state
	l.updateUsable()
}

// panicThreshold is the fraction of a pool that must be up. If less is up, a partition or a local fault is likelier
// than that many simultaneous failures, and the few remaining endpoints would be overloaded, so the down ones are tried
// again.
const panicThreshold = 0.5

func (l *Ledger) updateUsable() {
	for i, e := range l.loads {
		l.candidates[i].SetUsable(e.state == health.Up || e.state == "")
	}
	for _, p := range l.pools {
		if l.inPanic(p.members) {
			l.includeDown(p.members)
		}
	}
	l.recomputeTotals()
}

// withdrawn reports whether the endpoint itself wants no requests. It gets none even if hardly any other is up.
func (e *endpointLoad) withdrawn() bool { return e.state == health.Leaving || e.state == health.Paused }

func (l *Ledger) inPanic(members []int32) bool {
	up, accepting := 0, 0
	for _, i := range members {
		if l.loads[i].withdrawn() {
			continue
		}
		accepting++
		if state := l.loads[i].state; state == health.Up || state == "" {
			up++
		}
	}
	return float64(up) < panicThreshold*float64(accepting)
}

func (l *Ledger) includeDown(members []int32) {
	for _, i := range members {
		if !l.loads[i].withdrawn() {
			l.candidates[i].SetUsable(true)
		}
	}
}

// Report records how many requests an endpoint reported, and when, by this router's clock.
func (l *Ledger) Report(name string, requests int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.indexByName[name]
	if !ok || at.Before(l.loads[i].reportedAt) {
		return
	}
	l.loads[i].reported = float64(requests)
	l.loads[i].reportedAt = at
	l.recompute(i)
}

// recompute updates the load of one endpoint. A report is delayed, so the requests sent since are added; otherwise
// every router would see the same idle engine and send to it. Digests are delayed too, so only the fresher source
// counts. Taking the larger of the two instead would accumulate the errors of both.
func (l *Ledger) recompute(i int32) {
	e := l.loads[i]
	requests := e.requests + e.peerRequests
	if time.Since(e.reportedAt) < reportMaxAge {
		requests = max(e.reported+e.changesSince(e.reportedAt), e.requests)
	}
	tokens := e.tokens + e.peerTokens
	if known := e.requests + e.peerRequests; known > 0 {
		tokens *= requests / known
	}
	l.setLoad(i, requests, tokens)
}

func (l *Ledger) setLoad(i int32, requests, tokens float64) {
	c := &l.candidates[i]
	if c.Usable() {
		for _, p := range l.loads[i].pools {
			p.totals.Requests += requests - c.Requests()
			p.totals.Tokens += tokens - c.Tokens()
		}
	}
	c.SetLoad(requests, tokens)
}

func (e *endpointLoad) changesSince(at time.Time) (sum float64) {
	for _, c := range e.recentChanges {
		if c.at.After(at) {
			sum += c.delta
		}
	}
	return sum
}

func (e *endpointLoad) recordChange(delta float64, now time.Time) {
	n := 0
	for n < len(e.recentChanges) && now.Sub(e.recentChanges[n].at) > changeRetention {
		n++
	}
	e.recentChanges = append(e.recentChanges[n:], change{at: now, delta: delta})
}

// Choice is the result of a placement, with the values that explain it.
type Choice struct {
	Endpoint   string
	Reason     placement.Reason
	Requests   float64
	Tokens     float64
	MeanTokens float64
	Usable     int
	Members    int
	// Hash is the hash of the endpoint name. First reports whether the endpoint ranks highest for the key.
	Hash          uint64
	HighestRanked bool
}

// Query describes a request to place.
type Query struct {
	Pool         string
	Key          uint64
	WarmEndpoint string
	Returning    bool
	CacheValue   float64
	Tokens       float64
	Exclude      []string
}

// Choose places a request with the policy, skipping excluded endpoints.
func (l *Ledger) Choose(policy placement.Policy, q Query) (c Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[q.Pool]
	if p == nil {
		return Choice{Reason: placement.ReasonNoneUsable}
	}
	members := p.members
	defer l.exclude(q.Exclude)()
	r := placement.Request{Key: q.Key, WarmEndpoint: placement.NoCandidate, Returning: q.Returning, CacheValue: q.CacheValue, Tokens: q.Tokens}
	r.Totals = p.totals
	if i, ok := l.indexByName[q.WarmEndpoint]; ok && slices.Contains(l.loads[i].pools, p) {
		r.WarmEndpoint = int(i)
	}
	i, reason := policy.Choose(r, l.candidates, members)
	c = Choice{Members: len(members), Usable: r.Totals.Usable, Reason: reason}
	c.MeanTokens = r.Totals.Tokens / float64(max(c.Usable, 1))
	if i != placement.NoCandidate {
		c.Endpoint = l.loads[i].name
		c.Requests, c.Tokens = l.candidates[i].Requests(), l.candidates[i].Tokens()
		c.Hash = l.candidates[i].Hash()
		c.HighestRanked = reason == placement.ReasonRank || i == placement.HighestRanked(q.Key, r.Totals, l.candidates, members)
	}
	return c
}

// exclude makes endpoints unusable for one choice; the returned function makes them usable again.
func (l *Ledger) exclude(names []string) (restore func()) {
	if len(names) == 0 {
		return func() {}
	}
	var excluded []int32
	for _, name := range names {
		if i, ok := l.indexByName[name]; ok && l.candidates[i].Usable() {
			l.candidates[i].SetUsable(false)
			excluded = append(excluded, i)
		}
	}
	l.recomputeTotals()
	return func() {
		for _, i := range excluded {
			l.candidates[i].SetUsable(true)
		}
		l.recomputeTotals()
	}
}

// EndpointState is the load of one endpoint as shown to operators.
type EndpointState struct {
	Endpoint string  `json:"endpoint"`
	Usable   bool    `json:"usable"`
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	Own      float64 `json:"own"`
	Peers    float64 `json:"peers"`
	Reported float64 `json:"reported"`
}

// States returns the load of all endpoints, sorted by name.
func (l *Ledger) States() (states []EndpointState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.loads {
		c := &l.candidates[i]
		states = append(states, EndpointState{
			Endpoint: e.name, Usable: c.Usable(), Requests: c.Requests(), Tokens: c.Tokens(),
			Own: e.requests, Peers: e.peerRequests, Reported: e.reported,
		})
	}
	return states
}

// FindByHash returns the name of the first endpoint whose name hash satisfies match, or an empty string.
func (l *Ledger) FindByHash(match func(hash uint64) bool) (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.candidates {
		if match(l.candidates[i].Hash()) {
			return l.loads[i].name
		}
	}
	return ""
}

// SetRecentlyStarted sets whether an endpoint has recently started.
func (l *Ledger) SetRecentlyStarted(name string, recentlyStarted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i, ok := l.indexByName[name]; ok {
		l.candidates[i].SetRecentlyStarted(recentlyStarted)
	}
}

// Capacity returns how many requests a pool may hold if an endpoint of weight 1 may hold perEndpoint.
func (l *Ledger) Capacity(name string, perEndpoint int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[name]
	if p == nil {
		return 0
	}
	return int(p.totals.Weight * float64(perEndpoint))
}
