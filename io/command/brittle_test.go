package command

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
)

// Guards against routers that make brittle endpoints fall over by what these have to turn away in a surge.
func TestBrittleEndpointsInSurge(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	const endpoints, limit = 3, 4
	for i := range endpoints {
		id := fmt.Sprint("o", i)
		f.addEndpoint(id, fakeendpoint.Options{Service: "other", Slots: 6, ResponseTime: 20 * time.Millisecond})
		f.endpoints[id].SetBrittle(limit)
	}
	f.store.Put("keyed.servers", "q0", nil)
	f.putConfiguration(2, "good", "other")
	for _, vm := range f.vms {
		f.waitFor("calls go to the brittle endpoints", func() bool {
			return vm.configTracker.Current().Version() == 2 && vm.routers.Load() == 3 && f.get(vm, "/read/x", "good").Status == 200
		})
	}
	// Four clients for each place, which ask again at once.
	var clients sync.WaitGroup
	var served, refused atomic.Int64
	for c := range 4 * endpoints * 6 {
		clients.Go(func() {
			for began := time.Now(); time.Since(began) < contactTime; {
				switch f.get(f.vms[c%3], "/read/x", "good").Status {
				case 200:
					served.Add(1)
				default:
					refused.Add(1)
				}
				<-time.After(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	falls := 0
	for i := range endpoints {
		falls += f.endpoints[fmt.Sprint("o", i)].Falls()
	}
	t.Logf("%d falls, %d served, %d refused", falls, served.Load(), refused.Load())
	assert.Assert(t, falls <= 2+endpoints/10, "%d falls", falls)
	assert.Assert(t, served.Load() > 0)
}
