package command

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
)

// oldProcess is how long before the test processes of endpoints have started that nothing suggests were replaced.
const oldProcess = time.Hour

// newLossFleet is a fleet with two engines of each version, whose streams take two seconds.
func newLossFleet(t *testing.T, routers int, versions ...string) *entryFleet {
	f := newEntryFleet(t, 0)
	for id := range f.endpoints {
		f.store.Put("keyed.servers", id, nil)
	}
	for i, version := range versions {
		for j := range 2 {
			f.addEngine(fmt.Sprint("v", i, "-", j), version, oldProcess)
		}
	}
	for i := range routers {
		f.start(i)
	}
	f.awaitRouters(f.vms, 2*len(versions))
	return f
}

func (f *entryFleet) addEngine(id, version string, age time.Duration) {
	f.addEndpoint(id, fakeendpoint.Options{
		Service: "models", Version: version, Slots: 32, Events: 5, EventTime: 400 * time.Millisecond, Born: time.Now().Add(-age),
	})
}

// awaitRouters waits until the routers serve, know each other and have the number of endpoints.
func (f *entryFleet) awaitRouters(vms []*entryVM, endpoints int) {
	for _, vm := range vms {
		f.waitFor("routers", func() bool {
			return vm.handler.Ready() && len(vm.otherRouters()) >= len(vms)-1 && strings.Contains(f.metrics(vm), fmt.Sprintf("savoryfall_endpoints %d\n", endpoints))
		})
	}
}

// remove has the endpoints of a version leave the list, while they go on serving.
func (f *entryFleet) remove(version int) {
	for j := range 2 {
		f.store.Put("keyed.servers", fmt.Sprint("v", version, "-", j), nil)
	}
}

// beginAtAll begins streams, spread over the routers, and returns once all have their first event. The clients leave when their
// router ends, which ended waits for.
func (f *entryFleet) beginAtAll() (streams []*stream, ended *sync.WaitGroup) {
	return f.beginSome(streamsAtLoss)
}

// beginSome is beginAtAll for a number of streams.
func (f *entryFleet) beginSome(n int) (streams []*stream, ended *sync.WaitGroup) {
	ended = &sync.WaitGroup{}
	for i := range n {
		s := &stream{first: fmt.Sprint("s", requestCount.Add(1)), versions: map[string]bool{}}
		streams = append(streams, s)
		ended.Go(func() { f.attempt(s, f.vms[i%len(f.vms)]) })
	}
	f.waitFor("first events", func() bool {
		for _, s := range streams {
			if s.received.Load() == 0 {
				return false
			}
		}
		return true
	})
	return streams, ended
}

// replaceAll kills all routers at once and starts others in their place after the time, while down happens.
func (f *entryFleet) replaceAll(after time.Duration, down func()) {
	old := f.vms
	f.killAll(old)
	f.vms = nil
	<-time.After(after)
	down()
	for i := range old {
		f.start(i)
	}
}

func (f *entryFleet) killAll(vms []*entryVM) {
	var killed sync.WaitGroup
	for _, vm := range vms {
		killed.Go(func() { f.kill(vm) })
	}
	killed.Wait()
}

// replaceInTurn kills the routers one after the other, each after the one before it has been replaced.
func (f *entryFleet) replaceInTurn(endpoints int) {
	for i := range f.vms {
		f.kill(f.vms[0])
		f.vms = f.vms[1:]
		f.start(i)
		f.awaitRouters(f.vms, endpoints)
	}
}

// resumeElsewhere has the clients take up their streams, each at a router other than the one that it began at, and returns how
// many were joined of two versions and how many went on.
func (f *entryFleet) resumeElsewhere(streams []*stream) (joined, wentOn int) {
	var clients sync.WaitGroup
	for i, s := range streams {
		clients.Go(func() { f.attempt(s, f.vms[(i+1)%len(f.vms)]) })
	}
	clients.Wait()
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
		}
		if s.complete && s.refused == 0 {
			wentOn++
		}
	}
	f.t.Logf("%d streams taken up, %d joined, %d went on", len(streams), joined, wentOn)
	return joined, wentOn
}

// streamsAtLoss is how many streams are open when all routers are lost.
const streamsAtLoss = 24

