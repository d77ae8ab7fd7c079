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
	// soon is within what time a drain is in force everywhere while nothing else goes on.
	soon = 1500 * time.Millisecond
)

// drain orders that a domain is drained, or that this is over.
func (f *fleet) drain(key string, drained bool) (at time.Time) {
	value := ""
	if drained {
		value = "{}"
	}
	f.store.put(configurationTopic, key, value)
	return time.Now()
}

// drained checks that every router has drained just these domains, and had so within some time of the order.
func (f *fleet) drained(ordered time.Time, within time.Duration, domains ...string) {
	f.t.Helper()
	for _, r := range f.routers {
		got, since := r.drains()
		assert.DeepEqual(f.t, append([]string{}, got...), append([]string{}, domains...))
		assert.Assert(f.t, since.Sub(ordered) <= within, "%s after %v", r.self.Name, since.Sub(ordered))
	}
}

// Guards against routers that go on with a domain that was drained, or stay away from it when that is over.
func TestDrainReachesAll(t *testing.T) {
	t.Parallel()
	for n, times := range map[int]int{100: 3, 300: 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.store.called()
			for range times {
				ordered := f.drain(evacuateA, true)
				time.Sleep(soon)
				f.drained(ordered, soon, "domain0")
				ordered = f.drain(evacuateA, false)
				time.Sleep(soon)
				f.drained(ordered, soon)
			}
			calls := f.store.called()
			assert.Assert(t, calls <= 300, "%d calls", calls)
			f.known("1", listed, 2*time.Second)
		})
	}
}

// Guards against a drain that is lost with the hubs that were about to tell of it.
func TestDrainWhileHubsAreLost(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				defer f.stop()
				ordered := f.drain(evacuateA, true)
				time.Sleep(20 * time.Millisecond)
				f.kill(silent, func(m members.Member) bool { return m.Bears > 100 })
				time.Sleep(bound)
				f.drained(ordered, bound, "domain0")
			})
		}
	}
}

// Guards against a drain that only those know of whom the store serves.
func TestDrainWhileTheStoreTurnsSomeAway(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.turnMostAway()
			time.Sleep(4 * time.Second)
			ordered := f.drain(evacuateA, true)
			time.Sleep(bound)
			f.drained(ordered, bound, "domain0")
		})
	}
}

// Guards against routers that start in the middle of a drain and do not know of it, also when its record is all that is left of
// the history.
func TestDrainIsKnownAfterAStart(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.drain(evacuateB, true)
			f.drain(evacuateB, false)
			f.drain(evacuateA, true)
			time.Sleep(time.Second)
			f.store.forget()
			dead := f.kill(true, func(members.Member) bool { return true })
			again := time.Now()
			for _, m := range dead {
				f.net.mend(m.Address)
				f.start(m, false)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			f.drained(again, soon, "domain0")
		})
	}
}

// Guards against a domain that stays drained because the record of its end was forgotten before it was read.
func TestDrainEndsUnseen(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.drain(evacuateA, true)
			time.Sleep(soon)
			f.store.refuse(func(string) bool { return true })
			time.Sleep(2 * time.Second)
			f.drain(evacuateA, false)
			f.drain(evacuateB, true)
			f.drain(evacuateB, true)
			f.store.put(configurationTopic, "config", "2")
			f.store.forget()
			f.store.refuse(nil)
			back := time.Now()
			time.Sleep(2 * time.Second)
			f.drained(back, 2*time.Second, "domain1")
			f.known("2", listed, 2*time.Second)
		})
	}
}

// Guards against a domain that is drained or used again because of bytes that say nothing.
func TestUnreadableDrain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100)
		defer f.stop()
		ordered := f.drain(evacuateA, true)
		time.Sleep(soon)
		f.store.put(configurationTopic, evacuateA, "\xff")
		f.store.put(configurationTopic, evacuateB, "[")
		f.store.put(configurationTopic, "evacuate/", "{}")
		time.Sleep(soon)
		f.drained(ordered, soon, "domain0")
		f.known("1", listed, 2*time.Second)
	})
}
