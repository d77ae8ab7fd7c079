package drain_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// Guards against routers that keep using a drained failure domain, or keep avoiding it after the drain.
func TestDrainReachesAllRouters(t *testing.T) {
	t.Parallel()
	for n, times := range map[int]int{100: 3, 300: 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			f.Store().TakeCalls()
			for range times {
				ordered := f.OrderDrain(hubtest.EvacuateA, true)
				time.Sleep(hubtest.DrainBound)
				f.AssertDrained(ordered, hubtest.DrainBound, "domain0")
				ordered = f.OrderDrain(hubtest.EvacuateA, false)
				time.Sleep(hubtest.DrainBound)
				f.AssertDrained(ordered, hubtest.DrainBound)
			}
			calls := f.Store().TakeCalls()
			assert.Assert(t, calls <= 300, "%d calls", calls)
			f.AssertKnown("1", hubtest.EndpointCount, 2*time.Second)
		})
	}
}

// Guards against records that cannot be decoded starting or ending a drain.
func TestUnreadableDrain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100)
		defer f.Stop()
		ordered := f.OrderDrain(hubtest.EvacuateA, true)
		time.Sleep(hubtest.DrainBound)
		f.Store().Put(fakestore.ConfigurationTopic, hubtest.EvacuateA, "\xff")
		f.Store().Put(fakestore.ConfigurationTopic, hubtest.EvacuateB, "[")
		f.Store().Put(fakestore.ConfigurationTopic, "evacuate/", "{}")
		time.Sleep(hubtest.DrainBound)
		f.AssertDrained(ordered, hubtest.DrainBound, "domain0")
		f.AssertKnown("1", hubtest.EndpointCount, 2*time.Second)
	})
}
