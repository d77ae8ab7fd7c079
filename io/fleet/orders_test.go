package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/fleet"
	"savoryfall/io/standin/engine"
)

func startOrdersFleet(t *testing.T, checksFence bool) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{
		Routers: 3, Engines: 4, Engine: engine.Options{ChecksFence: checksFence},
		ExtraSettings: map[string]string{
			"peers": fastPeers, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n",
			"orders": "leaseTerm = \"600ms\"\nlongestOrder = \"200ms\"\nperiod = \"100ms\"\nloadsPerSecond = 20\n",
		},
	})
}

func allEnginesLoaded(f *fleet.Fleet, want ...string) bool {
	for _, e := range f.Engines() {
		if _, loaded := e.Orders(); !slices.Equal(loaded, want) {
			return false
		}
	}
	return true
}

func replaceVersionReleaseNote(id, basedOn, added, withdrawn string) string {
	text := fmt.Sprintf("id = %q\nbasedOn = %q\n[[added.versions]]\nmodel = \"sur-large\"\nname = %q\n", id, basedOn, added)
	if withdrawn != "" {
		text += fmt.Sprintf("[withdrawn]\nversions = [\"sur-large@%s\"]\n", withdrawn)
	}
	return text
}

// A release note adds a version and the next one replaces it; routers that hold the leases order the engines of all
// failure domains to load it while clients are served. Two routers, which may hold leases, are killed in between.
func TestRolloutContinuesAfterLeaseHoldersDie(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checksFence=%t", checks), func(t *testing.T) {
			f := startOrdersFleet(t, checks)
			f.Publish(t.Context(), replaceVersionReleaseNote("v1", "first", "v1", ""))
			waitFor(t, "v1 is loaded everywhere", func() bool { return allEnginesLoaded(f, "sur-large@v1") })
			f.KillRouter(f.Routers()[0])
			f.KillRouter(f.Routers()[0])
			f.Publish(t.Context(), replaceVersionReleaseNote("v2", "v1", "v2", "v1"))
			waitFor(t, "v2 is loaded everywhere", func() bool {
				assert.Equal(t, complete(t, f, "during #3"), want("during #3"))
				return allEnginesLoaded(f, "sur-large@v2")
			})
		})
	}
}
