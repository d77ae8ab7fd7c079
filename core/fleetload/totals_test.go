package fleetload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetload"
)

// A router that receives only the changes ends up with the same loads as one that receives the full totals,
// including those of endpoints that have become idle in between.
func TestDeltasMatchFullTotals(t *testing.T) {
	var l fleetload.VersionedTotals
	var received fleetload.Workload
	var number int64
	for round := range 20 {
		b := &fleetload.Aggregator{}
		var w fleetload.Workload
		for e := range 30 {
			if (e+round)%3 > 0 {
				w.Loads = append(w.Loads, fleetload.Load{Endpoint: uint32(e), Running: 1 + e*round%5, Attempts: float32(e) / 7})
			}
		}
		b.AddReport("vm", w, nil, start)
		total, _ := b.Totals(start)
		l.Update(total, start)
		var changed fleetload.Workload
		since := number
		changed, number = l.Since(number)
		received = received.ApplyDelta(changed, since == 0)
		full, _ := l.Since(0)
		assert.Equal(t, len(received.Loads), len(full.Loads))
		want := map[uint32]fleetload.Load{}
		for _, load := range full.Loads {
			want[load.Endpoint] = load
		}
		for _, load := range received.Loads {
			assert.Equal(t, load, want[load.Endpoint])
		}
	}
}

// Decaying counts are off by at most 1/16, and decay alone seldom changes a load.
func TestDecayRarelyCausesChanges(t *testing.T) {
	var l fleetload.VersionedTotals
	changes, v := 0, float32(10)
	var number int64
	for range 100 {
		l.Update(fleetload.Workload{Loads: []fleetload.Load{{Endpoint: 1, Running: 1, Attempts: v}}}, start)
		var w fleetload.Workload
		w, number = l.Since(number)
		changes += len(w.Loads)
		full, _ := l.Since(0)
		assert.Assert(t, full.Loads[0].Attempts >= v*15/16 && full.Loads[0].Attempts <= v*17/16, "%v of %v", full.Loads[0].Attempts, v)
		v *= 0.99
	}
	assert.Assert(t, changes < 20, "%d", changes)
}

// Three hubs sum up the reports of their routers and get the total of the fleet from the first hub. Each must know
// the load of all routers and count none of them twice.
func TestHubLevelsCountEachRouterOnce(t *testing.T) {
	first := &fleetload.Aggregator{}
	hubs := []*fleetload.Aggregator{{}, {}, {}}
	for i, h := range hubs {
		h.AddReport("a", fleetload.Workload{Loads: []fleetload.Load{{Endpoint: 1, Running: 1 + i}}, Demands: []fleetload.Demand{{Service: 1, Running: 1}}}, nil, start)
		h.AddReport("b", fleetload.Workload{Loads: []fleetload.Load{{Endpoint: 1, Running: 10}, {Endpoint: uint32(2 + i), Running: 1}}}, nil, start)
	}
	for round := range 2 {
		for i, h := range hubs {
			reported, _ := h.LocalTotals(start)
			first.AddReport(string(rune('x'+i)), reported, nil, start)
			total, _ := first.Totals(start)
			h.SetFleetTotal(total, reported, start)
		}
		if round == 0 {
			continue
		}
		for _, h := range hubs {
			total, routers := h.Totals(start)
			assert.Equal(t, routers, 2)
			assert.Equal(t, running(total, 1), 36)
			assert.Equal(t, running(total, 4), 1)
			assert.Equal(t, total.Demands[0].Running, 3)
		}
	}
	// A total older than ReportTTL does not count.
	total, _ := hubs[0].Totals(start.Add(fleetload.ReportTTL + time.Millisecond))
	assert.Equal(t, len(total.Loads), 0)
}

func running(w fleetload.Workload, endpoint uint32) int {
	for _, l := range w.Loads {
		if l.Endpoint == endpoint {
			return l.Running
		}
	}
	return 0
}
