package board

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryfall/core/prompt"
)

// Load is what one router, or all together, have going on at an endpoint.
type Load struct {
	// Endpoint is the hash of the endpoint's id.
	Endpoint uint32
	// Running are requests, Unread the prompt tokens of those that have not begun to be answered.
	Running int
	Unread  int
	// Bad and All count failures and attempts, faded with time.
	Bad float32
	All float32
	// Hidden are requests that the endpoint said it had beyond those that the routers count: some endpoints work on
	// for clients that have left. Of several routers' words the highest counts.
	Hidden float32
}

// Demand is what one router, or all together, were asked of a service at one rank of urgency.
type Demand struct {
	// Service is the hash of the service's name.
	Service uint32
	Rank    int
	// Came counts the requests, faded with time; Running are those that hold a place.
	Came    float32
	Running int
}

// Work is what one router, or all together, have going on.
type Work struct {
	Loads   []Load
	Demands []Demand
}

// Read says that an endpoint has read the shared parts of a prompt, and so holds them.
type Read struct {
	Endpoint uint32
	Parts    prompt.Chain
}

// Board collects reports; the zero value is empty.
type Board struct {
	mu      sync.Mutex
	routers map[string]*report
	reads   []Read
	first   int64
	seen    map[readKey]bool
	// elsewhere is the work of the routers that report to other hubs, as the hub of this one told at a time.
	elsewhere   Work
	elsewhereAt time.Time
}

type report struct {
	at   time.Time
	work Work
}

// readKey is an endpoint and the last shared part that it read.
type readKey struct {
	endpoint uint32
	part     uint64
}

const (
	// ReportAge is for how long a report counts: several reports may be lost before a router is taken as gone.
	ReportAge = 2 * time.Second
	// keptReads bounds the reads that are kept for routers that have not heard them: 1,500 shared prompts on some
	// copies each.
	keptReads = 8192
)

// Take replaces what the router said before, adds what it has placed since, and returns what of that was not known.
func (b *Board) Take(router string, work Work, reads []Read, now time.Time) (fresh []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routers == nil {
		b.routers = map[string]*report{}
	}
	b.routers[router] = &report{at: now, work: work}
	return b.note(reads)
}

// Hear adds what routers that report to other hubs have placed.
func (b *Board) Hear(reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(reads)
}

// HearTotal takes the work of all routers as the hub of this one told it, of which reported was told by this one.
func (b *Board) HearTotal(total, reported Work, now time.Time) {
	rest := total.less(reported)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.elsewhere, b.elsewhereAt = rest, now
}

func (b *Board) note(reads []Read) (fresh []Read) {
	for _, r := range reads {
		if b.noteOne(r) {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

func (b *Board) noteOne(r Read) (fresh bool) {
	if len(r.Parts) == 0 {
		return false
	}
	k := key(r)
	if b.seen[k] {
		return false
	}
	if b.seen == nil {
		b.seen = map[readKey]bool{}
	}
	b.seen[k] = true
	b.reads = append(b.reads, r)
	if len(b.reads) > keptReads {
		drop := len(b.reads) / 2
		for _, old := range b.reads[:drop] {
			delete(b.seen, key(old))
		}
		b.reads = append([]Read(nil), b.reads[drop:]...)
		b.first += int64(drop)
	}
	return true
}

func key(r Read) readKey { return readKey{endpoint: r.Endpoint, part: r.Parts[len(r.Parts)-1].ID} }

// ReadsSince are the reads from a number on, and the number to go on from.
func (b *Board) ReadsSince(n int64) (reads []Read, next int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next = b.first + int64(len(b.reads))
	if n < b.first {
		n = b.first
	}
	if n >= next {
		return nil, next
	}
	return append([]Read(nil), b.reads[n-b.first:]...), next
}

// Totals adds up what all routers said lately, by endpoint and by rank of a service, and counts those that report here.
func (b *Board) Totals(now time.Time) (work Work, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, routers := b.sum(now)
	if now.Sub(b.elsewhereAt) <= ReportAge {
		sum.add(b.elsewhere)
	}
	return sum.work, routers
}

// Reported adds up what the routers that report here said lately, this one among them, and counts them.
func (b *Board) Reported(now time.Time) (work Work, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, routers := b.sum(now)
	return sum.work, routers
}

// Reporting tells whether the router has reported here lately.
func (b *Board) Reporting(router string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.routers[router]
	return r != nil && now.Sub(r.at) <= ReportAge
}

func (b *Board) sum(now time.Time) (sum totals, routers int) {
	// Added up in the order of the map, the same reports would not always give the same totals.
	for _, name := range slices.Sorted(maps.Keys(b.routers)) {
		r := b.routers[name]
		if now.Sub(r.at) > ReportAge {
			delete(b.routers, name)
			continue
		}
		routers++
		sum.add(r.work)
	}
	return sum, routers
}

// totals adds up; the maps hold where in the work an endpoint or a rank stands.
type totals struct {
	work  Work
	loads map[uint32]int
	ranks map[rankKey]int
}

type rankKey struct {
	service uint32
	rank    int
}

func (t *totals) add(w Work) {
	if t.loads == nil {
		t.loads, t.ranks = map[uint32]int{}, map[rankKey]int{}
	}
	for _, l := range w.Loads {
		i, ok := t.loads[l.Endpoint]
		if !ok {
			i = len(t.work.Loads)
			t.loads[l.Endpoint] = i
			t.work.Loads = append(t.work.Loads, Load{Endpoint: l.Endpoint})
		}
		t.work.Loads[i].add(l)
	}
	for _, d := range w.Demands {
		k := rankKey{service: d.Service, rank: d.Rank}
		i, ok := t.ranks[k]
		if !ok {
			i = len(t.work.Demands)
			t.ranks[k] = i
			t.work.Demands = append(t.work.Demands, Demand{Service: d.Service, Rank: d.Rank})
		}
		t.work.Demands[i].Came += d.Came
		t.work.Demands[i].Running += d.Running
	}
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Unread += o.Unread
	l.Bad += o.Bad
	l.All += o.All
	l.Hidden = max(l.Hidden, o.Hidden)
}

// less is the work without a part of it. What is left is never below zero: the part may be newer than the whole. What an
// endpoint says of itself is the same for all.
func (w Work) less(part Work) (rest Work) {
	loads := map[uint32]Load{}
	for _, l := range part.Loads {
		loads[l.Endpoint] = l
	}
	for _, l := range w.Loads {
		p := loads[l.Endpoint]
		rest.Loads = append(rest.Loads, Load{
			Endpoint: l.Endpoint, Running: max(l.Running-p.Running, 0), Unread: max(l.Unread-p.Unread, 0),
			Bad: max(l.Bad-p.Bad, 0), All: max(l.All-p.All, 0), Hidden: l.Hidden,
		})
	}
	ranks := map[rankKey]Demand{}
	for _, d := range part.Demands {
		ranks[rankKey{service: d.Service, rank: d.Rank}] = d
	}
	for _, d := range w.Demands {
		p := ranks[rankKey{service: d.Service, rank: d.Rank}]
		rest.Demands = append(rest.Demands, Demand{
			Service: d.Service, Rank: d.Rank, Came: max(d.Came-p.Came, 0), Running: max(d.Running-p.Running, 0),
		})
	}
	return rest
}
