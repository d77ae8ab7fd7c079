package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
)

// replace removes the first servers from the directory and adds new ones. The removed ones still serve.
func (s *surge) replace(leave, come int) {
	s.listed = s.listed[leave:]
	for range come {
		id := fmt.Sprint(s.service, "n", len(s.byID))
		v := &server{id: id, losesAnswers: len(s.byID)%5 < 3, slots: s.servers[0].slots, queue: s.servers[0].queue}
		s.servers = append(s.servers, v)
		s.byID[id] = v
		s.listed = append(s.listed, directory.Entry{
			ID: id, Address: "10.0.1." + id, Service: s.service, Slots: v.slots, FailureDomain: "a",
		})
	}
	for _, d := range s.routers {
		d.Update(s.listed, s.now)
	}
}

// stopOldest stops the first n servers, which have left the directory.
func (s *surge) stopOldest(n int) {
	for _, v := range s.servers[:n] {
		v.advance(s.now.Add(time.Hour))
	}
	s.servers = slices.Clone(s.servers[n:])
}

// loseAnswers has three in five of the servers lose a third of their answers.
func (s *surge) loseAnswers() {
	for i, v := range s.servers {
		v.losesAnswers = i%5 < 3
	}
}

// Guards against requests at engines beyond the users' bound while some engines lose answers, are replaced and
// stopped: those that leave hold fewer and fewer requests, and the mean of all sinks below that of the ones in use.
// The figure in the log shows how near it comes to the bound.
func TestLoadIsEvenWhileEnginesLeave(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSurge(t, seed, 72, models, 84, 64)
			s.generate(650, 1, 2*time.Second, s.stream)
			s.loseAnswers()
			s.generate(950, 1, 2*time.Second, s.stream)
			for range 4 {
				s.replace(16, 8)
				s.generate(950, 1, 1500*time.Millisecond, s.stream)
				s.stopOldest(16)
			}
			t.Logf("beyond the bound %v of %v, worst five seconds %.4f", s.beyondBound, s.arrivals, s.worstShare())
			assert.Assert(t, s.worstShare() <= 0.03, "%.4f", s.worstShare())
		})
	}
}
