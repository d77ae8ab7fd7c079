package retrylimit_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/retrylimit"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func limits(routers int) retrylimit.Limits {
	return retrylimit.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: routers}
}

func TestZeroValueAllowsNothing(t *testing.T) {
	var s retrylimit.Limiter
	s.RecordFirst("a", start)
	assert.Assert(t, !s.Allow("a", start))
}

// All routers are killed at once and start again with no history. Each has only its part of the slack, so together they
// must stay within the slack of the fleet.
func TestRestartsMintNoRetries(t *testing.T) {
	total := 0
	for range 10 {
		var s retrylimit.Limiter
		s.SetLimits(limits(10))
		for s.Allow("a", start) {
			total++
		}
	}
	assert.Assert(t, total <= 50, "%d", total)
	assert.Assert(t, total >= 30, "%d", total)
}

// In every window, for any sequence of requests and retries, all routers together must stay within the fleet's bound.
func TestFleetStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 4
		shares := make([]retrylimit.Limiter, routers)
		for i := range shares {
			shares[i].SetLimits(limits(routers))
		}
		var firsts, retries []time.Time
		now := start
		for range rapid.IntRange(50, 1500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			s := &shares[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				s.RecordFirst("a", now)
				firsts = append(firsts, now)
			}
			for s.Allow("a", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			begin := end.Add(-10 * time.Second)
			n, m := within(retries, begin, end), within(firsts, begin, end)
			if float64(n) > 0.2*float64(m)+50 {
				t.Fatalf("%d retries for %d requests in the window that ends at %v", n, m, end.Sub(start))
			}
		}
	})
}

// Guards against retries beyond the fleet's bound because routers forget at a restart what they retried. Clients send 40 requests a second,
// endpoints fail 0.45 of all attempts after ten seconds, and then all routers are killed at once and start a second later.
func TestFleetThatIsKilledStaysWithinItsBound(t *testing.T) {
	for name, kills := range map[string][]time.Duration{"never": nil, "once": {14 * time.Second}, "twice": {13 * time.Second, 16 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			const routers, attempts = 6, 3
			random := rand.New(rand.NewPCG(1, 1))
			var fleet [routers]retrylimit.Limiter
			for i := range fleet {
				fleet[i].SetLimits(limits(routers))
			}
			var firsts, retries []time.Time
			for at := time.Duration(0); at < 24*time.Second; at += 25 * time.Millisecond {
				now, down := start.Add(at), false
				firsts = append(firsts, now)
				for _, killed := range kills {
					down = down || at >= killed && at < killed+time.Second
				}
				if down {
					fleet = [routers]retrylimit.Limiter{}
					for i := range fleet {
						fleet[i].SetLimits(limits(routers))
					}
					continue
				}
				l := &fleet[random.IntN(routers)]
				l.RecordFirst("a", now)
				for n := 1; n < attempts && at >= 10*time.Second && random.Float64() < 0.45 && l.Allow("a", now); n++ {
					retries = append(retries, now)
				}
			}
			for _, end := range retries {
				begin := end.Add(-10 * time.Second)
				n, m := within(retries, begin, end), within(firsts, begin, end)
				assert.Assert(t, float64(n) <= 0.2*float64(m)+50, "%d retries for %d requests in the window that ends at %v", n, m, end.Sub(start))
			}
		})
	}
}

func within(times []time.Time, begin, end time.Time) (n int) {
	for _, t := range times {
		if t.After(begin) && !t.After(end) {
			n++
		}
	}
	return n
}

// The wall clock jumps; the windows must neither empty nor stand still.
func TestWindowFollowsTheGivenClock(t *testing.T) {
	var s retrylimit.Limiter
	s.SetLimits(limits(1))
	n := 0
	for s.Allow("a", start) {
		n++
	}
	assert.Assert(t, !s.Allow("a", start.Add(5*time.Second)))
	assert.Assert(t, !s.Allow("a", start.Add(9900*time.Millisecond)))
	assert.Assert(t, s.Allow("a", start.Add(11*time.Second)))
	assert.Assert(t, s.Allow("b", start))
	assert.Equal(t, n, 40)
}
