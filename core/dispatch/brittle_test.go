package dispatch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
)

// Guards against a service that counts as brittle after its endpoints are no longer, or no longer after one answer that
// was overtaken.
func TestBrittleWhileAnswersSaySo(t *testing.T) {
	d, _ := newDispatcher(4)
	capacity := func(now time.Time) int {
		_, places := d.Occupancy(plain, now)
		return places
	}
	answer := func(brittle bool, now time.Time) {
		a := choose(t, d, dispatch.Query{Service: plain}, now)
		a.RecordBrittle(brittle, now)
		a.End(dispatch.Served, now)
	}
	whole := capacity(start)
	answer(false, start)
	assert.Equal(t, capacity(start), whole)
	answer(true, start.Add(time.Second))
	assert.Equal(t, capacity(start.Add(time.Second)), whole/2, "no request may wait")
	answer(false, start.Add(1100*time.Millisecond))
	assert.Equal(t, capacity(start.Add(1100*time.Millisecond)), whole/2)
	answer(false, start.Add(3*time.Second))
	assert.Equal(t, capacity(start.Add(3*time.Second)), whole)
}

// fallsAllowed is the users' bound on how often the endpoints of a service may fall over in one brittle period.
func fallsAllowed(endpoints int) int { return 2 + endpoints/10 }

// becomeBrittle has the servers announce their limit for three seconds, after which fewer requests may wait.
func (s *surge) becomeBrittle(limit, queue int, perSecond float64, request func() (dispatch.Query, time.Duration)) {
	for _, v := range s.servers {
		v.brittle = limit
	}
	s.generate(perSecond, 1, 3*time.Second, request)
	for _, v := range s.servers {
		v.queue = queue
	}
}

func (s *surge) falls() (n int) {
	for _, v := range s.servers {
		n += v.falls
	}
	return n
}

// Guards against routers that make endpoints fall over by what they have to turn away in a surge.
func TestBrittleEndpointsStayUp(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                                  string
		routers, servers, slots, limit, queue int
		service                               string
		usual, surge                          float64
		minServed                             float64
	}{
		{name: "calls, 6 routers", routers: 6, service: plain, servers: 4, slots: 6, limit: 4, queue: 2, usual: 28, surge: 700, minServed: 0.5},
		{name: "calls, 81 routers", routers: 81, service: plain, servers: 40, slots: 6, limit: 4, queue: 2, usual: 280, surge: 7000, minServed: 0.5},
		{name: "streams, 6 routers", routers: 6, service: models, servers: 9, slots: 24, limit: 4, queue: 2, usual: 80, surge: 280, minServed: 0.5},
		{name: "streams, 81 routers", routers: 81, service: models, servers: 45, slots: 24, limit: 4, queue: 2, usual: 400, surge: 1400, minServed: 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSurge(t, 1, tc.routers, tc.service, tc.servers, tc.slots)
			request := s.stream
			if tc.service == plain {
				request = func() (dispatch.Query, time.Duration) {
					ms := 15 * math.Exp(0.5*s.random.NormFloat64()-0.125)
					return dispatch.Query{Rank: s.random.IntN(3)}, time.Duration(ms * float64(time.Millisecond))
				}
			}
			s.becomeBrittle(tc.limit, tc.queue, tc.usual, request)
			s.generate(tc.surge, 1, 3*time.Second, request)
			t.Logf("%d falls of %d servers, admitted %v of %v", s.falls(), tc.servers, s.admitted, s.asked)
			assert.Assert(t, s.falls() <= fallsAllowed(tc.servers), "%d falls", s.falls())
			assert.Assert(t, float64(s.admitted[0]) >= tc.minServed*float64(s.asked[0]), "%v of %v", s.admitted, s.asked)
		})
	}
}
