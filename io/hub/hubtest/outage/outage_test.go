package outage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// The store is unavailable for ten seconds. Every router used to poll both topics by itself; now a few routers try on
// behalf of each hub that cannot read. All routers must be up to date within two seconds of its return.
func TestOutageCallsComeFromFewRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300)
		defer f.Stop()
		f.Store().TakeCalls()
		f.Store().Refuse(func(string) bool { return true })
		time.Sleep(10 * time.Second)
		calls := f.Store().TakeCalls()
		assert.Assert(t, calls <= 300, "%d calls", calls)
		f.Store().Refuse(nil)
		f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
		time.Sleep(2 * time.Second)
		f.AssertKnown("2", hubtest.EndpointCount, 2*time.Second)
		f.AssertNotFresherThanStore()
	})
}

// The store refuses the root and two thirds of the other routers. One that it serves must read for all, so that a
// change is in force everywhere while the root still cannot read.
func TestRefusedHubLearnsFromAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 120)
		defer f.Stop()
		f.Store().TakeCalls()
		f.RefuseMost()
		time.Sleep(4 * time.Second)
		f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
		f.PutEndpoint(0, true)
		time.Sleep(4 * time.Second)
		f.AssertKnown("2", hubtest.EndpointCount-1, 3*time.Second)
		f.AssertNotFresherThanStore()
		roots, _, _ := f.Topology()
		assert.Equal(t, roots, 1)
		calls := f.Store().TakeCalls()
		assert.Assert(t, calls <= 300, "%d calls", calls)
	})
}

// Guards against a configuration that reaches most routers late because the store refuses their hub and also the
// first routers that are asked to read for it.
func TestRefusedHubLearnsConfigurationInTime(t *testing.T) {
	t.Parallel()
	// With most seeds one of the routers asked first can read; with these none can.
	for _, seed := range []uint64{15, 23, 43, 54} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 82)
			defer f.Stop()
			random := rand.New(rand.NewPCG(seed, seed))
			away := map[string]bool{}
			for _, r := range f.Routers() {
				away[r.Self().Name] = r.HubName() == r.Self().Name || random.Float64() < 0.4
			}
			f.Store().Refuse(func(router string) bool { return away[router] })
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
			time.Sleep(2 * time.Second)
			f.AssertKnown("2", hubtest.EndpointCount, 3*time.Second)
		})
	}
}

// Guards against routers that take a part of what was written in an outage for all of it: the root that reads it, those that follow it
// directly or through other hubs, and those that start meanwhile.
func TestBacklogOfOutageIsNotConfirmedInPart(t *testing.T) {
	for _, n := range []int{6, 120} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			writtenAt := map[int]time.Time{}
			for round := range 3 {
				f.Store().Refuse(func(string) bool { return true })
				time.Sleep(3 * time.Second)
				for v := 2 + 20*round; v < 15+20*round; v++ {
					f.Store().Put(fakestore.ConfigurationTopic, "config", fmt.Sprint(v))
					writtenAt[v] = time.Now()
					time.Sleep(50 * time.Millisecond)
				}
				dead := f.Kill(round%2 > 0, func(m members.Member) bool { return m.Name[len(m.Name)-1]%2 > 0 })
				f.Store().Refuse(nil)
				for _, m := range dead {
					f.Net().SetSilent(m.Address, false)
					f.Start(m, false)
				}
				for range 400 {
					f.AssertProven(writtenAt)
					time.Sleep(5 * time.Millisecond)
				}
				f.AssertKnown(fmt.Sprint(14+20*round), hubtest.EndpointCount, 2*time.Second)
			}
		})
	}
}
