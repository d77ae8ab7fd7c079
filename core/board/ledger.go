package board

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Ledger numbers the changes of the endpoints' total loads, so that a router is told only what has changed since it last
// heard. The zero value is empty.
type Ledger struct {
	mu      sync.Mutex
	by      map[uint32]*numberedLoad
	demands []Demand
	number  int64
	at      time.Time
}

type numberedLoad struct {
	load   Load
	number int64
}

// ledgerAge is how old the totals may be that are told: adding up the reports anew for each router that asks would cost the
// square of their number.
const ledgerAge = 40 * time.Millisecond

// Due tells whether the totals are to be taken anew.
func (l *Ledger) Due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at.IsZero() || now.Sub(l.at) >= ledgerAge
}

// Take numbers what differs from the totals before.
func (l *Ledger) Take(total Work, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[uint32]*numberedLoad{}
	}
	l.at, l.demands = now, total.Demands
	busy := make(map[uint32]bool, len(total.Loads))
	for _, load := range total.Loads {
		busy[load.Endpoint] = true
		l.put(load.rounded())
	}
	for endpoint := range l.by {
		if !busy[endpoint] {
			l.put(Load{Endpoint: endpoint})
		}
	}
}

func (l *Ledger) put(load Load) {
	old := l.by[load.Endpoint]
	if old != nil && old.load == load {
		return
	}
	l.number++
	l.by[load.Endpoint] = &numberedLoad{load: load, number: l.number}
}

// Since are the loads that changed after the number with the demands as they are, and the number to go on from. An endpoint
// that nobody has anything going on at any more is told once, with no load.
func (l *Ledger) Since(n int64) (w Work, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, old := range l.by {
		if old.number > n && (n > 0 || old.load != Load{Endpoint: old.load.Endpoint}) {
			w.Loads = append(w.Loads, old.load)
		}
	}
	slices.SortFunc(w.Loads, func(a, b Load) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	w.Demands = l.demands
	return w, l.number
}

// Merge is what a router knows after it was told what changed; whole tells that this is all there is.
func (w Work) Merge(changed Work, whole bool) (merged Work) {
	merged.Demands = changed.Demands
	if whole {
		merged.Loads = changed.Loads
		return merged
	}
	news := make(map[uint32]Load, len(changed.Loads))
	for _, l := range changed.Loads {
		news[l.Endpoint] = l
	}
	for _, l := range w.Loads {
		if _, changed := news[l.Endpoint]; !changed {
			merged.Loads = append(merged.Loads, l)
		}
	}
	for _, l := range changed.Loads {
		if l != (Load{Endpoint: l.Endpoint}) {
			merged.Loads = append(merged.Loads, l)
		}
	}
	return merged
}

// rounded leaves of the faded counts what matters, so that fading alone is not news with every report.
func (l Load) rounded() Load {
	l.Bad, l.All, l.Hidden = rounded(l.Bad), rounded(l.All), rounded(l.Hidden)
	return l
}

// keptBits are the binary digits that are kept of a faded count: it is off by a sixteenth at most.
const keptBits = 3

func rounded(v float32) float32 {
	const dropped = 23 - keptBits
	bits := math.Float32bits(v) + 1<<(dropped-1)
	return math.Float32frombits(bits &^ (1<<dropped - 1))
}
