package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/speed"
)

// expectation is what a router believes of the speed of an endpoint.
type expectation interface {
	ObserveReported(slowdown float64, at time.Time)
	ObserveWork(actual, expected time.Duration, at time.Time)
	Factor(now time.Time) float64
}

// oneMean believes in a single mean of the measured work.
type oneMean struct{ mean float64 }

func (m *oneMean) ObserveReported(float64, time.Time) {}

func (m *oneMean) ObserveWork(actual, expected time.Duration, _ time.Time) {
	m.mean += 0.25 * (float64(actual)/float64(expected) - 1 - m.mean)
}

func (m *oneMean) Factor(time.Time) float64 { return 1 + m.mean }

// lastReport believes in the last report, however old it is.
type lastReport struct{ reported float64 }

func (r *lastReport) ObserveReported(slowdown float64, _ time.Time) { r.reported = slowdown }

func (r *lastReport) ObserveWork(time.Duration, time.Duration, time.Time) {}

func (r *lastReport) Factor(time.Time) float64 { return max(r.reported, 1) }

const (
	endpoints = 10
	// slowPeriod and slowTime: an endpoint is slow for slowTime once in each slowPeriod.
	slowPeriod = 3 * time.Second
	slowTime   = 600 * time.Millisecond
)

// site is a service of endpoints of which every other one takes 1.3 times as long for good, and each one 2.5 times for slowTime at a time.
type site struct {
	random *rand.Rand
	// slowAt is when each endpoint is slow in the present period.
	slowAt [endpoints]time.Duration
}

func (s *site) lasting(i int) float64 { return 1 + 0.3*float64(i%2) }

func (s *site) passing(i int, elapsed time.Duration) float64 {
	if in := elapsed%slowPeriod - s.slowAt[i]; in >= 0 && in < slowTime {
		return 2.5
	}
	return 1
}

// result is how long work took relative to the usual, and who did it.
type result struct {
	mean float64
	// slow is the share of the work that an endpoint did while it was slow, lasting the share at endpoints that are slower for good.
	slow, lasting float64
}

// run sends requests one after the other, each to the endpoint of the lowest factor, one in ten to any.
func run(seed uint64, create func() expectation) (r result) {
	s := site{random: rand.New(rand.NewPCG(seed, 1))}
	var believed [endpoints]expectation
	for i := range believed {
		believed[i] = create()
	}
	const requests, gap = 12000, 10 * time.Millisecond
	for n := range requests {
		elapsed := time.Duration(n) * gap
		if elapsed%slowPeriod == 0 {
			for i := range s.slowAt {
				s.slowAt[i] = time.Duration(s.random.Float64() * float64(slowPeriod-slowTime))
			}
		}
		now := start.Add(elapsed)
		chosen, lowest := s.random.IntN(endpoints), 0.0
		if s.random.IntN(10) > 0 {
			for i, b := range believed {
				// Equal beliefs are decided by chance.
				if f := b.Factor(now) * (1 + 0.05*s.random.Float64()); lowest == 0 || f < lowest {
					chosen, lowest = i, f
				}
			}
		}
		passing := s.passing(chosen, elapsed)
		factor := s.lasting(chosen) * passing
		took := times(factor * (0.95 + 0.1*s.random.Float64()))
		believed[chosen].ObserveReported(passing, now)
		believed[chosen].ObserveWork(took, usual, now)
		r.mean += factor / requests
		if passing > 1 {
			r.slow += 1.0 / requests
		}
		if chosen%2 == 1 {
			r.lasting += 1.0 / requests
		}
	}
	return r
}

// Guards against work at endpoints that are slow for good, as if only the last report counted, and against work at endpoints that are slow
// for a moment or were so a while ago, as if one mean held both.
func TestSeparateFactorsChooseBetter(t *testing.T) {
	for seed := range uint64(5) {
		separate := run(seed, func() expectation { return &speed.Tracker{} })
		one := run(seed, func() expectation { return &oneMean{} })
		last := run(seed, func() expectation { return &lastReport{} })
		t.Logf("mean factor, share done while slow, share at endpoints slower for good: tracker %.3f, one mean %.3f, last report %.3f", separate, one, last)
		assert.Assert(t, separate.mean < one.mean && separate.mean < last.mean)
		assert.Assert(t, separate.slow <= one.slow)
		assert.Assert(t, separate.lasting < 0.6*last.lasting)
	}
}