// Guards against streams that are joined of two software versions after a loss of all routers, because the routers that start
// know only the versions that are listed by then.
func TestStreamsOfVersionThatLeftAreNotJoinedAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	nothing := func(*entryFleet) {}
	remove := func(versions ...int) func(f *entryFleet) {
		return func(f *entryFleet) {
			for _, v := range versions {
				f.remove(v)
			}
		}
	}
	for name, tc := range map[string]struct {
		versions     []string
		before, down func(f *entryFleet)
		// pause is the time from what happens before to the loss, away how long all routers are away, and later how long after
		// that the clients come back.
		pause, away, later time.Duration
		left               int
	}{
		"both versions serve":                   {versions: []string{"v1", "v2"}, before: nothing, down: nothing, left: 4},
		"both versions serve, back after 2 s":   {versions: []string{"v1", "v2"}, before: nothing, down: nothing, away: 2 * time.Second, left: 4},
		"three versions serve":                  {versions: []string{"v1", "v2", "v3"}, before: nothing, down: nothing, left: 6},
		"one leaves 0.3 s before":               {versions: []string{"v1", "v2"}, before: remove(0), down: nothing, pause: 300 * time.Millisecond, left: 2},
		"one leaves in the same instant":        {versions: []string{"v1", "v2"}, before: remove(0), down: nothing, left: 2},
		"one leaves while the routers are down": {versions: []string{"v1", "v2"}, before: nothing, down: remove(0), left: 2},
		"one leaves 0.3 s before, resumed 1 s later": {
			versions: []string{"v1", "v2"}, before: remove(0), down: nothing, pause: 300 * time.Millisecond, later: time.Second, left: 2,
		},
		"one leaves while the routers are down, resumed 1 s later": {versions: []string{"v1", "v2"}, before: nothing, down: remove(0), later: time.Second, left: 2},
		"one of three leaves before, one while the routers are down": {
			versions: []string{"v1", "v2", "v3"}, before: remove(0), down: remove(1), pause: 300 * time.Millisecond, left: 2,
		},
		"all leave, a young version comes while the routers are down": {versions: []string{"v1", "v2"}, before: nothing, down: func(f *entryFleet) {
			f.remove(0)
			f.remove(1)
			f.addEngine("young", "v3", 2*time.Second)
		}, left: 1},
		"one leaves while the routers are down, the others are 2 s old": {
			versions: []string{"v1"}, before: func(f *entryFleet) {
				f.addEngine("v1-0", "v2", 2*time.Second)
				f.addEngine("v1-1", "v2", 2*time.Second)
				f.awaitRouters(f.vms, 4)
			}, down: remove(0), left: 2,
		},
		"one leaves while the routers are down, the store is away until 1 s after": {versions: []string{"v1", "v2"}, before: nothing, down: func(f *entryFleet) {
			f.store.SetDown(true)
			f.remove(0)
			time.AfterFunc(time.Second, func() { f.store.SetDown(false) })
		}, left: 2},
		"one leaves while the store is away, all routers are lost with it": {versions: []string{"v1", "v2"}, before: func(f *entryFleet) {
			f.store.SetDown(true)
			f.remove(0)
		}, pause: 300 * time.Millisecond, down: func(f *entryFleet) { f.store.SetDown(false) }, left: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLossFleet(t, 3, tc.versions...)
			streams, ended := f.beginAtAll()
			tc.before(f)
			<-time.After(tc.pause)
			f.replaceAll(tc.away, func() { tc.down(f) })
			ended.Wait()
			f.awaitRouters(f.vms, tc.left)
			<-time.After(tc.later)
			joined, _ := f.resumeElsewhere(streams)
			assert.Equal(t, joined, 0)
		})
	}
}

// Guards against streams that are joined of two software versions when the routers are killed one after the other.
func TestStreamsOfVersionThatLeftAreNotJoinedAfterKillsInTurn(t *testing.T) {
	t.Parallel()
	for name, leaves := range map[string]bool{"both versions serve": false, "one leaves first": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLossFleet(t, 3, "v1", "v2")
			streams, ended := f.beginAtAll()
			left := 4
			if leaves {
				f.remove(0)
				left = 2
				f.awaitRouters(f.vms, left)
			}
			f.replaceInTurn(left)
			ended.Wait()
			joined, _ := f.resumeElsewhere(streams)
			assert.Equal(t, joined, 0)
		})
	}
}

// Guards against streams of a service that has had one version all the time, and are refused after a loss of all routers because
// an endpoint is young.
func TestStreamsOfOnlyVersionGoOnAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	for name, age := range map[string]time.Duration{"all endpoints are old": oldProcess, "one endpoint is two seconds old": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLossFleet(t, 3, "v1")
			f.addEngine("new", "v1", age)
			f.awaitRouters(f.vms, 3)
			streams, ended := f.beginAtAll()
			f.replaceAll(0, func() {})
			ended.Wait()
			f.awaitRouters(f.vms, 3)
			joined, wentOn := f.resumeElsewhere(streams)
			assert.Equal(t, joined, 0)
			assert.Equal(t, wentOn, streamsAtLoss)
		})
	}
}
