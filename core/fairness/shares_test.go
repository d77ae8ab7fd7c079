package fairness_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/fairness"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// ask counts n requests of each account, all at once.
func ask(s *fairness.Shares, by map[string]int) {
	for account, n := range by {
		for range n {
			s.Saw(account, start)
		}
	}
}

// Nine growers ask for a little and one for eight times as much, in a service that can take half of it all. Each grower
// was refused every second time for the sake of the tenth; now they lose nothing, and he gets what they leave.
func TestSurgeOfOneCostsTheOthersNothing(t *testing.T) {
	var s fairness.Shares
	by := map[string]int{"large": 80}
	for i := range 9 {
		by[fmt.Sprint("small", i)] = 10
	}
	ask(&s, by)
	assert.Equal(t, s.Chance("small3", 0.8, start), 1.0)
	large := s.Chance("large", 0.8, start)
	assert.Assert(t, large > 0.57 && large < 0.58, "%v", large)
	assert.Assert(t, s.Chance("small3", 0.5, start) > 0.8)
	assert.Equal(t, s.Chance("unknown", 0.5, start), 0.5)
}

// What is over is forgotten: the account that surged is treated like the others again.
func TestSurgeIsForgiven(t *testing.T) {
	var s fairness.Shares
	ask(&s, map[string]int{"large": 80, "small": 10})
	later := start.Add(15 * time.Second)
	for range 10 {
		s.Saw("large", later)
		s.Saw("small", later)
	}
	assert.Assert(t, s.Chance("large", 0.5, later) > 0.49)
}

// The same request had another chance each time, by the last digit: what the accounts asked for was added up in another
// order. A run that had seen and drawn the same could so end otherwise.
func TestSameRequestsGiveTheSameChance(t *testing.T) {
	var s fairness.Shares
	later := start
	for i := range 60 {
		later = later.Add(7 * time.Millisecond)
		s.Saw(fmt.Sprint(i%20), later)
	}
	want := s.Chance("19", 0.3, later)
	for range 200 {
		assert.Equal(t, s.Chance("19", 0.3, later), want)
	}
}

// Whatever was asked, no chance is above one, who asks for less has no smaller chance, and all together are let in as
// often as there is room.
func TestRoomIsUsedAndShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s fairness.Shares
		by := map[string]int{}
		for i := range rapid.IntRange(2, 12).Draw(t, "accounts") {
			by[fmt.Sprint(i)] = rapid.IntRange(1, 50).Draw(t, "asked")
		}
		ask(&s, by)
		part := rapid.Float64Range(0.01, 0.99).Draw(t, "part")
		total, let := 0.0, 0.0
		for account, n := range by {
			chance := s.Chance(account, part, start)
			assert.Assert(t, chance > 0 && chance <= 1)
			total += float64(n)
			let += chance * float64(n)
			for other, m := range by {
				assert.Assert(t, m >= n || s.Chance(other, part, start) >= chance-1e-9)
			}
		}
		assert.Assert(t, let > part*total-1e-6 && let < part*total+1e-6, "%v of %v", let, part*total)
	})
}
