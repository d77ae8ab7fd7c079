package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/io/registry"
)

const heartbeat = 1200 * time.Millisecond

// trackerWithTwo returns a tracker of the endpoints a and b, whose list has just been read, and a function that returns the usable
// ones.
func trackerWithTwo() (tr *registry.Tracker, usable func() int) {
	var list []directory.Entry
	tr = registry.New(keyDecoder{}, func(l []directory.Entry) { list = l }, log.NewNopLogger())
	tr.SetHeartbeat(heartbeat)
	tr.Replace([]compactedlog.Record{{Key: "a"}, {Key: "b"}})
	tr.Read(time.Hour)
	return tr, func() int { return len(list) }
}

// failFor has the reads of the router fail every 400 ms.
func failFor(tr *registry.Tracker, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(min(400*time.Millisecond, time.Until(end))) {
		tr.Failed(errUnavailable)
	}
}

// Guards against an endpoint that has left and is kept because this router could not read, for less time than an entry takes to
// lapse.
func TestEndpointThatLeavesInShortOutageIsRemovedAtOnce(t *testing.T) {
	for _, d := range []time.Duration{400 * time.Millisecond, 1700 * time.Millisecond, 2 * heartbeat} {
		synctest.Test(t, func(t *testing.T) {
			tr, usable := trackerWithTwo()
			failFor(tr, d-time.Millisecond)
			tr.Apply([]compactedlog.Record{{Key: "b", Removed: true}})
			assert.Equal(t, usable(), 1, "%v", d)
		})
	}
}

// Guards against endpoints that are removed because their entries lapsed in an outage, at a router that reads for the first time
// since, while its hub went on reporting a read of before.
func TestEntriesThatLapseInOutageAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, usable := trackerWithTwo()
		for range 5 {
			tr.Failed(errUnavailable)
			time.Sleep(heartbeat)
			tr.Read(time.Hour)
		}
		tr.Replace([]compactedlog.Record{{Key: "a"}})
		tr.Read(time.Hour + 5*heartbeat)
		assert.Equal(t, usable(), 2)
		time.Sleep(directory.VanishedGrace)
		tr.Read(2 * time.Hour)
		assert.Equal(t, usable(), 1)
	})
}

// Guards against an endpoint that has left and is kept because this router did not read for long although the store served it.
func TestEndpointThatLeavesWithoutFailedReadIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, usable := trackerWithTwo()
		time.Sleep(5 * heartbeat)
		tr.Apply([]compactedlog.Record{{Key: "b", Removed: true}})
		assert.Equal(t, usable(), 1)
	})
}
