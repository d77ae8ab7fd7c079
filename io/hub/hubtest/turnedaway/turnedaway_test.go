package turnedaway_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// away are the routers that the store does not answer: at first the hub, and then those that read first, up to a number.
type away struct {
	mu      sync.Mutex
	names   map[string]bool
	further int
	served  map[string]bool
}

func turnAway(f *hubtest.Fleet, further int) *away {
	a := &away{names: map[string]bool{}, further: further, served: map[string]bool{}}
	for _, r := range f.Routers() {
		if r.HubName() == r.Self().Name {
			a.names[r.Self().Name] = true
		}
	}
	f.Store().Silence(a.silent)
	return a
}

func (a *away) silent(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.names[name] && !a.served[name] && a.further > 0 {
		a.names[name] = true
		a.further--
	}
	a.served[name] = !a.names[name]
	return a.names[name]
}

func (a *away) serves(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.names[name]
}

// fleets are the sizes of fleets, the time within which each of their routers must know a change, and how many routers the store
// turns away besides the hub.
var fleets = []struct {
	routers int
	bound   time.Duration
	further int
}{{6, 2 * time.Second, 2}, {10, 2 * time.Second, 3}}

// Guards against routers that stay on an old configuration, although the store serves them, because it turns away their hub and the
// first routers that read for it.
func TestServedRoutersLearnOfChangesInTime(t *testing.T) {
	for _, c := range fleets {
		for shift := range 6 {
			t.Run(fmt.Sprintf("%d routers, %d", c.routers, shift), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetWithin(t, c.routers, c.bound)
					defer f.Stop()
					time.Sleep(time.Duration(shift) * 100 * time.Millisecond)
					a := turnAway(f, c.further)
					time.Sleep(20 * time.Millisecond)
					f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
					f.RemoveEndpoint(0)
					time.Sleep(c.bound)
					f.AssertServed(a.serves, "2", hubtest.EndpointCount-1)
				})
			})
		}
	}
}

// Guards against a hub that the store turned away for a short time and that keeps, for all, an endpoint which has left meanwhile.
func TestEndpointThatLeavesWhileHubIsTurnedAwayIsNotKept(t *testing.T) {
	for _, c := range fleets {
		for shift := range 6 {
			t.Run(fmt.Sprintf("%d routers, %d", c.routers, shift), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetWithin(t, c.routers, c.bound)
					defer f.Stop()
					time.Sleep(time.Duration(shift) * 100 * time.Millisecond)
					a := turnAway(f, c.further)
					time.Sleep(20 * time.Millisecond)
					f.RemoveEndpoint(0)
					left := time.Now()
					time.Sleep(1680 * time.Millisecond)
					f.Store().Silence(nil)
					for ; time.Since(left) < 7*time.Second; time.Sleep(50 * time.Millisecond) {
						if time.Since(left) >= c.bound {
							f.AssertServed(a.serves, "1", hubtest.EndpointCount-1)
						}
					}
				})
			})
		}
	}
}

// Guards against changes that reach the routers of a large fleet late, because the store turns away two in five of them and the hub.
func TestServedRoutersOfLargeFleetsLearnOfChangesInTime(t *testing.T) {
	for _, c := range []struct {
		routers int
		bound   time.Duration
		seeds   []uint64
	}{
		// With most seeds one of the routers asked first can read; with these none can.
		{82, 3 * time.Second, []uint64{15, 23, 43, 54}},
		{300, 4 * time.Second, []uint64{15, 23}},
	} {
		for _, seed := range c.seeds {
			t.Run(fmt.Sprintf("%d routers, seed %d", c.routers, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetWithin(t, c.routers, c.bound)
					defer f.Stop()
					random := rand.New(rand.NewPCG(seed, seed))
					a := &away{names: map[string]bool{}, served: map[string]bool{}}
					for _, r := range f.Routers() {
						a.names[r.Self().Name] = r.HubName() == r.Self().Name || random.Float64() < 0.4
					}
					f.Store().Silence(a.silent)
					time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
					f.Store().Put(fakestore.ConfigurationTopic, "config", "2")
					f.RemoveEndpoint(0)
					time.Sleep(c.bound)
					f.AssertServed(a.serves, "2", hubtest.EndpointCount-1)
				})
			})
		}
	}
}

// Guards against routers that stay on an old configuration after an outage of the store, although it serves them, because their hub
// is turned away right after it and dismisses or loses the routers that could read for it.
func TestServedRoutersLearnOfChangesAfterOutage(t *testing.T) {
	for _, routers := range []int{6, 10} {
		for shift := range 10 {
			t.Run(fmt.Sprintf("%d routers, %d", routers, shift), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetWithin(t, routers, 2*time.Second)
					defer f.Stop()
					time.Sleep(time.Duration(shift) * 60 * time.Millisecond)
					f.Store().Refuse(func(string) bool { return true })
					time.Sleep(2500 * time.Millisecond)
					f.Store().Refuse(nil)
					back := time.Now()
					time.Sleep(400 * time.Millisecond)
					a := turnAway(f, 0)
					f.Store().Silence(nil)
					f.Store().Refuse(a.silent)
					for version, after := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, time.Second} {
						time.Sleep(time.Until(back.Add(after)))
						f.Store().Put(fakestore.ConfigurationTopic, "config", fmt.Sprint(version+2))
					}
					// From then on the store counts as back.
					time.Sleep(time.Until(back.Add(3 * time.Second)))
					f.AssertServed(a.serves, "4", hubtest.EndpointCount)
				})
			})
		}
	}
}
