package retryschedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetstate"
	"savoryfall/core/retryschedule"
)

const (
	service = 7
	slot    = fleetstate.RetrySlot
	// freePerSecond is what becomes free, 100 in a slot.
	freePerSecond = 400
)

var start = time.Unix(1000, 0)

// bySlot counts the delays by slot.
func bySlot(s *retryschedule.Schedule, n int, now time.Time) (counts [40]int) {
	for range n {
		d := s.Promise(service, 0, 0, 8*time.Second, freePerSecond, rand.Float64(), now)
		counts[int(d/slot)]++
	}
	return counts
}

// Clients that are refused at the same moment must not return at the same moment, nor more of them in a slot than can be served.
func TestPromisesFillSlotAfterSlot(t *testing.T) {
	var s retryschedule.Schedule
	s.SetRouters(1)
	counts := bySlot(&s, 270, start)
	// What becomes free in a slot, less a standard deviation.
	assert.Equal(t, counts[0], 90)
	assert.Equal(t, counts[1], 90)
	assert.Equal(t, counts[2], 90)
	assert.Equal(t, s.Promised(), uint64(270))
	assert.Equal(t, s.Expected(service, 0, start), 90/slot.Seconds())
	assert.Equal(t, s.Expected(service, 0, start.Add(time.Second)), 0.0)
	assert.Equal(t, s.Expected(service, 1, start), 0.0)
}

// A client that has no time for a later slot must be told the latest time that it honours, and take no place.
func TestNothingIsPromisedBeyondMost(t *testing.T) {
	var s retryschedule.Schedule
	s.SetRouters(1)
	bySlot(&s, 360, start)
	assert.Equal(t, s.Promise(service, 0, 0, time.Second, 400, 0.5, start), time.Second)
	assert.Equal(t, s.Promised(), uint64(360))
	assert.Equal(t, s.Promise(service, 0, 0, 0, 400, 0.5, start), time.Duration(0))
	assert.Equal(t, s.Promise(service, 0, 0, time.Minute, 0, 0.5, start), time.Minute)
	d := s.Promise(service, 0, 0, 1100*time.Millisecond, 400, 0.99, start)
	assert.Assert(t, d >= time.Second && d < 1100*time.Millisecond, "%v", d)
	least := 1300 * time.Millisecond
	assert.Equal(t, s.Promise(service, 0, least, 8*time.Second, 400, 0, start), least)
}

// fleet makes promises at all routers in turn, which report after every interval.
func fleet(routers, perRouter int, perSecond float64, report func(i int) bool) (counts [40]int) {
	list := make([]retryschedule.Schedule, routers)
	now := start
	for range 4 {
		for range perRouter {
			for i := range list {
				list[i].SetRouters(routers)
				d := list[i].Promise(service, 0, 0, 8*time.Second, perSecond, rand.Float64(), now)
				counts[int((now.Sub(start)+d)/slot)]++
			}
		}
		now = now.Add(slot)
		var total []fleetstate.PromisedRetries
		own := make([][]fleetstate.PromisedRetries, routers)
		for i := range list {
			if report(i) {
				own[i] = list[i].Own(now)
				total = append(total, own[i]...)
			}
		}
		for i := range list {
			if report(i) {
				list[i].SetFleet(total, own[i], now.Add(2*time.Second), now)
			}
		}
	}
	return counts
}

// Routers learn of each other's promises late. When each filled the next slot by itself, it was promised as often as there are routers.
func TestRoutersDoNotPromiseTheSamePlaces(t *testing.T) {
	for _, routers := range []int{1, 6, 76} {
		for name, report := range map[string]func(int) bool{
			"all report": func(int) bool { return true }, "one is cut off": func(i int) bool { return i > 0 }, "none reports": func(int) bool { return false },
		} {
			counts := fleet(routers, 1200/routers, 4000, report)
			promised := 0
			for i, n := range counts {
				promised += n
				assert.Assert(t, n <= 1150, "%d routers, %s, slot %d: %v", routers, name, i, counts)
			}
			assert.Assert(t, promised > 4500, "%v", counts)
		}
	}
}

// Promises of a router that no longer reports, and slots that have passed, must leave nothing behind.
func TestOldPromisesAreForgotten(t *testing.T) {
	var s retryschedule.Schedule
	s.SetRouters(2)
	total := []fleetstate.PromisedRetries{{Service: service, Ahead: 2, Count: 50}, {Service: service, Ahead: 99, Count: 5}, {Service: service, Ahead: -1, Count: 5}}
	s.SetFleet(total, nil, start.Add(time.Second), start)
	at := start.Add(2 * slot)
	assert.Equal(t, s.Expected(service, 0, at), 50/slot.Seconds())
	s.SetFleet(nil, nil, at.Add(time.Second), at)
	assert.Equal(t, s.Expected(service, 0, at), 0.0)
	bySlot(&s, 10, at)
	later := at.Add(time.Hour)
	assert.Equal(t, len(s.Own(later)), 0)
	assert.Equal(t, s.Expected(service, 0, later), 0.0)
}

// What a router reported is in the sums that it gets back, and must not count twice.
func TestOwnPromisesCountOnce(t *testing.T) {
	var s retryschedule.Schedule
	s.SetRouters(1)
	bySlot(&s, 60, start)
	own := s.Own(start)
	assert.DeepEqual(t, own, []fleetstate.PromisedRetries{{Service: service, Count: 60}})
	s.SetFleet(own, own, start.Add(time.Second), start.Add(100*time.Millisecond))
	assert.Equal(t, s.Expected(service, 0, start.Add(100*time.Millisecond)), 60/slot.Seconds())
}
