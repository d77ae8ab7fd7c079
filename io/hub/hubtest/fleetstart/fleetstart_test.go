package fleetstart_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// Guards against needless calls to the store on the first start of a fleet of 300 routers. Each router used to add
// itself, read the list and both topics, some more than once; two calls each are enough. Changes must reach all
// routers, and no hub may have more followers than its VM can serve.
func TestFirstFleetStartTakesTwoCallsPerRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.Stop()
		calls := f.Store().TakeCalls()
		assert.Assert(t, calls <= 2*300+60, "%d calls", calls)
		roots, levels, mostFollowers := f.Topology()
		assert.Equal(t, roots, 1)
		assert.Equal(t, levels, 2)
		assert.Assert(t, mostFollowers <= 64, "%d follow one", mostFollowers)
		for _, r := range f.Routers() {
			assert.Equal(t, r.Loads().Running(), 300, r.Self().Name)
		}
		f.AssertKnown("1", hubtest.EndpointCount, 2*time.Second)
		f.Store().TakeCalls()
		f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
		f.PutEndpoint(0, true)
		time.Sleep(2 * time.Second)
		f.AssertKnown("2", hubtest.EndpointCount-1, 2*time.Second)
		f.AssertNotFresherThanStore()
		calls = f.Store().TakeCalls()
		assert.Assert(t, calls <= 20, "%d calls", calls)
	})
}

// All routers are killed at once and restart within 0.3 s, as after a power cut. They must find each other through
// the list in the store, and know everything within a second.
func TestAllRoutersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.Stop()
		dead := f.Kill(true, func(members.Member) bool { return true })
		f.Store().TakeCalls()
		for _, m := range dead {
			f.Net().Restore(m.Address)
			f.Start(m, false)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		f.AssertKnown("1", hubtest.EndpointCount, 1500*time.Millisecond)
		time.Sleep(2 * time.Second)
		roots, levels, mostFollowers := f.Topology()
		assert.Equal(t, roots, 1)
		assert.Assert(t, levels <= 3)
		assert.Assert(t, mostFollowers <= 64, "%d follow one", mostFollowers)
		calls := f.Store().TakeCalls()
		assert.Assert(t, calls <= 3*300+60, "%d calls", calls)
	})
}

// After the store compacts its history, only the routers that read the store may read the newest records again.
func TestCompactionIsReadByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.Stop()
		f.Store().TakeCalls()
		for range 3 {
			f.Store().Compact()
			f.PutEndpoint(1, true)
			time.Sleep(time.Second)
		}
		f.AssertKnown("1", hubtest.EndpointCount-1, 2*time.Second)
		calls := f.Store().TakeCalls()
		assert.Assert(t, calls <= 40, "%d calls", calls)
	})
}
