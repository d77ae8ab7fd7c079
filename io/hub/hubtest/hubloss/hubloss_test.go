package hubloss_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// All large VMs, and with them all hubs, are lost at once; then a configuration is written and an endpoint leaves.
// The small VMs must take over within the propagation bound, none with more followers than it can serve, and with few
// calls to the store.
func TestAllHubsLostAtOnce(t *testing.T) {
	for n, silent := range map[int]bool{300: true, 120: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			f.Store().TakeCalls()
			f.Kill(silent, func(m members.Member) bool { return m.Bears > 100 })
			f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
			f.PutEndpoint(0, true)
			time.Sleep(hubtest.PropagationBound)
			f.AssertKnown("2", hubtest.EndpointCount-1, hubtest.PropagationBound)
			time.Sleep(3 * time.Second)
			roots, levels, mostFollowers := f.Topology()
			assert.Equal(t, roots, 1)
			assert.Assert(t, levels <= 3)
			assert.Assert(t, mostFollowers <= 52, "%d follow one", mostFollowers)
			calls := f.Store().TakeCalls()
			assert.Assert(t, calls <= 250, "%d calls, silent %v", calls, silent)
		})
	}
}

// One failure domain is cut off from the others but can reach the store. Its routers must choose one of themselves as
// the root that reads for them. When the partition ends there are two roots, and one of them must find the other.
func TestIsolatedFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.Stop()
		inside := map[string]bool{}
		for _, r := range f.Routers() {
			if r.Self().FailureDomain == "domain2" {
				inside[r.Self().Address] = true
			}
		}
		f.Net().Isolate(inside)
		time.Sleep(hubtest.PropagationBound)
		f.Store().TakeCalls()
		f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
		time.Sleep(hubtest.PropagationBound)
		f.AssertKnown("2", hubtest.EndpointCount, hubtest.PropagationBound)
		calls := f.Store().TakeCalls()
		assert.Assert(t, calls <= 120, "%d calls", calls)
		f.Net().Isolate(nil)
		time.Sleep(20 * time.Second)
		roots, _, _ := f.Topology()
		assert.Equal(t, roots, 1)
	})
}

// A hub freezes: its connections stay open and nothing comes from it. Its followers must leave it within a second,
// and must not use its old data when it resumes.
func TestFrozenHubIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.Stop()
		var frozenAddress string
		for _, r := range f.Routers() {
			if r.HubName() == r.Self().Name {
				frozenAddress = r.Self().Address
			}
		}
		f.Net().Freeze(frozenAddress)
		f.PutEndpoint(0, true)
		time.Sleep(2500 * time.Millisecond)
		for _, r := range f.Routers() {
			if r.Self().Address != frozenAddress {
				assert.Equal(t, r.Usable(), hubtest.EndpointCount-1, r.Self().Name)
			}
		}
		f.Net().Unfreeze(frozenAddress)
		time.Sleep(20 * time.Second)
		f.AssertKnown("1", hubtest.EndpointCount-1, 2*time.Second)
		n, _, _ := f.Topology()
		assert.Equal(t, n, 1)
	})
}
