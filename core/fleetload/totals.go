package fleetload

import (
	"math"
	"slices"
	"sync"
	"time"
)

// VersionedTotals versions the total load of each endpoint, so that a router is sent only what has changed since the
// version it has. The zero value is empty.
type VersionedTotals struct {
	mu         sync.Mutex
	byEndpoint map[uint32]*versionedLoad
	demands    []Demand
	version    int64
	updatedAt  time.Time
}

type versionedLoad struct {
	load    Load
	version int64
}

// totalsMaxAge is how old the totals that are sent may be. Summing up all reports for each router that reports would
// cost the square of the number of routers.
const totalsMaxAge = 40 * time.Millisecond

// NeedsUpdate returns whether the totals must be updated with Update.
func (v *VersionedTotals) NeedsUpdate(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.updatedAt.IsZero() || now.Sub(v.updatedAt) >= totalsMaxAge
}

// Update stores new totals and gives a new version to each load that has changed.
func (v *VersionedTotals) Update(total Workload, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byEndpoint == nil {
		v.byEndpoint = map[uint32]*versionedLoad{}
	}
	v.updatedAt, v.demands = now, total.Demands
	present := make(map[uint32]bool, len(total.Loads))
	for _, load := range total.Loads {
		present[load.Endpoint] = true
		v.put(load.rounded())
	}
	for endpoint := range v.byEndpoint {
		if !present[endpoint] {
			v.put(Load{Endpoint: endpoint})
		}
	}
}

func (v *VersionedTotals) put(load Load) {
	old := v.byEndpoint[load.Endpoint]
	if old != nil && old.load == load {
		return
	}
	v.version++
	v.byEndpoint[load.Endpoint] = &versionedLoad{load: load, version: v.version}
}

// Since returns the loads that changed after the given version, all current demands, and the current version. An
// endpoint that has become idle is included once, with a zero load.
func (v *VersionedTotals) Since(after int64) (delta Workload, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, current := range v.byEndpoint {
		if current.version > after && (after > 0 || current.load != Load{Endpoint: current.load.Endpoint}) {
			delta.Loads = append(delta.Loads, current.load)
		}
	}
	slices.SortFunc(delta.Loads, func(a, b Load) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	delta.Demands = v.demands
	return delta, v.version
}

// ApplyDelta applies the changes that a router received to the state that it had; full means that they are the complete
// state.
func (w Workload) ApplyDelta(changed Workload, full bool) (merged Workload) {
	merged.Demands = changed.Demands
	if full {
		merged.Loads = changed.Loads
		return merged
	}
	changedLoads := make(map[uint32]Load, len(changed.Loads))
	for _, l := range changed.Loads {
		changedLoads[l.Endpoint] = l
	}
	for _, l := range w.Loads {
		if _, changed := changedLoads[l.Endpoint]; !changed {
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

// rounded reduces the precision of the decaying counts, so that decay alone does not make every load a change.
func (l Load) rounded() Load {
	l.Failures, l.Attempts, l.Untracked = rounded(l.Failures), rounded(l.Attempts), rounded(l.Untracked)
	return l
}

// mantissaBits is the number of mantissa bits kept of a decaying count; the relative error is at most 1/16.
const mantissaBits = 3

func rounded(v float32) float32 {
	const droppedBits = 23 - mantissaBits
	bits := math.Float32bits(v) + 1<<(droppedBits-1)
	return math.Float32frombits(bits &^ (1<<droppedBits - 1))
}
