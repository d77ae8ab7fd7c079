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
	// Running counts the requests in progress, Unread the prompt tokens of those whose response has not started
	// yet.
	Running             int
	PendingPromptTokens int
	// Failures counts failures and All counts attempts; both decay over time.
	Failures float32
	Attempts float32
	// Unaccounted counts the requests that the endpoint reports beyond those that the routers account for: some
	// endpoints keep working for clients that have disconnected. When several routers report a value, the highest
	// is used.
	Unaccounted float32
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

// partKey identifies a Read by its endpoint and the last of its shared prompt parts.
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

// Update replaces the router's previous report, adds its new reads, and returns those of the reads that were not
// known before.
func (b *Aggregator) AddReport(router string, work Workload, reads []PrefixRead, now time.Time) (fresh []PrefixRead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routers == nil {
		b.routers = map[string]*routerReport{}
	}
	b.routers[router] = &routerReport{receivedAt: now, work: work}
	return b.addReads(reads)
}

// AddReads adds reads from routers that report to other hubs.
func (b *Aggregator) AddReads(reads []PrefixRead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addReads(reads)
}

// SetFleetTotal sets the total load of all routers, as sent by this hub's own hub. The part of the total that this hub
// reported itself is subtracted so that it isn't counted twice.
func (b *Aggregator) SetFleetTotal(total, reported Workload, now time.Time) {
	others := total.minus(reported)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remote, b.remoteAt = others, now
}

func (b *Aggregator) addReads(reads []PrefixRead) (fresh []PrefixRead) {
	for _, r := range reads {
		if b.addRead(r) {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

func (b *Aggregator) addRead(r PrefixRead) (fresh bool) {
	if len(r.Parts) == 0 {
		return false
	}
	key := keyOf(r)
	if b.seenReads[key] {
		return false
	}
	if b.seenReads == nil {
		b.seenReads = map[partKey]bool{}
	}
	b.seenReads[key] = true
	b.reads = append(b.reads, r)
	if len(b.reads) > maxReads {
		dropped := len(b.reads) / 2
		for _, old := range b.reads[:dropped] {
			delete(b.seenReads, keyOf(old))
		}
		b.reads = append([]PrefixRead(nil), b.reads[dropped:]...)
		b.firstRead += int64(dropped)
	}
	return true
}

func keyOf(r PrefixRead) partKey {
	return partKey{endpoint: r.Endpoint, part: r.Parts[len(r.Parts)-1].ID}
}

// ReadsSince returns the reads from the given sequence number on, and the number to continue from.
func (b *Aggregator) ReadsSince(number int64) (reads []PrefixRead, next int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next = b.firstRead + int64(len(b.reads))
	if number < b.firstRead {
		number = b.firstRead
	}
	if number >= next {
		return nil, next
	}
	return append([]PrefixRead(nil), b.reads[number-b.firstRead:]...), next
}

// Totals returns the sum of all current reports, per endpoint and per priority rank of a service, and the number
// of routers that report to this hub.
func (b *Aggregator) Totals(now time.Time) (work Workload, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, routers := b.sum(now)
	if now.Sub(b.remoteAt) <= ReportTTL {
		sum.add(b.remote)
	}
	return sum.work, routers
}

// LocalTotals returns the sum of the current reports of the routers that report to this hub, including this router,
// and their number.
func (b *Aggregator) LocalTotals(now time.Time) (work Workload, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, routers := b.sum(now)
	return sum.work, routers
}

// HasReport returns whether the hub has a current report of the router.
func (b *Aggregator) HasReport(router string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.routers[router]
	return r != nil && now.Sub(r.receivedAt) <= ReportTTL
}

func (b *Aggregator) sum(now time.Time) (sum accumulator, routers int) {
	// Floating-point sums depend on the order of addition, so the reports are added in a fixed order: otherwise the
	// same reports would not always give the same totals.
	for _, name := range slices.Sorted(maps.Keys(b.routers)) {
		r := b.routers[name]
		if now.Sub(r.receivedAt) > ReportTTL {
			delete(b.routers, name)
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
	l.Unaccounted = max(l.Unaccounted, other.Unaccounted)
}

// minus subtracts a part of the load. The part may be newer than the whole, so no difference goes below zero.
// Hidden is not subtracted: it is reported by the endpoint itself and is the same for all routers.
func (w Workload) minus(part Workload) (difference Workload) {
	partLoads := map[uint32]Load{}
	for _, l := range part.Loads {
		partLoads[l.Endpoint] = l
	}
	for _, l := range w.Loads {
		subtrahend := partLoads[l.Endpoint]
		difference.Loads = append(difference.Loads, Load{
			Endpoint: l.Endpoint, Running: max(l.Running-subtrahend.Running, 0), PendingPromptTokens: max(l.PendingPromptTokens-subtrahend.PendingPromptTokens, 0),
			Failures: max(l.Failures-subtrahend.Failures, 0), Attempts: max(l.Attempts-subtrahend.Attempts, 0), Unaccounted: l.Unaccounted,
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
