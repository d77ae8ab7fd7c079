package rollout_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/rollout"
)

func engines(n int, loaded ...string) (list []rollout.Engine) {
	for i := range n {
		list = append(list, rollout.Engine{Name: fmt.Sprintf("e%d", i), Models: []string{"m"}, Loaded: loaded})
	}
	return list
}

// applyOrders sets the loaded versions of the engines to those in the orders.
func applyOrders(list []rollout.Engine, planned []rollout.Order) {
	for _, o := range planned {
		for i := range list {
			if list[i].Name == o.Engine {
				list[i].Loaded = o.Loaded
			}
		}
	}
}

func countLoaded(list []rollout.Engine, id string) (n int) {
	for _, e := range list {
		if slices.Contains(e.Loaded, id) {
			n++
		}
	}
	return n
}

// During a rollout of v2 to four engines with two loads per round, v1 stays loaded on all engines until v2 is, and is
// then unloaded.
func TestRolloutKeepsTheOldVersionWarm(t *testing.T) {
	list := engines(4, "m@v1")
	wanted := []rollout.WantedVersion{{Model: "m", Name: "v2"}}
	for _, want := range [][2]int{{4, 2}, {4, 4}, {0, 4}} {
		planned := rollout.Plan(wanted, list, 2)
		loads := 0
		for _, o := range planned {
			loads += o.Loads
		}
		assert.Assert(t, loads <= 2)
		applyOrders(list, planned)
		assert.Equal(t, [2]int{countLoaded(list, "m@v1"), countLoaded(list, "m@v2")}, want)
	}
	assert.Equal(t, len(rollout.Plan(wanted, list, 2)), 0)
}

// With a single load available, the version with the fewest replicas is loaded first.
func TestVersionWithFewestReplicasLoadsFirst(t *testing.T) {
	list := engines(3, "m@a")
	list[0].Loaded = []string{"m@a", "m@b"}
	planned := rollout.Plan([]rollout.WantedVersion{{Model: "m", Name: "a"}, {Model: "m", Name: "b"}, {Model: "m", Name: "c"}}, list, 1)
	assert.Equal(t, len(planned), 1)
	assert.Assert(t, slices.Contains(planned[0].Loaded, "m@c"))
}

// If an outdated order arrives late and reverts a newer one, the next comparisons restore the wanted state.
func TestLateOrderIsUndone(t *testing.T) {
	list := engines(2, "m@v2")
	list[0].Loaded = []string{"m@v1"}
	wanted := []rollout.WantedVersion{{Model: "m", Name: "v2"}}
	for range 2 {
		applyOrders(list, rollout.Plan(wanted, list, 2))
	}
	assert.Equal(t, countLoaded(list, "m@v2"), 2)
	assert.Equal(t, countLoaded(list, "m@v1"), 0)
}
