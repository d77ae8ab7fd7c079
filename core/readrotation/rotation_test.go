package readrotation_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/readrotation"
)

const step = 100 * time.Millisecond

// simulate has 60 routers report for some time to a hub that cannot read. Assigned routers that can read deliver,
// and the others report failure. It returns the routers that were ever assigned, and how many are assigned at the
// end.
func simulate(r *readrotation.Rotation, canRead func(name string) bool, duration time.Duration) (assigned map[string]bool, reading int) {
	assigned = map[string]bool{}
	active := map[string]bool{}
	stale := true
	for now := time.Duration(0); now < duration; now += step {
		reading = 0
		for i := range 60 {
			name := fmt.Sprint(i)
			if active[name] && canRead(name) {
				r.Delivered(name, now)
				stale = false
			}
			active[name] = r.ShouldRead(readrotation.Router{Name: name, Failing: assigned[name] && !canRead(name)}, readrotation.Hub{Failing: true, Stale: stale}, now)
			if active[name] {
				assigned[name] = true
				reading++
			}
		}
	}
	return assigned, reading
}

// Every router used to try to read by itself during an outage of the whole store. With assignments, little more
// than one router a second does.
func TestOutageUsesFewReaders(t *testing.T) {
	assigned, reading := simulate(&readrotation.Rotation{}, func(string) bool { return false }, 10*time.Second)
	assert.Assert(t, len(assigned) >= 8 && len(assigned) <= 14, "%d assigned", len(assigned))
	assert.Assert(t, reading <= 2)
}

// The store serves all routers but two. One that can read is found within a second and kept, and no others are
// assigned.
func TestWorkingReaderIsFoundAndKept(t *testing.T) {
	canRead := func(name string) bool { return name != "0" && name != "1" }
	assigned, _ := simulate(&readrotation.Rotation{}, canRead, time.Second)
	assert.Assert(t, len(assigned) <= 4)
	assigned, reading := simulate(&readrotation.Rotation{}, canRead, 10*time.Second)
	assert.Assert(t, len(assigned) <= 4, "%d assigned", len(assigned))
	assert.Assert(t, reading >= 1 && reading <= 2)
}

// A hub that can read assigns no router, and a hub that starts to fail assigns none until its data becomes stale.
func TestHubThatCanReadAssignsNoRouter(t *testing.T) {
	r := &readrotation.Rotation{}
	one := readrotation.Router{Name: "a"}
	assert.Assert(t, !r.ShouldRead(one, readrotation.Hub{Failing: true}, 0))
	assert.Assert(t, r.ShouldRead(one, readrotation.Hub{Failing: true, Stale: true}, 0))
	assert.Assert(t, r.ShouldRead(one, readrotation.Hub{Failing: true}, step))
	assert.Assert(t, !r.ShouldRead(one, readrotation.Hub{}, 2*step))
}

// A router with newer data is assigned at once, however many have been assigned before.
func TestRouterWithNewerDataIsAssigned(t *testing.T) {
	r := &readrotation.Rotation{}
	h := readrotation.Hub{Failing: true, Stale: true}
	for i := range 10 {
		r.ShouldRead(readrotation.Router{Name: fmt.Sprint(i)}, h, 0)
	}
	assert.Assert(t, r.ShouldRead(readrotation.Router{Name: "newer", HasNewer: true}, h, 0))
}

// Guards against a whole fleet that reads for a hub because all of its routers had newer data at the same time.
func TestFewRoutersThatDeliverAreAssigned(t *testing.T) {
	r := &readrotation.Rotation{}
	h := readrotation.Hub{Failing: true, Stale: true}
	assigned := 0
	for i := range 10 {
		if r.ShouldRead(readrotation.Router{Name: fmt.Sprint(i), HasNewer: true}, h, 0) {
			assigned++
		}
	}
	assert.Equal(t, assigned, 2)
	// The two deliver nothing any more.
	assert.Assert(t, r.ShouldRead(readrotation.Router{Name: "newer", HasNewer: true}, h, 2*time.Second))
}
