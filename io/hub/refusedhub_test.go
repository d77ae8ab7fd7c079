package hub_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a configuration that reaches most routers late because the store refuses their hub and also the
// first routers that are asked to read for it.
func TestRefusedHubLearnsConfigurationInTime(t *testing.T) {
	t.Parallel()
	// With most seeds one of the routers asked first can read; with these none can.
	for _, seed := range []uint64{15, 23, 43, 54} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 82)
			defer f.stop()
			random := rand.New(rand.NewPCG(seed, seed))
			away := map[string]bool{}
			for _, r := range f.routers {
				away[r.self.Name] = r.agent.HubName() == r.self.Name || random.Float64() < 0.4
			}
			f.store.refuse(func(router string) bool { return away[router] })
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			f.store.put(configurationTopic, "config", "2")
			time.Sleep(2 * time.Second)
			f.assertKnown("2", endpointCount, 3*time.Second)
		})
	}
}
