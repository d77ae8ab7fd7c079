package orders_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/orders"
)

func engines(n int, loaded ...string) (list []orders.Engine) {
	for i := range n {
		list = append(list, orders.Engine{Name: fmt.Sprintf("e%d", i), Models: []string{"m"}, Loaded: loaded})
	}
	return list
}

// obey lets the engines hold what they were ordered to.
func obey(list []orders.Engine, given []orders.Order) {
	for _, o := range given {
		for i := range list {
			if list[i].Name == o.Engine {
				list[i].Loaded = o.Loaded
			}
		}
	}
}

func count(list []orders.Engine, id string) (n int) {
	for _, e := range list {
		if slices.Contains(e.Loaded, id) {
			n++
		}
	}
	return n
}

// A rollout of v2 over four engines with two loads a round: v1 stays on all until v2 is on all, then goes.
func TestRolloutKeepsTheOldVersionWarm(t *testing.T) {
	list := engines(4, "m@v1")
	wanted := []orders.Wanted{{Model: "m", Name: "v2"}}
	for _, want := range [][2]int{{4, 2}, {4, 4}, {0, 4}} {
		given := orders.Plan(wanted, list, 2)
		loads := 0
		for _, o := range given {
			loads += o.Loads
		}
		assert.Assert(t, loads <= 2)
		obey(list, given)
		assert.Equal(t, [2]int{count(list, "m@v1"), count(list, "m@v2")}, want)
	}
	assert.Equal(t, len(orders.Plan(wanted, list, 2)), 0)
}

// With one load to spend, the version that fewest engines hold comes first.
func TestMostWantedFirst(t *testing.T) {
	list := engines(3, "m@a")
	list[0].Loaded = []string{"m@a", "m@b"}
	given := orders.Plan([]orders.Wanted{{Model: "m", Name: "a"}, {Model: "m", Name: "b"}, {Model: "m", Name: "c"}}, list, 1)
	assert.Equal(t, len(given), 1)
	assert.Assert(t, slices.Contains(given[0].Loaded, "m@c"))
}

// An order that arrives late, and undoes a newer one, is itself undone by the next comparison.
func TestLateOrderIsUndone(t *testing.T) {
	list := engines(2, "m@v2")
	list[0].Loaded = []string{"m@v1"}
	wanted := []orders.Wanted{{Model: "m", Name: "v2"}}
	for range 2 {
		obey(list, orders.Plan(wanted, list, 2))
	}
	assert.Equal(t, count(list, "m@v2"), 2)
	assert.Equal(t, count(list, "m@v1"), 0)
}
