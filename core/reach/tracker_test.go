package reach

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func entries(service string, n int) (list []directory.Entry) {
	for i := range n {
		list = append(list, directory.Entry{ID: fmt.Sprint(service, i), Service: service, Address: address(service, i)})
	}
	return list
}

func address(service string, i int) string { return fmt.Sprint(service, i, ":1") }

// Guards against a router that takes a few lost endpoints for a partition of its own.
func TestFewLostEndpointsAreNoPartition(t *testing.T) {
	var tr Tracker
	tr.Update(entries("models", 9), start)
	for round := range 20 {
		assert.Assert(t, tr.Record(address("models", 0), false, at(round)) == nil)
		assert.Assert(t, tr.Record(address("models", 1), false, at(round)) == nil)
		assert.Assert(t, tr.Record(address("models", 2+round%7), true, at(round)) == nil)
	}
	assert.Equal(t, tr.UnreachableFor("models", at(1000)), time.Duration(0))
}

// Guards against a router that is cut off from a service and does not notice.
func TestPartitionIsDetected(t *testing.T) {
	for endpoints, failures := range map[int]int{1: 1, 2: 1, 3: 2, 4: 3, 9: 3, 100: 3} {
		var tr Tracker
		tr.Update(append(entries("models", endpoints), entries("plain", 3)...), start)
		var c *Change
		for i := range failures {
			assert.Assert(t, c == nil)
			c = tr.Record(address("models", i), false, at(10*i))
		}
		assert.DeepEqual(t, c, &Change{Service: "models", Endpoints: endpoints, Down: failures})
		assert.Equal(t, tr.UnreachableFor("models", at(10*(failures-1)+500)), 500*time.Millisecond)
		assert.Equal(t, tr.UnreachableFor("plain", at(1000)), time.Duration(0))
		assert.Equal(t, tr.UnreachableServices(), 1)
	}
}

// Guards against a router that counts one endpoint's repeated failures as failures of several.
func TestOneEndpointFailingOftenIsNoPartition(t *testing.T) {
	var tr Tracker
	tr.Update(entries("models", 9), start)
	for i := range 100 {
		assert.Assert(t, tr.Record(address("models", 4), false, at(i)) == nil)
	}
}

// Guards against a router that goes on believing in a partition after its end, or that takes the one endpoint which it
// reached all the time for the end.
func TestEndOfPartitionIsDetected(t *testing.T) {
	var tr Tracker
	tr.Update(entries("models", 4), start)
	for i := range 3 {
		tr.Record(address("models", i), false, at(0))
	}
	assert.Assert(t, tr.Record(address("models", 3), true, at(100)) == nil)
	assert.Equal(t, tr.UnreachableFor("models", at(200)), 200*time.Millisecond)
	c := tr.Record(address("models", 1), true, at(700))
	assert.DeepEqual(t, c, &Change{Service: "models", Reachable: true, After: 700 * time.Millisecond, Endpoints: 4, Down: 2})
	assert.Equal(t, tr.UnreachableFor("models", at(800)), time.Duration(0))
}

// Guards against a service that counts as unreachable for good, and is probed for good, because the endpoints that failed
// were replaced.
func TestReplacedEndpointsEndThePartition(t *testing.T) {
	var tr Tracker
	tr.Update(entries("models", 4), start)
	for i := range 3 {
		tr.Record(address("models", i), false, at(0))
	}
	changes := tr.Update(append(entries("models", 4)[3:], directory.Entry{ID: "new", Service: "models", Address: "new:1"}), at(500))
	assert.DeepEqual(t, changes, []*Change{{Service: "models", Reachable: true, After: 500 * time.Millisecond, Endpoints: 2}})
	_, more := tr.DueProbes(at(600))
	assert.Assert(t, !more)
	assert.Equal(t, tr.Way("new:1", at(600)), Direct)
}

// Guards against failures that have nothing to do with each other and count as one partition.
func TestOldFailuresDoNotCount(t *testing.T) {
	var tr Tracker
	tr.Update(entries("models", 9), start)
	for i := range 9 {
		assert.Assert(t, tr.Record(address("models", i), false, at(3000*i)) == nil)
	}
}

// Guards against failures that are kept for an address which another service's endpoint has taken over, or for endpoints
// that were removed.
func TestFailuresEndWithTheEndpoint(t *testing.T) {
	var tr Tracker
	tr.Update(entries("models", 4), start)
	tr.Record(address("models", 0), false, at(0))
	tr.Record(address("models", 1), false, at(0))
	moved := entries("models", 5)
	moved[0].Service = "plain"
	tr.Update(moved, start)
	assert.Assert(t, tr.Record(address("models", 2), false, at(10)) == nil)
	assert.Assert(t, tr.Record(address("models", 3), false, at(10)) != nil)
	tr.Update(entries("plain", 2), start)
	assert.Equal(t, tr.UnreachableServices(), 0)
	assert.Assert(t, tr.Record("elsewhere:1", false, at(20)) == nil)
}
