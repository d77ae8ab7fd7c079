package command

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

// crowd counts the requests of each period and those that were served at the first attempt.
type crowd struct {
	mu           sync.Mutex
	sent, served map[string]int
}

// play sends requests on new connections, of which most go to one router, or to all in turn if it is negative.
func (c *crowd) play(f *entryFleet, period string, crowded int, interval, d time.Duration) {
	var clients sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		vm := f.vms[n%len(f.vms)]
		if crowded >= 0 && n%10 > 0 {
			vm = f.vms[crowded]
		}
		for _, r := range []testclient.Request{
			{Method: "GET", Path: "/read/x"}, {Method: "POST", Path: "/book/x"}, {Method: "POST", Path: "/draft/x", Prompt: fmt.Sprintf("ba5e:2000,%x:300,%x:20", n%7, 0x10000+n)},
		} {
			r.Host, r.Key, r.ID = "shop.example", "good", fmt.Sprint("w", requestCount.Add(1))
			clients.Go(func() {
				a := testclient.Send(vm.clientServer.Address(), r)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.sent[period]++
				if a.Status == 200 && a.Complete {
					c.served[period]++
				}
			})
		}
		<-time.After(interval)
	}
	clients.Wait()
}

func (c *crowd) share(period string) float64 {
	return float64(c.served[period]) / float64(max(c.sent[period], 1))
}

// Guards against a router that refuses what it could serve while most new connections of a region come to it, and against the
// next one that does when they move there.
func TestMostConnectionsAtOneRouter(t *testing.T) {
	t.Parallel()
	for name, brittle := range map[string]int{"usual endpoints": 0, "brittle endpoints": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 6)
			for i := range 3 {
				id := fmt.Sprint("o", i)
				f.addEndpoint(id, fakeendpoint.Options{Service: "other", Slots: 8, ResponseTime: 60 * time.Millisecond})
				f.endpoints[id].SetBrittle(brittle)
			}
			f.store.Put("keyed.servers", "q0", nil)
			f.putConfiguration(2, "good", "other")
			for _, vm := range f.vms {
				f.waitFor("calls go to the endpoints", func() bool {
					return vm.configTracker.Current().Version() == 2 && vm.routers.Load() == 6 && f.get(vm, "/read/x", "good").Status == 200
				})
			}
			c := &crowd{sent: map[string]int{}, served: map[string]int{}}
			c.play(f, "before", -1, 15*time.Millisecond, 3*time.Second)
			for vm := range 2 {
				c.play(f, fmt.Sprint("first at ", vm), vm, 8*time.Millisecond, contactTime)
				c.play(f, fmt.Sprint("then at ", vm), vm, 8*time.Millisecond, contactTime)
			}
			for period, n := range c.sent {
				t.Logf("%s: %.3f of %d served at the first attempt", period, c.share(period), n)
			}
			for vm := range 2 {
				assert.Check(t, c.share(fmt.Sprint("then at ", vm)) >= 0.75*c.share("before"))
			}
		})
	}
}
