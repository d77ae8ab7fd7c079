package state_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"savoryfall/core/fleetstate"
	"savoryfall/core/members"
	"savoryfall/io/hub"
	"savoryfall/io/hub/hubtest"
	"savoryfall/platform/evacuation"
)

func TestMain(m *testing.M) { hubtest.Main(m) }

// busyState is the state of a router under load, of which all figures change from one report to the next.
type busyState struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints int
	// interval is 0 until the test starts the load.
	interval time.Duration
	totals   fleetstate.Totals
	setAt    time.Time
	asked    int
}

const (
	// heldPerEndpoint are the tokens that each router holds at each endpoint.
	heldPerEndpoint = 1000
	// accountsPerRank and retrySlots are the entries of each service and rank.
	stateServices, stateRanks, accountsPerRank, retrySlots = 3, 2, 8, 4
)

func (s *busyState) StateInterval(time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interval
}

func (s *busyState) StateLimits() fleetstate.Limits { return fleetstate.Limits{Accounts: 32} }

func (s *busyState) OwnState(time.Time) (r fleetstate.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	for e := range s.endpoints {
		r.Endpoints = append(r.Endpoints, fleetstate.EndpointState{
			Endpoint: uint32(e+1) * 2654435761, Running: 12 + s.random.IntN(20), Waiting: s.random.IntN(4), Slots: 24, Age: time.Duration(s.random.IntN(400)) * time.Millisecond,
			Slowdown: 1 + float32(s.random.IntN(4))/2, Lasting: 1 + float32(s.random.IntN(300))/1000, HeldTokens: heldPerEndpoint,
		})
	}
	for service := range uint32(stateServices) {
		hash := service*2654435769 + 1
		for rank := range stateRanks {
			for range accountsPerRank {
				r.Accounts = append(r.Accounts, fleetstate.AccountDemand{
					Service: hash, Rank: rank, Account: uint32(1+s.random.IntN(100)) * 2246822519, Accounts: 1, Arrivals: s.random.Float32() * 10,
				})
			}
			for ahead := range retrySlots {
				r.Retries = append(r.Retries, fleetstate.PromisedRetries{Service: hash, Rank: rank, Ahead: ahead, Count: 1 + s.random.IntN(5)})
			}
		}
		r.Latencies = append(r.Latencies, fleetstate.ServiceLatency{Service: hash, Answers: s.random.Float32() * 20, TotalMs: s.random.Float32() * 9000})
	}
	return r
}

func (s *busyState) SetFleetState(t fleetstate.Totals, _ fleetstate.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals, s.setAt = t, now
}

func (s *busyState) setInterval(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interval = interval
}

// newest returns the newest totals and their time.
func (s *busyState) newest() (t fleetstate.Totals, at time.Time, asked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals, s.setAt, s.asked
}

// stateFleet is a simulated fleet whose routers share their states.
type stateFleet struct {
	*hubtest.Fleet
	t *testing.T
	// states are the states of the routers by name.
	states map[string]*busyState
}

// newStateFleet starts n routers for a number of endpoints, without load.
func newStateFleet(t *testing.T, n, endpoints int) *stateFleet {
	f := &stateFleet{t: t, states: map[string]*busyState{}}
	f.Fleet = hubtest.NewWithStates(t, n, evacuation.Decoder{}, func(name string) hub.FleetState {
		f.states[name] = &busyState{random: rand.New(rand.NewPCG(uint64(len(f.states)+1), 1)), endpoints: endpoints}
		return f.states[name]
	})
	return f
}

func (f *stateFleet) setStateInterval(interval time.Duration) {
	for _, r := range f.Routers() {
		f.states[r.Self().Name].setInterval(interval)
	}
}

// assertStates checks that each router has totals of at most the given age, of that many routers.
func (f *stateFleet) assertStates(routers int, age time.Duration) {
	f.t.Helper()
	for _, r := range f.Routers() {
		t, at, _ := f.states[r.Self().Name].newest()
		assert.Assert(f.t, time.Since(at) <= age, "%s has totals of %v ago", r.Self().Name, time.Since(at))
		assert.Equal(f.t, t.Routers, routers, r.Self().Name)
		for _, e := range t.Endpoints {
			assert.Equal(f.t, e.HeldTokens, routers*heldPerEndpoint, r.Self().Name)
		}
		assert.Equal(f.t, len(t.Endpoints), f.states[r.Self().Name].endpoints)
	}
}

