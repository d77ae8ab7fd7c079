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

// Take replaces what the router said before, and adds what it has placed since.
func (b *Board) Take(router string, work Work, reads []Read, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.routers == nil {
		b.routers, b.seen = map[string]*report{}, map[readKey]bool{}
	}
	b.routers[router] = &report{at: now, work: work}
	for _, r := range reads {
		b.note(r)
	}
}

func (b *Board) note(r Read) {
	if len(r.Parts) == 0 {
		return
	}
	k := key(r)
	if b.seen[k] {
		return
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

// Totals adds up what the routers said lately, by endpoint and by rank of a service, and counts them.
func (b *Board) Totals(now time.Time) (work Work, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum totals
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
	return sum.work, routers
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
