package hub_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
)

// storeOutage is how long the store is away before it comes back from a copy.
const storeOutage = 2700 * time.Millisecond

// restore makes the store unavailable for a while, and then brings it back without the last records of the topics.
func (f *fleet) restore(lost map[string]int) {
	f.store.refuse(func(string) bool { return true })
	time.Sleep(storeOutage)
	f.store.restore(lost)
	f.store.refuse(nil)
}

// putConfigurations writes the versions, one every interval.
func (f *fleet) putConfigurations(first, last int, interval time.Duration) {
	for v := first; v <= last; v++ {
		f.store.put(configurationTopic, "config", fmt.Sprint(v))
		time.Sleep(interval)
	}
}

// Guards against routers that take a configuration for known because its offset was in use before the store was restored.
func TestConfigurationsAfterRestoreReachAllRouters(t *testing.T) {
	for _, n := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			defer f.stop()
			f.putConfigurations(2, 9, 200*time.Millisecond)
			time.Sleep(time.Second)
			f.assertKnown("9", endpointCount, 2*time.Second)
			f.restore(map[string]int{configurationTopic: 5})
			time.Sleep(2 * time.Second)
			for v := 10; v <= 14; v++ {
				f.store.put(configurationTopic, "config", fmt.Sprint(v))
				time.Sleep(1500 * time.Millisecond)
				f.assertKnown(fmt.Sprint(v), endpointCount, 2*time.Second)
			}
		})
	}
}

// Guards against records that a reader skips because its offset exists again when it next reads the restored store.
func TestRecordsAtOffsetsGivenOutAgainAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.stop()
		f.putConfigurations(2, 9, 200*time.Millisecond)
		f.putEndpoint(0, true)
		time.Sleep(time.Second)
		f.store.refuse(func(string) bool { return true })
		time.Sleep(storeOutage)
		f.store.restore(map[string]int{configurationTopic: 3, registryTopic: 1})
		f.putConfigurations(10, 11, 0)
		for e := 1; e <= 3; e++ {
			f.putEndpoint(e, true)
		}
		// The log is longer again than the routers know it, and what they have not read lies before their offset.
		for range 4 {
			f.store.put(configurationTopic, "other", "x")
			f.putEndpoint(4, false)
		}
		f.store.refuse(nil)
		time.Sleep(2 * time.Second)
		f.assertKnown("11", endpointCount-4, 2*time.Second)
	})
}

// Guards against endpoints that leave unseen after a restore.
func TestEndpointsThatLeaveAfterRestoreAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.stop()
		f.putEndpoint(0, true)
		f.putEndpoint(1, true)
		time.Sleep(time.Second)
		f.assertKnown("1", endpointCount-2, 2*time.Second)
		f.restore(map[string]int{registryTopic: 2})
		time.Sleep(2 * time.Second)
		f.assertKnown("1", endpointCount-2, 2*time.Second)
		f.putEndpoint(2, true)
		time.Sleep(2 * time.Second)
		f.assertKnown("1", endpointCount-3, 2*time.Second)
	})
}

// Guards against a router that uses what an operator had withdrawn, or drops an endpoint, while the store lacks the
// records that say so.
func TestRecordsMissingInRestoredStoreAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.stop()
		f.putConfigurations(2, 3, 0)
		f.store.put(configurationTopic, evacuateB, "{}")
		f.putEndpoint(endpointCount, false)
		f.putEndpoint(0, true)
		time.Sleep(2 * time.Second)
		f.assertKnown("3", endpointCount, 2*time.Second)
		newest := f.store.loseRecords(map[string]int{configurationTopic: 2, registryTopic: 2})
		for range 3 {
			time.Sleep(500 * time.Millisecond)
			f.store.put(configurationTopic, "other", "x")
			for _, r := range f.routers {
				domains, _ := r.drainedDomains()
				assert.DeepEqual(t, domains, []string{"domain1"})
			}
			f.assertKnown("3", endpointCount, 2*time.Second)
		}
		f.store.rewrite(newest)
		for range 10 {
			time.Sleep(time.Second)
			for _, r := range f.routers {
				domains, _ := r.drainedDomains()
				assert.DeepEqual(t, domains, []string{"domain1"})
			}
			f.assertKnown("3", endpointCount, 2*time.Second)
		}
	})
}

// Guards against routers that no other finds, because a restored store lacks their entries in the router list.
func TestRouterListIsWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.stop()
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.store.count(routersTopic), 12)
		for range 2 {
			f.store.loseRecords(map[string]int{routersTopic: 5})
			time.Sleep(4 * time.Second)
			names := f.store.keys(routersTopic)
			assert.Equal(t, len(names), 12, "%v", names)
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.store.count(routersTopic), 12, "each entry is written once")
	})
}

// Guards against a restore that meets restarts of half of the routers, the root among them, and a compacted history.
func TestRestoreBesideRestartsAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.stop()
		f.putConfigurations(2, 9, 200*time.Millisecond)
		f.putEndpoint(0, true)
		time.Sleep(time.Second)
		for round := range 3 {
			version := 10 + 10*round
			f.store.refuse(func(string) bool { return true })
			time.Sleep(500 * time.Millisecond)
			dead := f.kill(round%2 > 0, func(m members.Member) bool { return m.Bears > 100 || m.Name[len(m.Name)-1]%2 == 0 })
			time.Sleep(time.Second)
			f.store.restore(map[string]int{configurationTopic: 4, registryTopic: 1, routersTopic: 2})
			for _, m := range dead {
				f.net.setSilent(m.Address, false)
				f.start(m, false)
			}
			f.store.refuse(nil)
			f.store.compact()
			f.store.put(configurationTopic, "config", fmt.Sprint(version))
			time.Sleep(propagationBound)
			f.assertKnown(fmt.Sprint(version), endpointCount-1, 2*time.Second)
			f.putConfigurations(version+1, version+4, time.Second)
			time.Sleep(time.Second)
			f.assertKnown(fmt.Sprint(version+4), endpointCount-1, 2*time.Second)
			assert.Equal(t, len(f.store.keys(routersTopic)), 12)
		}
	})
}
