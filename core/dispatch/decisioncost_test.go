package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetload"
	"savoryfall/core/fleetstate"
)

// BenchmarkChooseUnderLoad measures a decision while other routers report loads, with overload control and without. The time between
// two decisions is that of a router with 1,000 requests a second.
func BenchmarkChooseUnderLoad(b *testing.B) {
	for _, control := range []bool{false, true} {
		for _, n := range []int{10, 100, 2500} {
			b.Run(fmt.Sprintf("control=%v/%d", control, n), func(b *testing.B) {
				d, entries := newDispatcher(n)
				d.SetOverloadControl(dispatch.OverloadControl{Always: control, ExpectedTime: control, Never: !control})
				var w fleetload.Workload
				var s fleetstate.Totals
				for i, e := range entries {
					id := uint32(xxhash.Sum64String(e.ID))
					w.Loads = append(w.Loads, fleetload.Load{Endpoint: id, Running: i % 16, PendingPromptTokens: 100 * (i % 9), Attempts: 3})
					s.Endpoints = append(s.Endpoints, fleetstate.EndpointState{Endpoint: id, Running: i % 16, Slots: 32, Slowdown: 1})
				}
				now := start
				choose := func(i int) {
					now = now.Add(time.Millisecond)
					if i%300 == 0 {
						d.SetFleetWorkload(w, fleetload.Workload{}, now)
						d.SetFleetState(s, fleetstate.Report{}, now)
					}
					a, _ := d.Choose(dispatch.Query{
						Service: models, Prompt: document(uint64(i%500), uint64(i)), LatencyTarget: time.Second, TimeLeft: 10 * time.Second,
					}, now)
					if a != nil {
						a.End(dispatch.Served, now)
					}
				}
				for i := range 600 {
					choose(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					choose(i)
				}
			})
		}
	}
}
