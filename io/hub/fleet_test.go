package hub_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
)

// Guards against needless calls to the store on the first start of a fleet of 300 routers. Each router used to add
// itself, read the list and both topics, some more than once; two calls each are enough. Changes must reach all
// routers, and no hub may have more followers than its VM can serve.
func TestFirstFleetStartTakesTwoCallsPerRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.stop()
		calls := f.store.takeCalls()
		assert.Assert(t, calls <= 2*300+60, "%d calls", calls)
		roots, levels, mostFollowers := f.topology()
		assert.Equal(t, roots, 1)
		assert.Equal(t, levels, 2)
		assert.Assert(t, mostFollowers <= 64, "%d follow one", mostFollowers)
		for _, r := range f.routers {
			assert.Equal(t, r.work.running(), 300, r.self.Name)
		}
		f.assertKnown("1", endpointCount, 2*time.Second)
		f.store.takeCalls()
		f.store.put(configurationTopic, "config", "2")
		f.putEndpoint(0, true)
		time.Sleep(2 * time.Second)
		f.assertKnown("2", endpointCount-1, 2*time.Second)
		f.assertNotFresherThanStore()
		calls = f.store.takeCalls()
		assert.Assert(t, calls <= 20, "%d calls", calls)
	})
}

// The store is unavailable for ten seconds. Every router used to poll both topics by itself; now a few routers try on
// behalf of each hub that cannot read. All routers must be up to date within two seconds of its return.
func TestOutageCallsComeFromFewRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.stop()
		f.store.takeCalls()
		f.store.refuse(func(string) bool { return true })
		time.Sleep(10 * time.Second)
		calls := f.store.takeCalls()
		assert.Assert(t, calls <= 300, "%d calls", calls)
		f.store.refuse(nil)
		f.store.put(configurationTopic, "config", "2")
		time.Sleep(2 * time.Second)
		f.assertKnown("2", endpointCount, 2*time.Second)
		f.assertNotFresherThanStore()
	})
}

// After the store compacts its history, only the routers that read the store may read the newest records again.
func TestCompactionIsReadByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		f.store.takeCalls()
		for range 3 {
			f.store.compact()
			f.putEndpoint(1, true)
			time.Sleep(time.Second)
		}
		f.assertKnown("1", endpointCount-1, 2*time.Second)
		calls := f.store.takeCalls()
		assert.Assert(t, calls <= 40, "%d calls", calls)
	})
}

// The store refuses the root and two thirds of the other routers. One that it serves must read for all, so that a
// change is in force everywhere while the root still cannot read.
func TestRefusedHubLearnsFromAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		f.store.takeCalls()
		f.refuseMost()
		time.Sleep(4 * time.Second)
		f.store.put(configurationTopic, "config", "2")
		f.putEndpoint(0, true)
		time.Sleep(4 * time.Second)
		f.assertKnown("2", endpointCount-1, 3*time.Second)
		f.assertNotFresherThanStore()
		roots, _, _ := f.topology()
		assert.Equal(t, roots, 1)
		calls := f.store.takeCalls()
		assert.Assert(t, calls <= 300, "%d calls", calls)
	})
}

// All large VMs, and with them all hubs, are lost at once; then a configuration is written and an endpoint leaves.
// The small VMs must take over within the propagation bound, none with more followers than it can serve, and with few
// calls to the store.
func TestAllHubsLostAtOnce(t *testing.T) {
	for n, silent := range map[int]bool{300: true, 120: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.store.takeCalls()
			f.kill(silent, func(m members.Member) bool { return m.Bears > 100 })
			f.store.put(configurationTopic, "config", "2")
			f.putEndpoint(0, true)
			time.Sleep(propagationBound)
			f.assertKnown("2", endpointCount-1, propagationBound)
			time.Sleep(3 * time.Second)
			roots, levels, mostFollowers := f.topology()
			assert.Equal(t, roots, 1)
			assert.Assert(t, levels <= 3)
			assert.Assert(t, mostFollowers <= 52, "%d follow one", mostFollowers)
			calls := f.store.takeCalls()
			assert.Assert(t, calls <= 250, "%d calls, silent %v", calls, silent)
		})
	}
}

// All routers are killed at once and restart within 0.3 s, as after a power cut. They must find each other through
// the list in the store, and know everything within a second.
func TestAllRoutersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.stop()
		dead := f.kill(true, func(members.Member) bool { return true })
		f.store.takeCalls()
		for _, m := range dead {
			f.net.restore(m.Address)
			f.start(m, false)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		f.assertKnown("1", endpointCount, 1500*time.Millisecond)
		time.Sleep(2 * time.Second)
		roots, levels, mostFollowers := f.topology()
		assert.Equal(t, roots, 1)
		assert.Assert(t, levels <= 3)
		assert.Assert(t, mostFollowers <= 64, "%d follow one", mostFollowers)
		calls := f.store.takeCalls()
		assert.Assert(t, calls <= 3*300+60, "%d calls", calls)
	})
}

// One failure domain is cut off from the others but can reach the store. Its routers must choose one of themselves as
// the root that reads for them. When the partition ends there are two roots, and one of them must find the other.
func TestIsolatedFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		inside := map[string]bool{}
		for _, r := range f.routers {
			if r.self.FailureDomain == "domain2" {
				inside[r.self.Address] = true
			}
		}
		f.net.isolate(inside)
		time.Sleep(propagationBound)
		f.store.takeCalls()
		f.store.put(configurationTopic, "config", "2")
		time.Sleep(propagationBound)
		f.assertKnown("2", endpointCount, propagationBound)
		calls := f.store.takeCalls()
		assert.Assert(t, calls <= 120, "%d calls", calls)
		f.net.isolate(nil)
		time.Sleep(20 * time.Second)
		roots, _, _ := f.topology()
		assert.Equal(t, roots, 1)
	})
}

// A hub freezes: its connections stay open and nothing comes from it. Its followers must leave it within a second,
// and must not use its old data when it resumes.
func TestFrozenHubIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		var frozenAddress string
		for _, r := range f.routers {
			if r.agent.HubName() == r.self.Name {
				frozenAddress = r.self.Address
			}
		}
		f.net.freeze(frozenAddress)
		f.putEndpoint(0, true)
		time.Sleep(2500 * time.Millisecond)
		for _, r := range f.routers {
			if r.self.Address != frozenAddress {
				assert.Equal(t, r.usable(), endpointCount-1, r.self.Name)
			}
		}
		f.net.unfreeze(frozenAddress)
		time.Sleep(20 * time.Second)
		f.assertKnown("1", endpointCount-1, 2*time.Second)
		n, _, _ := f.topology()
		assert.Equal(t, n, 1)
	})
}
