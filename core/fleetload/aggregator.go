package fleetload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryfall/core/prompt"
)

// Load is the load on one endpoint caused by one router or by all routers together.
type Load struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32
	// Running counts the requests in progress, PendingPromptTokens the prompt tokens of those whose response has not
	// started yet.
	Running             int
	PendingPromptTokens int
	// Failures and Attempts decay over time.
	Failures float32
	Attempts float32
	// Untracked counts the requests that the endpoint reports beyond those that the routers account for: some
	// endpoints keep working for clients that have disconnected. When several routers report a value, the highest
	// is used.
	Untracked float32
}

// Demand is the demand for a service at one priority rank, from one router or from all routers together.
type Demand struct {
	// Service is the hash of the service's name.
	Service uint32
	Rank    int
	// Came counts the requests received and decays over time; Running counts those that occupy a slot.
	Came    float32
	Running int
}

// Workload is the load and demand of one router or of all routers together.
type Workload struct {
	Loads   []Load
	Demands []Demand
}

// PrefixRead states that an endpoint has processed the shared parts of a prompt and therefore has them in its cache.
type PrefixRead struct {
	Endpoint uint32
	Parts    prompt.Chain
}

// Aggregator aggregates the reports of routers; the zero value is empty.
type Aggregator struct {
	mu        sync.Mutex
	routers   map[string]*routerReport
	reads     []PrefixRead
	firstRead int64
	seenReads map[partKey]bool
	// remote is the load of the routers that report to other hubs, as derived from the total that this hub's own
	// hub sent at remoteAt.
	remote   Workload
	remoteAt time.Time
}

type routerReport struct {
	receivedAt time.Time
	work       Workload
}

// partKey identifies a PrefixRead by its endpoint and the last of its shared prompt parts.
type partKey struct {
	endpoint uint32
	part     uint64
}

const (
	// ReportTTL is how long a report counts. Several reports in a row may be lost before a router is treated as
	// gone.
	ReportTTL = 2 * time.Second
	// maxReads limits the reads kept for routers that have not received them yet. It is enough for 1,500 shared
	// prompts, each on several replicas.
	maxReads = 8192
)

// AddReport replaces the router's previous report, adds its new reads, and returns those of the reads that were not
// known before.
func (a *Aggregator) AddReport(router string, work Workload, reads []PrefixRead, now time.Time) (fresh []PrefixRead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.routers == nil {
		a.routers = map[string]*routerReport{}
	}
	a.routers[router] = &routerReport{receivedAt: now, work: work}
	return a.addReads(reads)
}

// AddReads adds reads from routers that report to other hubs.
func (a *Aggregator) AddReads(reads []PrefixRead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addReads(reads)
}

// SetFleetTotal sets the total load of all routers, as sent by this hub's own hub. The part of the total that this hub
// reported itself is subtracted so that it isn't counted twice.
func (a *Aggregator) SetFleetTotal(total, reported Workload, now time.Time) {
	others := total.minus(reported)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remote, a.remoteAt = others, now
}

