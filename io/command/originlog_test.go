package command

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLongStreamFleet is a fleet with two engines of each version, whose streams take three seconds.
func newLongStreamFleet(t *testing.T, routers int, versions ...string) *entryFleet {
	f := newLossFleet(t, routers, versions...)
	for id, e := range f.endpoints {
		if strings.HasPrefix(id, "v") {
			e.SetEventTime(600 * time.Millisecond)
		}
	}
	return f
}

// incomplete returns the streams that have begun and not ended.
func incomplete(streams []*stream) (list []*stream) {
	for _, s := range streams {
		if len(s.events) > 0 && !s.complete {
			list = append(list, s)
		}
	}
	return list
}

// begunBefore is how long before the loss streams began that are to go on after it.
const begunBefore = time.Second

// Guards against streams that are refused after a loss of all routers although endpoints of their version serve.
func TestStreamsGoOnAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	nothing := func(*entryFleet) {}
	for name, tc := range map[string]struct {
		// routers is 3 if it is not set.
		routers  int
		versions []string
		away     time.Duration
		// down happens while the routers are down, and endpoints are listed afterwards.
		down      func(f *entryFleet)
		endpoints int
	}{
		"back at once":            {versions: []string{"v1", "v2"}, down: nothing, endpoints: 4},
		"back after two seconds":  {versions: []string{"v1", "v2"}, away: 2 * time.Second, down: nothing, endpoints: 4},
		"three versions":          {routers: 6, versions: []string{"v1", "v2", "v3"}, down: nothing, endpoints: 6},
		"a release in the outage": {versions: []string{"v1", "v2"}, down: func(f *entryFleet) { f.addEngine("new", "v3", 0) }, endpoints: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLongStreamFleet(t, max(3, tc.routers), tc.versions...)
			early, earlyEnded := f.beginAtAll()
			<-time.After(begunBefore)
			late, lateEnded := f.beginSome(streamsAtLoss / 3)
			f.replaceAll(tc.away, func() { tc.down(f) })
			earlyEnded.Wait()
			lateEnded.Wait()
			f.awaitRouters(f.vms, tc.endpoints)
			var earlyOn, lateOn, earlyJoined, lateJoined int
			var resumed sync.WaitGroup
			resumed.Go(func() { earlyJoined, earlyOn = f.resumeElsewhere(early) })
			resumed.Go(func() { lateJoined, lateOn = f.resumeElsewhere(late) })
			resumed.Wait()
			assert.Equal(t, earlyJoined+lateJoined, 0)
			assert.Assert(t, 10*earlyOn >= 9*len(early), "%d of %d went on", earlyOn, len(early))
			assert.Assert(t, 2*(earlyOn+lateOn) >= len(early)+len(late), "%d of %d went on", earlyOn+lateOn, len(early)+len(late))
		})
	}
}

// Guards against streams that are refused because the routers that knew of them were killed one after the other.
func TestStreamsGoOnAfterKillsInTurn(t *testing.T) {
	t.Parallel()
	f := newLongStreamFleet(t, 3, "v1", "v2")
	streams, ended := f.beginAtAll()
	<-time.After(begunBefore)
	f.replaceInTurn(4)
	ended.Wait()
	streams = incomplete(streams)
	assert.Assert(t, len(streams) > 0)
	joined, wentOn := f.resumeElsewhere(streams)
	assert.Equal(t, joined, 0)
	assert.Assert(t, 10*wentOn >= 9*len(streams), "%d of %d went on", wentOn, len(streams))
}

// Guards against streams that are joined while the store is away, and against routers that read nothing once it is back.
func TestStreamsAreNotJoinedWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := newLongStreamFleet(t, 3, "v1", "v2")
	early, earlyEnded := f.beginSome(streamsAtLoss / 2)
	<-time.After(begunBefore)
	f.store.SetDown(true)
	late, lateEnded := f.beginSome(streamsAtLoss / 2)
	f.replaceAll(0, func() {})
	earlyEnded.Wait()
	lateEnded.Wait()
	joined, _ := f.resumeElsewhere(append(early[:streamsAtLoss/4:streamsAtLoss/4], late...))
	assert.Equal(t, joined, 0)
	f.store.SetDown(false)
	f.awaitRouters(f.vms, 4)
	joined, wentOn := f.resumeElsewhere(early[streamsAtLoss/4:])
	assert.Equal(t, joined, 0)
	assert.Assert(t, 10*wentOn >= 9*streamsAtLoss/4, "%d went on", wentOn)
}

// Guards against calls to the store for the streams of a service that has one version.
func TestStreamsOfOnlyVersionAreNotAppended(t *testing.T) {
	t.Parallel()
	f := newLossFleet(t, 3, "v1")
	_, ended := f.beginAtAll()
	ended.Wait()
	for i, vm := range f.vms {
		assert.Assert(t, !strings.Contains(f.metrics(vm), `savoryfall_origin_log_calls_total{call="append"`), fmt.Sprint("router ", i))
	}
}
