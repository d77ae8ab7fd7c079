package hub_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
)

const (
	evacuateA = "evacuate/domain0"
	evacuateB = "evacuate/domain1"
	// drainBound is the time within which a drain is in force everywhere when nothing else happens.
	drainBound = 1500 * time.Millisecond
)

// orderDrain writes or removes the record that drains a failure domain.
func (f *fleet) orderDrain(key string, drained bool) (at time.Time) {
	value := ""
	if drained {
		value = "{}"
	}
	f.store.put(configurationTopic, key, value)
	return time.Now()
}

// assertDrained checks that every router has drained exactly these failure domains, within the given time of the
// order.
func (f *fleet) assertDrained(ordered time.Time, within time.Duration, domains ...string) {
	f.t.Helper()
	for _, r := range f.routers {
		got, since := r.drainedDomains()
		assert.DeepEqual(f.t, append([]string{}, got...), append([]string{}, domains...))
		assert.Assert(f.t, since.Sub(ordered) <= within, "%s after %v", r.self.Name, since.Sub(ordered))
	}
}

// Guards against routers that keep using a drained failure domain, or keep avoiding it after the drain.
func TestDrainReachesAllRouters(t *testing.T) {
	t.Parallel()
	for n, times := range map[int]int{100: 3, 300: 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.store.takeCalls()
			for range times {
				ordered := f.orderDrain(evacuateA, true)
				time.Sleep(drainBound)
				f.assertDrained(ordered, drainBound, "domain0")
				ordered = f.orderDrain(evacuateA, false)
				time.Sleep(drainBound)
				f.assertDrained(ordered, drainBound)
			}
			calls := f.store.takeCalls()
			assert.Assert(t, calls <= 300, "%d calls", calls)
			f.assertKnown("1", endpointCount, 2*time.Second)
		})
	}
}

// Guards against a drain that is lost together with the hubs that were about to pass it on.
func TestDrainDuringHubLoss(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				defer f.stop()
				ordered := f.orderDrain(evacuateA, true)
				time.Sleep(20 * time.Millisecond)
				f.kill(silent, func(m members.Member) bool { return m.Bears > 100 })
				time.Sleep(propagationBound)
				f.assertDrained(ordered, propagationBound, "domain0")
			})
		}
	}
}

// Guards against a drain that reaches only the routers that the store serves.
func TestDrainWhileStoreRefusesSomeRouters(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.refuseMost()
			time.Sleep(4 * time.Second)
			ordered := f.orderDrain(evacuateA, true)
			time.Sleep(propagationBound)
			f.assertDrained(ordered, propagationBound, "domain0")
		})
	}
}

// Guards against routers that start during a drain and do not learn of it, even if compaction has left only its
// record.
func TestDrainIsKnownAfterRestart(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.orderDrain(evacuateB, true)
			f.orderDrain(evacuateB, false)
			f.orderDrain(evacuateA, true)
			time.Sleep(time.Second)
			f.store.compact()
			dead := f.kill(true, func(members.Member) bool { return true })
			again := time.Now()
			for _, m := range dead {
				f.net.restore(m.Address)
				f.start(m, false)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			f.assertDrained(again, drainBound, "domain0")
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
			defer f.stop()
			f.orderDrain(evacuateA, true)
			time.Sleep(drainBound)
			f.store.refuse(func(string) bool { return true })
			time.Sleep(2 * time.Second)
			f.orderDrain(evacuateA, false)
			f.orderDrain(evacuateB, true)
			f.orderDrain(evacuateB, true)
			f.store.put(configurationTopic, "config", "2")
			f.store.compact()
			f.store.refuse(nil)
			back := time.Now()
			time.Sleep(2 * time.Second)
			f.assertDrained(back, 2*time.Second, "domain1")
			f.assertKnown("2", endpointCount, 2*time.Second)
		})
	}
}

// Guards against records that cannot be decoded starting or ending a drain.
func TestUnreadableDrain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100)
		defer f.stop()
		ordered := f.orderDrain(evacuateA, true)
		time.Sleep(drainBound)
		f.store.put(configurationTopic, evacuateA, "\xff")
		f.store.put(configurationTopic, evacuateB, "[")
		f.store.put(configurationTopic, "evacuate/", "{}")
		time.Sleep(drainBound)
		f.assertDrained(ordered, drainBound, "domain0")
		f.assertKnown("1", endpointCount, 2*time.Second)
	})
}
