package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	pauseRouters, pauseEngines, pauseSlots = 6, 9, 24
	// refusingEngines of the engines refuse everything for refusalTime, more than one pause and less than two.
	refusingEngines = 3
	refusalTime     = 4 * time.Second
)

// playRefusals has some engines refuse all requests for a while, and ask for the pause with each refusal. It returns how
// many requests they refused.
func playRefusals(t *testing.T, seed uint64, pause time.Duration) (s *surge, refused int) {
	s = newSurge(t, seed, pauseRouters, models, pauseEngines, pauseSlots)
	s.generate(110, 1, 3*time.Second, s.stream)
	for _, v := range s.servers[:refusingEngines] {
		v.refusesUntil, v.pause = s.now.Add(refusalTime), pause
	}
	s.generate(110, 1, 12*time.Second, s.stream)
	for _, v := range s.servers {
		refused += v.refused
	}
	t.Logf("pause %v: engines refused %d, beyond the bound %v of %v, let in %v of %v", pause, refused, s.beyondBound, s.arrivals, s.admitted, s.asked)
	return s, refused
}

// Guards against endpoints that are overloaded by the load of those that pause, and against a rush to these at the end
// of their pauses: no kind of request may be served less often than without pauses.
func TestPausesNeitherOverloadTheOthersNorEndInARush(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			without, _ := playRefusals(t, seed, 0)
			with, refused := playRefusals(t, seed, 3*time.Second)
			// Each router finds out once for each engine, and once more as its first pause ends before the refusals do.
			assert.Assert(t, refused <= 2*pauseRouters*refusingEngines, "%d", refused)
			assert.Assert(t, with.worstShare() <= 0.03, "%.3f", with.worstShare())
			for rank := range with.admitted {
				assert.Assert(t, with.admitted[rank] >= without.admitted[rank], "%v and %v", with.admitted, without.admitted)
			}
		})
	}
}