var peerBytes = regexp.MustCompile(`savoryfall_control_bytes_total\{kind="peer",direction="\w+"\} (\d+)`)

// controlBytes returns the bytes that a router has sent to others and received from them, by its metrics.
func controlBytes(meter *metrics.Set) (sum int) {
	var b bytes.Buffer
	meter.WritePrometheus(&b)
	for _, m := range peerBytes.FindAllStringSubmatch(b.String(), -1) {
		n, _ := strconv.Atoi(m[1])
		sum += n
	}
	return sum
}

// bytesPerSecond returns the bytes per second of the busiest hub and of the mean router that is no hub, for the given time.
func (f *stateFleet) bytesPerSecond(d time.Duration) (hub, others int) {
	isHub, before := map[string]bool{}, map[string]int{}
	for _, r := range f.Routers() {
		isHub[r.HubName()] = true
		before[r.Self().Name] = controlBytes(r.Meter())
	}
	time.Sleep(d)
	n := 0
	for _, r := range f.Routers() {
		perSecond := int(float64(controlBytes(r.Meter())-before[r.Self().Name]) / d.Seconds())
		if isHub[r.Self().Name] {
			hub = max(hub, perSecond)
		} else {
			others += perSecond
			n++
		}
	}
	return hub, others / max(n, 1)
}

// Guards against sums that lack routers or count them twice, with one hub and with hubs in levels, against messages while there is
// nothing to report, and against reports that grow with the fleet. HUB_ROUTERS sets the size of the large fleet, which has eight
// endpoints for ten routers.
func TestFleetStateReachesAllRouters(t *testing.T) {
	for _, routers := range []int{6, hubtest.LargeFleet(76)} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStateFleet(t, routers, max(routers*8/10, 6))
				defer f.Stop()
				hubIdle, othersIdle := f.bytesPerSecond(2 * time.Second)
				for _, r := range f.Routers() {
					_, _, asked := f.states[r.Self().Name].newest()
					assert.Equal(t, asked, 0)
				}
				for _, load := range []struct {
					name                     string
					interval, settle, period time.Duration
				}{{"busy", 400 * time.Millisecond, 2 * time.Second, 3 * time.Second}, {"calm", 1500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}} {
					f.setStateInterval(load.interval)
					time.Sleep(load.settle)
					hub, others := f.bytesPerSecond(load.period)
					f.assertStates(routers, load.interval+300*time.Millisecond)
					t.Logf("%s, %d routers: %d bytes/s more at the busiest hub and %d at the mean of the others, beside %d and %d",
						load.name, routers, hub-hubIdle, others-othersIdle, hubIdle, othersIdle)
					assert.Assert(t, others-othersIdle < 150*routers+6000, "%d", others-othersIdle)
				}
				f.setStateInterval(0)
				time.Sleep(4 * time.Second)
				_, _, before := f.states[f.Routers()[0].Self().Name].newest()
				hub, _ := f.bytesPerSecond(2 * time.Second)
				_, _, after := f.states[f.Routers()[0].Self().Name].newest()
				assert.Equal(t, after, before)
				// A report more or less in the period is within the bound.
				assert.Assert(t, hub < hubIdle*5/4+500, "%d bytes/s, before the load %d", hub, hubIdle)
			})
		})
	}
}

// Guards against totals that stay old, or count routers that are gone: a router starts, the first hub is lost, and half of the routers
// leave.
func TestFleetStateFollowsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStateFleet(t, 24, 4)
		defer f.Stop()
		const interval = 400 * time.Millisecond
		f.setStateInterval(interval)
		time.Sleep(2 * time.Second)
		f.assertStates(24, time.Second)

		f.Start(members.Member{Name: "new", Address: "10.0.9.9:1", FailureDomain: "domain0", Bears: 1}, false)
		f.setStateInterval(interval)
		time.Sleep(3 * time.Second)
		f.assertStates(25, time.Second)

		hub := f.Routers()[20].HubName()
		f.Kill(true, func(m members.Member) bool { return m.Name == hub })
		time.Sleep(4 * time.Second)
		f.assertStates(24, time.Second)

		i := 0
		f.Kill(false, func(members.Member) bool { i++; return i%2 == 0 })
		time.Sleep(4 * time.Second)
		f.assertStates(12, time.Second)
	})
}
