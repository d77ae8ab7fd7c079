package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
)

// replace takes the servers at the front out of the list and puts as many new ones on it. What has left serves on.
func (s *surge) replace(leave, come int) {
	s.listed = s.listed[leave:]
	for range come {
		id := fmt.Sprint(s.service, "n", len(s.byID))
		v := &server{id: id, loses: len(s.byID)%5 < 3, slots: s.servers[0].slots, queue: s.servers[0].queue}
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

// goAway takes away the servers that left, which are the first.
func (s *surge) goAway(n int) {
	for _, v := range s.servers[:n] {
		v.step(s.now.Add(time.Hour))
	}
	s.servers = slices.Clone(s.servers[n:])
}

// failSome has three in five of the servers lose a third of their answers.
func (s *surge) failSome() {
	for i, v := range s.servers {
		v.loses = i%5 < 3
	}
}

// Guards against requests at engines beyond the users' bound while others lose answers, are replaced and are taken away: those that leave hold less and
// less, and the mean of all sinks below that of the ones in use. The figure in the log is how near it comes.
func TestLoadIsEvenWhileEnginesLeave(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSurge(t, seed, 72, models, 84, 64)
			s.ask(650, 1, 2*time.Second, s.stream)
			s.failSome()
			s.ask(950, 1, 2*time.Second, s.stream)
			for range 4 {
				s.replace(16, 8)
				s.ask(950, 1, 1500*time.Millisecond, s.stream)
				s.goAway(16)
			}
			t.Logf("beyond the bound %v of %v, worst five seconds %.4f", s.over, s.reached, s.worst())
			assert.Assert(t, s.worst() <= 0.03, "%.4f", s.worst())
		})
	}
}
