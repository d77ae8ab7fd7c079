package restore_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
	"savoryfall/platform/evacuation"
)

// fleet is a simulated fleet with what these tests do to it.
type fleet struct{ *hubtest.Fleet }

func TestMain(m *testing.M) { hubtest.Main(m) }

func newFleet(t *testing.T, n int) *fleet { return &fleet{hubtest.New(t, n, evacuation.Decoder{})} }

// storeOutage is how long the store is away before it comes back from a copy.
const storeOutage = 2700 * time.Millisecond

// restore makes the store unavailable for a while, and then brings it back without the last records of the topics.
func (f *fleet) restore(lost map[string]int) {
	f.Store().Refuse(func(string) bool { return true })
	time.Sleep(storeOutage)
	f.Store().Restore(lost)
	f.Store().Refuse(nil)
}

// putConfigurations writes the versions, one every interval.
func (f *fleet) putConfigurations(first, last int, interval time.Duration) {
	for v := first; v <= last; v++ {
		f.Store().Put(fakestore.ConfigurationTopic, "config", fmt.Sprint(v))
		time.Sleep(interval)
	}
}

// Guards against routers that take a configuration for known because its offset was in use before the store was restored.
func TestConfigurationsAfterRestoreReachAllRouters(t *testing.T) {
	for _, n := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.Stop()
			f.putConfigurations(2, 9, 200*time.Millisecond)
			time.Sleep(time.Second)
			f.AssertKnown("9", hubtest.EndpointCount, 2*time.Second)
			f.restore(map[string]int{fakestore.ConfigurationTopic: 5})
			time.Sleep(2 * time.Second)
			for v := 10; v <= 14; v++ {
				f.Store().Put(fakestore.ConfigurationTopic, "config", fmt.Sprint(v))
				time.Sleep(1500 * time.Millisecond)
				f.AssertKnown(fmt.Sprint(v), hubtest.EndpointCount, 2*time.Second)
			}
		})
	}
}

// Guards against records that a reader skips because its offset exists again when it next reads the restored store.
func TestRecordsAtOffsetsGivenOutAgainAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.Stop()
		f.putConfigurations(2, 9, 200*time.Millisecond)
		f.PutEndpoint(0, true)
		time.Sleep(time.Second)
		f.Store().Refuse(func(string) bool { return true })
		time.Sleep(storeOutage)
		f.Store().Restore(map[string]int{fakestore.ConfigurationTopic: 3, fakestore.RegistryTopic: 1})
		f.putConfigurations(10, 11, 0)
		for e := 1; e <= 3; e++ {
			f.PutEndpoint(e, true)
		}
		// The log is longer again than the routers know it, and what they have not read lies before their offset.
		for range 4 {
			f.Store().Put(fakestore.ConfigurationTopic, "other", "x")
			f.PutEndpoint(4, false)
		}
		f.Store().Refuse(nil)
		time.Sleep(2 * time.Second)
		f.AssertKnown("11", hubtest.EndpointCount-4, 2*time.Second)
	})
}

// Guards against endpoints that leave unseen after a restore.
func TestEndpointsThatLeaveAfterRestoreAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.Stop()
		f.PutEndpoint(0, true)
		f.PutEndpoint(1, true)
		time.Sleep(time.Second)
		f.AssertKnown("1", hubtest.EndpointCount-2, 2*time.Second)
		f.restore(map[string]int{fakestore.RegistryTopic: 2})
		time.Sleep(2 * time.Second)
		f.AssertKnown("1", hubtest.EndpointCount-2, 2*time.Second)
		f.PutEndpoint(2, true)
		time.Sleep(2 * time.Second)
		f.AssertKnown("1", hubtest.EndpointCount-3, 2*time.Second)
	})
}

// Guards against a router that uses what an operator had withdrawn, or drops an endpoint, while the store lacks the
// records that say so.
func TestRecordsMissingInRestoredStoreAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.Stop()
		f.putConfigurations(2, 3, 0)
		f.Store().Put(fakestore.ConfigurationTopic, hubtest.EvacuateB, "{}")
		f.PutEndpoint(hubtest.EndpointCount, false)
		f.PutEndpoint(0, true)
		time.Sleep(2 * time.Second)
		f.AssertKnown("3", hubtest.EndpointCount, 2*time.Second)
		newest := f.Store().LoseRecords(map[string]int{fakestore.ConfigurationTopic: 2, fakestore.RegistryTopic: 2})
		for range 3 {
			time.Sleep(500 * time.Millisecond)
			f.Store().Put(fakestore.ConfigurationTopic, "other", "x")
			for _, r := range f.Routers() {
				domains, _ := r.DrainedDomains()
				assert.DeepEqual(t, domains, []string{"domain1"})
			}
			f.AssertKnown("3", hubtest.EndpointCount, 2*time.Second)
		}
		f.Store().Rewrite(newest)
		for range 10 {
			time.Sleep(time.Second)
			for _, r := range f.Routers() {
				domains, _ := r.DrainedDomains()
				assert.DeepEqual(t, domains, []string{"domain1"})
			}
			f.AssertKnown("3", hubtest.EndpointCount, 2*time.Second)
		}
	})
}

// Guards against routers that no other finds, because a restored store lacks their entries in the router list.
func TestRouterListIsWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.Stop()
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.Store().Count(fakestore.RoutersTopic), 12)
		for range 2 {
			f.Store().LoseRecords(map[string]int{fakestore.RoutersTopic: 5})
			time.Sleep(4 * time.Second)
			names := f.Store().Keys(fakestore.RoutersTopic)
			assert.Equal(t, len(names), 12, "%v", names)
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.Store().Count(fakestore.RoutersTopic), 12, "each entry is written once")
	})
}

// Guards against a restore that meets restarts of half of the routers, the root among them, and a compacted history.
func TestRestoreBesideRestartsAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.Stop()
		f.putConfigurations(2, 9, 200*time.Millisecond)
		f.PutEndpoint(0, true)
		time.Sleep(time.Second)
		for round := range 3 {
			version := 10 + 10*round
			f.Store().Refuse(func(string) bool { return true })
			time.Sleep(500 * time.Millisecond)
			dead := f.Kill(round%2 > 0, func(m members.Member) bool { return m.Bears > 100 || m.Name[len(m.Name)-1]%2 == 0 })
			time.Sleep(time.Second)
			f.Store().Restore(map[string]int{fakestore.ConfigurationTopic: 4, fakestore.RegistryTopic: 1, fakestore.RoutersTopic: 2})
			for _, m := range dead {
				f.Net().SetSilent(m.Address, false)
				f.Start(m, false)
			}
			f.Store().Refuse(nil)
			f.Store().Compact()
			f.Store().Put(fakestore.ConfigurationTopic, "config", fmt.Sprint(version))
			time.Sleep(hubtest.PropagationBound)
			f.AssertKnown(fmt.Sprint(version), hubtest.EndpointCount-1, 2*time.Second)
			f.putConfigurations(version+1, version+4, time.Second)
			time.Sleep(time.Second)
			f.AssertKnown(fmt.Sprint(version+4), hubtest.EndpointCount-1, 2*time.Second)
			assert.Equal(t, len(f.Store().Keys(fakestore.RoutersTopic)), 12)
		}
	})
}
