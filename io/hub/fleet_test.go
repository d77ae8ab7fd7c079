package hub_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
)

// In a fleet of 300 that starts for the first time each router listed itself, read the list and both topics, and some more than
// once. Now two calls each do, what changes reaches all, and no hub serves more than its VM bears.
func TestFleetStartsWithTwoCallsEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.stop()
		calls := f.store.called()
		assert.Assert(t, calls <= 2*300+60, "%d calls", calls)
		first, levels, most := f.shape()
		assert.Equal(t, first, 1)
		assert.Equal(t, levels, 2)
		assert.Assert(t, most <= 64, "%d follow one", most)
		for _, r := range f.routers {
			assert.Equal(t, r.work.running(), 300, r.self.Name)
		}
		f.known("1", listed, 2*time.Second)
		f.store.called()
		f.store.put(configurationTopic, "config", "2")
		f.list(0, true)
		time.Sleep(2 * time.Second)
		f.known("2", listed-1, 2*time.Second)
		f.noneFresher()
		calls = f.store.called()
		assert.Assert(t, calls <= 20, "%d calls", calls)
	})
}

// The store is away for ten seconds. Every router tried both topics by itself; what a hub cannot read a few try for all, and
// everything is known within two seconds of its return.
func TestOutageCostsWhatItCostsTheHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.stop()
		f.store.called()
		f.store.refuse(func(string) bool { return true })
		time.Sleep(10 * time.Second)
		calls := f.store.called()
		assert.Assert(t, calls <= 300, "%d calls", calls)
		f.store.refuse(nil)
		f.store.put(configurationTopic, "config", "2")
		time.Sleep(2 * time.Second)
		f.known("2", listed, 2*time.Second)
		f.noneFresher()
	})
}

// The store forgets its history. Only who reads has to read the newest values anew.
func TestCompactionIsReadByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		f.store.called()
		for range 3 {
			f.store.forget()
			f.list(1, true)
			time.Sleep(time.Second)
		}
		f.known("1", listed-1, 2*time.Second)
		calls := f.store.called()
		assert.Assert(t, calls <= 40, "%d calls", calls)
	})
}

// The store turns the first hub away and two thirds of all others, and serves the rest: one of these reads for all, and what it
// reads is in force everywhere while the first still cannot read.
func TestTurnedAwayHubIsToldByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		f.store.called()
		f.turnMostAway()
		time.Sleep(4 * time.Second)
		f.store.put(configurationTopic, "config", "2")
		f.list(0, true)
		time.Sleep(4 * time.Second)
		f.known("2", listed-1, 3*time.Second)
		f.noneFresher()
		first, _, _ := f.shape()
		assert.Equal(t, first, 1)
		calls := f.store.called()
		assert.Assert(t, calls <= 300, "%d calls", calls)
	})
}

// All large VMs lose power at once, and with them every hub, and then a configuration is written and an endpoint leaves. The small
// ones take over within the bound, none with more followers than it bears, and the store hardly notices.
func TestAllHubsLostAtOnce(t *testing.T) {
	for n, silent := range map[int]bool{300: true, 120: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.store.called()
			f.kill(silent, func(m members.Member) bool { return m.Bears > 100 })
			f.store.put(configurationTopic, "config", "2")
			f.list(0, true)
			time.Sleep(bound)
			f.known("2", listed-1, bound)
			time.Sleep(3 * time.Second)
			first, levels, most := f.shape()
			assert.Equal(t, first, 1)
			assert.Assert(t, levels <= 3)
			assert.Assert(t, most <= 52, "%d follow one", most)
			calls := f.store.called()
			assert.Assert(t, calls <= 250, "%d calls, silent %v", calls, silent)
		})
	}
}

// All routers are killed at once and start again within 0.3 s, as they are after a power cut. They find each other by the list at
// the store and know everything within a second.
func TestAllStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.stop()
		dead := f.kill(true, func(members.Member) bool { return true })
		f.store.called()
		for _, m := range dead {
			f.net.mend(m.Address)
			f.start(m, false)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		f.known("1", listed, 1500*time.Millisecond)
		time.Sleep(2 * time.Second)
		first, levels, most := f.shape()
		assert.Equal(t, first, 1)
		assert.Assert(t, levels <= 3)
		assert.Assert(t, most <= 64, "%d follow one", most)
		calls := f.store.called()
		assert.Assert(t, calls <= 3*300+60, "%d calls", calls)
	})
}

// One failure domain is cut off from the others but reaches the store. Its routers find a hub among themselves that reads for
// them. When the cut ends there are two that follow nobody, and one of them finds that out.
func TestDomainCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		inside := map[string]bool{}
		for _, r := range f.routers {
			if r.self.FailureDomain == "domain2" {
				inside[r.self.Address] = true
			}
		}
		f.net.part(inside)
		time.Sleep(bound)
		f.store.called()
		f.store.put(configurationTopic, "config", "2")
		time.Sleep(bound)
		f.known("2", listed, bound)
		calls := f.store.called()
		assert.Assert(t, calls <= 120, "%d calls", calls)
		f.net.part(nil)
		time.Sleep(20 * time.Second)
		first, _, _ := f.shape()
		assert.Equal(t, first, 1)
	})
}

// A hub freezes: connections to it stay, and nothing comes. Its followers do without it within a second, and nothing it knew
// before counts when it wakes.
func TestFrozenHubIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.stop()
		var first string
		for _, r := range f.routers {
			if r.agent.Follows() == r.self.Name {
				first = r.self.Address
			}
		}
		f.net.freeze(first)
		f.list(0, true)
		time.Sleep(2500 * time.Millisecond)
		for _, r := range f.routers {
			if r.self.Address != first {
				assert.Equal(t, r.usable(), listed-1, r.self.Name)
			}
		}
		f.net.thaw(first)
		time.Sleep(20 * time.Second)
		f.known("1", listed-1, 2*time.Second)
		n, _, _ := f.shape()
		assert.Equal(t, n, 1)
	})
}
