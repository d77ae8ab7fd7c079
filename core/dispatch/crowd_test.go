package dispatch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/routetable"
)

// contactTime is after how long requests at a router that gets most of them must be served again.
const contactTime = 3 * time.Second

// call returns a call of a plain service, of 15 ms on average.
func (s *surge) call() (dispatch.Query, time.Duration) {
	ms := 15 * math.Exp(0.5*s.random.NormFloat64()-0.125)
	return dispatch.Query{Rank: s.random.IntN(3)}, time.Duration(ms * float64(time.Millisecond))
}

// admittedShare plays a period and returns the share of its requests that were admitted.
func (s *surge) admittedShare(perSecond float64, d time.Duration, request func() (dispatch.Query, time.Duration)) float64 {
	s.asked, s.admitted = [3]int{}, [3]int{}
	s.generate(perSecond, 1, d, request)
	asked, admitted := 0, 0
	for i := range s.asked {
		asked += s.asked[i]
		admitted += s.admitted[i]
	}
	return float64(admitted) / float64(max(asked, 1))
}

// Guards against a router that keeps to an even part of what the endpoints can take, while it gets most requests of the fleet
// and the others hardly any.
func TestMostRequestsAtOneRouter(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                                  string
		routers, servers, slots, limit, queue int
		service                               string
		perSecond                             float64
		// cold is set if the servers have just started.
		cold bool
	}{
		{name: "calls", routers: 6, service: plain, servers: 4, slots: 6, queue: 18, perSecond: 800},
		{name: "streams", routers: 6, service: models, servers: 9, slots: 24, queue: 72, perSecond: 60},
		{name: "streams, 81 routers", routers: 81, service: models, servers: 45, slots: 24, queue: 72, perSecond: 300},
		{name: "brittle, calls", routers: 6, service: plain, servers: 4, slots: 6, limit: 4, queue: 2, perSecond: 800},
		{name: "brittle, streams", routers: 6, service: models, servers: 9, slots: 24, limit: 4, queue: 2, perSecond: 60},
		{name: "brittle, streams, 81 routers", routers: 81, service: models, servers: 45, slots: 24, limit: 4, queue: 2, perSecond: 300},
		{name: "cold, streams", routers: 6, service: models, servers: 9, slots: 24, queue: 72, perSecond: 60, cold: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSurge(t, 1, tc.routers, tc.service, tc.servers, tc.slots)
			request := s.stream
			if tc.service == plain {
				request = s.call
			}
			if tc.cold {
				s.startCold()
			}
			if tc.limit > 0 {
				s.becomeBrittle(tc.limit, tc.queue, tc.perSecond, request)
			}
			usual := s.admittedShare(tc.perSecond, 3*time.Second, request)
			for crowded := range 3 {
				s.crowded, s.crowdShare = crowded, 0.95
				first := s.admittedShare(tc.perSecond, contactTime, request)
				then := s.admittedShare(tc.perSecond, 3*time.Second, request)
				t.Logf("admitted %.3f, at router %d %.3f and then %.3f; %d falls", usual, crowded, first, then, s.falls())
				assert.Check(t, then >= 0.75*usual, "%.3f, %.3f before", then, usual)
			}
			assert.Check(t, s.falls() <= fallsAllowed(tc.servers), "%d falls", s.falls())
		})
	}
}

// coldPerSecond is how many requests a second a cold server takes.
const coldPerSecond = 16

// startCold has all servers start again, and be cold for the time of a test.
func (s *surge) startCold() {
	table := routetable.New(routetable.Config{Services: []routetable.Service{
		{Name: models, Engine: true, Slots: s.servers[0].slots, CacheTokens: 300000, ColdFor: time.Minute, ColdPerSecond: coldPerSecond},
	}})
	entries := append([]directory.Entry(nil), s.listed...)
	for i := range entries {
		entries[i].Born, entries[i].Cold = 7, time.Minute
	}
	for _, d := range s.routers {
		d.SetColdBound(coldlimit.Bound{RateFactor: 1.5, Slack: 5})
		d.Configure(table)
		d.Update(entries, s.now)
	}
}

// Guards against routers that together send cold endpoints more than these can take, while most requests move from one router to
// another.
func TestColdBoundHoldsWhileMostRequestsMove(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{6, 81} {
		s := newSurge(t, 1, routers, models, 9, 64)
		s.startCold()
		s.admittedShare(200, 3*time.Second, s.stream)
		for period := range 8 {
			s.crowded, s.crowdShare = period%3, 0.95
			s.admittedShare(400, time.Duration(1+period%3)*1500*time.Millisecond, s.stream)
		}
		most := 0
		for _, v := range s.servers {
			most = max(most, v.most)
		}
		t.Logf("%d routers: %d requests in a second", routers, most)
		assert.Check(t, most <= int(1.5*coldPerSecond+5), "%d requests in a second", most)
	}
}
