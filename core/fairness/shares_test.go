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

// observe counts the given number of requests of each account at the same time.
func observe(s *fairness.Shares, requests map[string]int) {
	for account, n := range requests {
		for range n {
			s.Observe(account, start)
		}
	}
}

// Nine accounts send a few requests and one sends eight times as many, to a service that can take half of the total.
// Without fair shares, the small accounts had every second request refused because of the large one. Now they lose
// nothing, and the large one gets what they leave.
func TestSurgeDoesNotReduceOtherAccounts(t *testing.T) {
	var s fairness.Shares
	requests := map[string]int{"large": 80}
	for i := range 9 {
		requests[fmt.Sprint("small", i)] = 10
	}
	observe(&s, requests)
	assert.Equal(t, s.AdmitProbability("small3", 0.8, start), 1.0)
	large := s.AdmitProbability("large", 0.8, start)
	assert.Assert(t, large > 0.57 && large < 0.58, "%v", large)
	assert.Assert(t, s.AdmitProbability("small3", 0.5, start) > 0.8)
	assert.Equal(t, s.AdmitProbability("unknown", 0.5, start), 0.5)
}

// Old demand decays: an account with a past surge is treated like the others again.
func TestPastSurgeHasNoLastingEffect(t *testing.T) {
	var s fairness.Shares
	observe(&s, map[string]int{"large": 80, "small": 10})
	later := start.Add(15 * time.Second)
	for range 10 {
		s.Observe("large", later)
		s.Observe("small", later)
	}
	assert.Assert(t, s.AdmitProbability("large", 0.5, later) > 0.49)
}

// The sum of the demands used to be taken in map order, so its last digit, and with it the probability, varied between
// calls. A run could then end differently in spite of the same input and the same random numbers.
func TestSameRequestsGiveTheSameProbability(t *testing.T) {
	var s fairness.Shares
	later := start
	for i := range 60 {
		later = later.Add(7 * time.Millisecond)
		s.Observe(fmt.Sprint(i%20), later)
	}
	want := s.AdmitProbability("19", 0.3, later)
	for range 200 {
		assert.Equal(t, s.AdmitProbability("19", 0.3, later), want)
	}
}

// For any demand, no probability is above 1, an account with lower demand never has a lower probability, and the
// expected number of admitted requests equals the available capacity.
func TestAdmittedFractionIsUsedAndSharedFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s fairness.Shares
		requests := map[string]int{}
		for i := range rapid.IntRange(2, 12).Draw(t, "accounts") {
			requests[fmt.Sprint(i)] = rapid.IntRange(1, 50).Draw(t, "demand")
		}
		observe(&s, requests)
		fraction := rapid.Float64Range(0.01, 0.99).Draw(t, "fraction")
		total, admitted := 0.0, 0.0
		for account, n := range requests {
			probability := s.AdmitProbability(account, fraction, start)
			assert.Assert(t, probability > 0 && probability <= 1)
			total += float64(n)
			admitted += probability * float64(n)
			for other, m := range requests {
				assert.Assert(t, m >= n || s.AdmitProbability(other, fraction, start) >= probability-1e-9)
			}
		}
		assert.Assert(t, admitted > fraction*total-1e-6 && admitted < fraction*total+1e-6, "%v of %v", admitted, fraction*total)
	})
}
