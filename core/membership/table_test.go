package membership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/membership"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func table(name string, others ...string) *membership.Table {
	t := membership.New(membership.Update{Name: name, Incarnation: 1}, time.Second)
	var listed []membership.Update
	for _, o := range others {
		listed = append(listed, membership.Update{Name: o, Address: o + ":1"})
	}
	t.UpdateFromVMList(listed, start)
	return t
}

func state(t *membership.Table, name string) string {
	for _, p := range t.Peers() {
		if p.Name == name {
			return p.State
		}
	}
	return "unknown"
}

func updateLists() *rapid.Generator[[]membership.Update] {
	one := rapid.Custom(func(t *rapid.T) membership.Update {
		return membership.Update{
			Name:        fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "name")),
			Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
			State:       membership.State(rapid.IntRange(0, 3).Draw(t, "state")),
		}
	})
	return rapid.SliceOfN(one, 0, 20)
}

// Two routers that receive the same updates reach the same view, whatever the order and number of deliveries.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := updateLists().Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		a, b := table("a", "r0", "r1", "r2"), table("b", "r0", "r1", "r2")
		a.Rumours(updates, start)
		b.Rumours(append(shuffled, updates...), start)
		for _, name := range []string{"r0", "r1", "r2"} {
			if state(a, name) != state(b, name) {
				t.Fatalf("%s is %s here and %s there", name, state(a, name), state(b, name))
			}
		}
	})
}

// A merge that takes the latest arrival, ignoring incarnations, gives different results for different orders. This
// shows that the property above can fail.
func TestMergeByArrivalDependsOnOrder(t *testing.T) {
	differing := 0
	for seed := range 100 {
		updates := updateLists().Example(seed)
		latest, reversed := map[string]membership.State{}, map[string]membership.State{}
		for i := range updates {
			latest[updates[i].Name] = updates[i].State
			reversed[updates[len(updates)-1-i].Name] = updates[len(updates)-1-i].State
		}
		for name := range latest {
			if latest[name] != reversed[name] {
				differing++
			}
		}
	}
	assert.Assert(t, differing > 0)
}

// The leaving mark of an incarnation isn't taken back by a delayed older "alive" or by a suspicion.
func TestLeavingIsNotTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := table("a", "r0", "r1", "r2")
		a.Rumours([]membership.Update{{Name: "r0", Incarnation: 4, State: membership.Leaving}}, start)
		a.Rumours(updateLists().Draw(t, "updates"), start)
		if state(a, "r0") != "leaving" {
			t.Fatalf("r0 is %s", state(a, "r0"))
		}
	})
}

// A silent router is declared dead after the suspicion timeout. One that another router has reached, as in a partition,
// is not.
func TestSuspicion(t *testing.T) {
	a := table("a", "b", "c")
	a.RecordMiss("b", start)
	a.RecordMiss("c", start)
	a.RecordIndirectContact("c", start.Add(500*time.Millisecond))
	assert.Equal(t, len(a.Sweep(start.Add(900*time.Millisecond))), 0)
	assert.DeepEqual(t, a.Sweep(start.Add(1100*time.Millisecond)), []string{"b"})
	assert.Equal(t, state(a, "c"), "alive")
	a.RecordContact(membership.Update{Name: "b", Incarnation: 2}, start.Add(2*time.Second))
	assert.Equal(t, state(a, "b"), "alive")
}

// A router that learns that it is considered dead overrides the update with a higher incarnation.
func TestRefutation(t *testing.T) {
	a, b := table("a", "b"), table("b", "a")
	dead := membership.Update{Name: "a", Incarnation: 1, State: membership.Dead}
	b.Rumours([]membership.Update{dead}, start)
	a.Rumours([]membership.Update{dead}, start)
	assert.Equal(t, state(b, "a"), "dead")
	b.Rumours(a.Gossip(16), start)
	assert.Equal(t, state(b, "a"), "alive")
}

// Only the duties of a dead member move.
func TestDutiesMoveOnlyFromDeadMembers(t *testing.T) {
	a := table("a", "b", "c", "d")
	before := map[string]string{}
	for i := range 40 {
		d := fmt.Sprint("duty", i)
		before[d] = a.Assignee(d)
	}
	a.Rumours([]membership.Update{{Name: "c", Incarnation: 1, State: membership.Dead}}, start)
	for d, assignee := range before {
		if assignee != "c" {
			assert.Equal(t, a.Assignee(d), assignee)
		} else {
			assert.Assert(t, a.Assignee(d) != "c")
		}
	}
}
