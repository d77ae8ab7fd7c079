package fleetload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetload"
)

var start = time.Unix(1000, 0)

// aggregatorWithReports returns an aggregator that has reports of the given number of routers, with decayed counts for
// each endpoint.
func aggregatorWithReports(routers, endpoints int) *fleetload.Aggregator {
	b := &fleetload.Aggregator{}
	for i := range routers {
		var w fleetload.Workload
		for e := range endpoints {
			decayed := 1 / float32(1+i+e)
			w.Loads = append(w.Loads, fleetload.Load{Endpoint: uint32(e), Running: 1, Failures: decayed, Attempts: 3 * decayed})
			w.Demands = append(w.Demands, fleetload.Demand{Service: 1, Rank: e, Came: decayed})
		}
		b.AddReport(fmt.Sprint("vm", i), w, nil, start)
	}
	return b
}

// The sums of failures and demands used to differ in the last digit between routers that had received the same
// reports, because map iteration changed the order of addition. No run of a fleet could then be reproduced.
func TestSameReportsGiveTheSameTotals(t *testing.T) {
	b := aggregatorWithReports(30, 5)
	want, routers := b.Totals(start)
	assert.Equal(t, routers, 30)
	for range 100 {
		got, _ := b.Totals(start)
		assert.DeepEqual(t, got, want)
	}
}

func BenchmarkTotals(b *testing.B) {
	full := aggregatorWithReports(100, 90)
	b.ReportAllocs()
	for b.Loop() {
		full.Totals(start)
	}
}
