package drainloss_test

import (
	"testing"
	"testing/synctest"
	"time"

	"savoryfall/core/members"
	"savoryfall/io/hub/hubtest"
)

// Guards against a drain that is lost together with the hubs that were about to pass it on.
func TestDrainDuringHubLoss(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				defer f.Stop()
				ordered := f.OrderDrain(hubtest.EvacuateA, true)
				time.Sleep(20 * time.Millisecond)
				f.Kill(silent, func(m members.Member) bool { return m.Bears > 100 })
				time.Sleep(hubtest.PropagationBound)
				f.AssertDrained(ordered, hubtest.PropagationBound, "domain0")
			})
		}
	}
}

// Guards against routers that start during a drain and do not learn of it, even if compaction has left only its
// record.
func TestDrainIsKnownAfterRestart(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			f.OrderDrain(hubtest.EvacuateB, true)
			f.OrderDrain(hubtest.EvacuateB, false)
			f.OrderDrain(hubtest.EvacuateA, true)
			time.Sleep(time.Second)
			f.Store().Compact()
			dead := f.Kill(true, func(members.Member) bool { return true })
			again := time.Now()
			for _, m := range dead {
				f.Net().Restore(m.Address)
				f.Start(m, false)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			f.AssertDrained(again, hubtest.DrainBound, "domain0")
		})
	}
}
