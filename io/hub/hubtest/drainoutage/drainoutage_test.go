package drainoutage_test

import (
	"testing"
	"testing/synctest"
	"time"

	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// Guards against a drain that reaches only the routers that the store serves.
func TestDrainWhileStoreRefusesSomeRouters(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			f.RefuseMost()
			time.Sleep(4 * time.Second)
			ordered := f.OrderDrain(hubtest.EvacuateA, true)
			time.Sleep(hubtest.PropagationBound)
			f.AssertDrained(ordered, hubtest.PropagationBound, "domain0")
		})
	}
}

// Guards against a failure domain that stays drained because the record that ends the drain was compacted away before
// it was read.
func TestDrainEndLostInCompaction(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			f.OrderDrain(hubtest.EvacuateA, true)
			time.Sleep(hubtest.DrainBound)
			f.Store().Refuse(func(string) bool { return true })
			time.Sleep(2 * time.Second)
			f.OrderDrain(hubtest.EvacuateA, false)
			f.OrderDrain(hubtest.EvacuateB, true)
			f.OrderDrain(hubtest.EvacuateB, true)
			f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
			f.Store().Compact()
			f.Store().Refuse(nil)
			back := time.Now()
			time.Sleep(2 * time.Second)
			f.AssertDrained(back, 2*time.Second, "domain1")
			f.AssertKnown("2", hubtest.EndpointCount, 2*time.Second)
		})
	}
}