func (a *Aggregator) addReads(reads []PrefixRead) (fresh []PrefixRead) {
	for _, r := range reads {
		if a.addRead(r) {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

func (a *Aggregator) addRead(r PrefixRead) (fresh bool) {
	if len(r.Parts) == 0 {
		return false
	}
	key := keyOf(r)
	if a.seenReads[key] {
		return false
	}
	if a.seenReads == nil {
		a.seenReads = map[partKey]bool{}
	}
	a.seenReads[key] = true
	a.reads = append(a.reads, r)
	if len(a.reads) > maxReads {
		dropped := len(a.reads) / 2
		for _, old := range a.reads[:dropped] {
			delete(a.seenReads, keyOf(old))
		}
		a.reads = append([]PrefixRead(nil), a.reads[dropped:]...)
		a.firstRead += int64(dropped)
	}
	return true
}

func keyOf(r PrefixRead) partKey {
	return partKey{endpoint: r.Endpoint, part: r.Parts[len(r.Parts)-1].ID}
}

// ReadsSince returns the reads from the given sequence number on, and the number to continue from.
func (a *Aggregator) ReadsSince(number int64) (reads []PrefixRead, next int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next = a.firstRead + int64(len(a.reads))
	if number < a.firstRead {
		number = a.firstRead
	}
	if number >= next {
		return nil, next
	}
	return append([]PrefixRead(nil), a.reads[number-a.firstRead:]...), next
}

// Totals returns the sum of all current reports, per endpoint and per priority rank of a service, and the number
// of routers that report to this hub.
func (a *Aggregator) Totals(now time.Time) (work Workload, routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum, routers := a.sum(now)
	if now.Sub(a.remoteAt) <= ReportTTL {
		sum.add(a.remote)
	}
	return sum.work, routers
}

// LocalTotals returns the sum of the current reports of the routers that report to this hub, including this router,
// and their number.
func (a *Aggregator) LocalTotals(now time.Time) (work Workload, routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum, routers := a.sum(now)
	return sum.work, routers
}

// HasReport returns whether the hub has a current report of the router.
func (a *Aggregator) HasReport(router string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.routers[router]
	return r != nil && now.Sub(r.receivedAt) <= ReportTTL
}

func (a *Aggregator) sum(now time.Time) (sum accumulator, routers int) {
	// Floating-point sums depend on the order of addition, so the reports are added in a fixed order: otherwise the
	// same reports would not always give the same totals.
	for _, name := range slices.Sorted(maps.Keys(a.routers)) {
		r := a.routers[name]
		if now.Sub(r.receivedAt) > ReportTTL {
			delete(a.routers, name)
			continue
		}
		routers++
		sum.add(r.work)
	}
	return sum, routers
}

// accumulator sums up loads and demands; the maps hold the index of each endpoint and each rank in the sum.
type accumulator struct {
	work        Workload
	loadIndex   map[uint32]int
	demandIndex map[rankKey]int
}

type rankKey struct {
	service uint32
	rank    int
}

func (t *accumulator) add(w Workload) {
	if t.loadIndex == nil {
		t.loadIndex, t.demandIndex = map[uint32]int{}, map[rankKey]int{}
	}
	for _, l := range w.Loads {
		i, ok := t.loadIndex[l.Endpoint]
		if !ok {
			i = len(t.work.Loads)
			t.loadIndex[l.Endpoint] = i
			t.work.Loads = append(t.work.Loads, Load{Endpoint: l.Endpoint})
		}
		t.work.Loads[i].add(l)
	}
	for _, d := range w.Demands {
		key := rankKey{service: d.Service, rank: d.Rank}
		i, ok := t.demandIndex[key]
		if !ok {
			i = len(t.work.Demands)
			t.demandIndex[key] = i
			t.work.Demands = append(t.work.Demands, Demand{Service: d.Service, Rank: d.Rank})
		}
		t.work.Demands[i].Came += d.Came
		t.work.Demands[i].Running += d.Running
	}
}

func (l *Load) add(other Load) {
	l.Running += other.Running
	l.PendingPromptTokens += other.PendingPromptTokens
	l.Failures += other.Failures
	l.Attempts += other.Attempts
	l.Untracked = max(l.Untracked, other.Untracked)
}

// minus subtracts a part of the load. The part may be newer than the whole, so no difference goes below zero.
// Untracked is not subtracted: it is reported by the endpoint itself and is the same for all routers.
func (w Workload) minus(part Workload) (difference Workload) {
	partLoads := map[uint32]Load{}
	for _, l := range part.Loads {
		partLoads[l.Endpoint] = l
	}
	for _, l := range w.Loads {
		subtrahend := partLoads[l.Endpoint]
		difference.Loads = append(difference.Loads, Load{
			Endpoint: l.Endpoint, Running: max(l.Running-subtrahend.Running, 0), PendingPromptTokens: max(l.PendingPromptTokens-subtrahend.PendingPromptTokens, 0),
			Failures: max(l.Failures-subtrahend.Failures, 0), Attempts: max(l.Attempts-subtrahend.Attempts, 0), Untracked: l.Untracked,
		})
	}
	partDemands := map[rankKey]Demand{}
	for _, d := range part.Demands {
		partDemands[rankKey{service: d.Service, rank: d.Rank}] = d
	}
	for _, d := range w.Demands {
		subtrahend := partDemands[rankKey{service: d.Service, rank: d.Rank}]
		difference.Demands = append(difference.Demands, Demand{
			Service: d.Service, Rank: d.Rank, Came: max(d.Came-subtrahend.Came, 0), Running: max(d.Running-subtrahend.Running, 0),
		})
	}
	return difference
}
