package latencylimit

import (
	"math"
	"time"
)

// Limit follows samples of a service and gives the factor of its slots up to which it may be kept full. The zero value
// has the bounds 0.5 and 1 and the term 2 s. It is not safe for concurrent use.
type Limit struct {
	low, high float64
	term      time.Duration

	factor float64
	// sampled and stepped are the times of the last sample and of the last step; zero if there was none.
	sampled, stepped time.Time
	ignored          uint64
}

// Sample is what was observed of a service, summed over its endpoints or averaged over the fleet.
type Sample struct {
	Slots, Running, Waiting float64
	// Latency is the mean time to the first event, or to the whole plain answer, AtEase what it is without load, and
	// Target what it should stay within; 0 is unknown.
	Latency, AtEase, Target time.Duration
	// Refused is the share of requests that endpoints refused because they were full.
	Refused float64
}

const (
	defaultLow, defaultHigh = 0.5, 1.0
	defaultTerm             = 2 * time.Second
	// startFactor leaves engines some slots for requests that routers send before they know of each other's.
	startFactor = 0.85
	// minInterval is the least time between steps.
	minInterval = 250 * time.Millisecond
	// riseTime and fallTime are the time constants of approach. They are longer than the age of sums and latencies, as
	// the factor oscillates otherwise; excess costs more than idle slots, so the fall is faster.
	riseTime = 1500 * time.Millisecond
	fallTime = 750 * time.Millisecond
	// increase is how far the factor aims above the usage, as a part of the high bound. A service that uses less of its
	// factor is not limited by it, and the factor does not grow.
	increase = 0.15
	// waitingTolerance is how much may wait, in slots, because requests arrive unevenly at the endpoints.
	waitingTolerance = 0.02
	// targetShare is where the mean latency is kept between that at ease and the target. The rest is for answers that
	// take longer than the mean.
	targetShare = 0.5
	// easeTolerance is the ratio to the latency at ease that is tolerated if there is no target or none that can be met.
	easeTolerance = 1.5
	// leastGradient bounds how far one step aims below the usage.
	leastGradient = 0.5
	// leastLatencyGradient bounds it by latency alone while no more waits than is allowed: the latency is then that of
	// requests before, or of slow work, which fewer requests speed up little.
	leastLatencyGradient = 0.8

	// maxSlots, maxRunning, maxWaiting and maxLatency bound what is believed of a sample; running and waiting requests
	// are relative to the slots.
	maxSlots   = 1e9
	maxRunning = 4
	maxWaiting = 64
	maxLatency = time.Hour
)

// SetBounds sets the bounds of the factor; bounds that are not positive, finite and ordered change nothing.
func (l *Limit) SetBounds(low, high float64) {
	if low > 0 && low <= high && !math.IsInf(high, 0) {
		l.low, l.high = low, high
	}
}

// SetTerm sets how long a sample counts; 0 and less is the default.
func (l *Limit) SetTerm(d time.Duration) { l.term = d }

// Observe takes a sample that arrived now; a sample that is nonsense or out of order is ignored and counted.
func (l *Limit) Observe(s Sample, now time.Time) {
	if !s.plausible() || now.Before(l.sampled) {
		l.ignored++
		return
	}
	if l.stale(now) {
		l.factor = l.Factor(now)
		l.stepped = now.Add(-minInterval)
	}
	l.sampled = now
	elapsed := now.Sub(l.stepped)
	if elapsed < minInterval {
		return
	}
	l.stepped = now
	goal := l.clamp(l.goal(s))
	approach := riseTime
	if goal < l.factor {
		approach = fallTime
	}
	l.factor += (goal - l.factor) * -math.Expm1(-elapsed.Seconds()/approach.Seconds())
}

// Factor returns up to which factor of its slots the service may be kept full now.
func (l *Limit) Factor(now time.Time) float64 {
	start := l.clamp(startFactor)
	switch {
	case l.sampled.IsZero():
		return start
	case l.stale(now):
		return min(l.clamp(l.factor), start)
	default:
		return l.clamp(l.factor)
	}
}

// Ignored returns how many samples were ignored.
func (l *Limit) Ignored() uint64 { return l.ignored }

// goal returns the factor to approach.
func (l *Limit) goal(s Sample) float64 {
	_, high := l.bounds()
	start := l.clamp(startFactor)
	usage := (s.Running + s.Waiting) / s.Slots
	aim := s.aim()

	// As many requests may wait as the latency allows and the bounds leave room for.
	allowed := 0.0
	if s.AtEase > 0 {
		allowed = max(min(aim/s.AtEase.Seconds(), high)-1, 0)
	}
	excess := s.Waiting/s.Slots - allowed
	gradient := 1.0
	if s.Latency > 0 && aim > 0 {
		gradient = aim / s.Latency.Seconds()
	}
	if excess > waitingTolerance || gradient < 1 || s.Refused > waitingTolerance {
		if excess <= waitingTolerance {
			gradient = max(gradient, leastLatencyGradient)
		}
		decrease := max(min(gradient, 1-max(excess, 0), 1-s.Refused), leastGradient)
		return min(max(usage, start), max(1+allowed, start)) * decrease
	}
	// The increase ends gradually as more waits, so that the goal does not jump between growth and decrease.
	grown := usage + increase*high*(1-min(max(excess, 0)/waitingTolerance, 1))
	switch {
	case s.Latency <= 0 || aim <= 0:
		// Without a latency to judge by, nothing justifies requests beyond the slots.
		grown = min(grown, 1)
	case usage > 1:
		grown = min(grown, usage*gradient, max(1+allowed, usage))
	}
	return max(start, grown)
}

// aim returns the mean latency to keep, in seconds, or 0 if nothing is known of it.
func (s Sample) aim() float64 {
	ease := s.AtEase.Seconds()
	if s.Target <= s.AtEase {
		return easeTolerance * ease
	}
	return ease + targetShare*(s.Target.Seconds()-ease)
}

func (s Sample) plausible() bool {
	return s.Slots > 0 && s.Slots <= maxSlots &&
		s.Running >= 0 && s.Running <= maxRunning*s.Slots &&
		s.Waiting >= 0 && s.Waiting <= maxWaiting*s.Slots &&
		s.Refused >= 0 && s.Refused <= 1 &&
		s.Latency >= 0 && s.Latency <= maxLatency &&
		s.AtEase >= 0 && s.AtEase <= maxLatency &&
		s.Target >= 0 && s.Target <= maxLatency
}

func (l *Limit) stale(now time.Time) bool {
	term := l.term
	if term <= 0 {
		term = defaultTerm
	}
	return l.sampled.IsZero() || now.Sub(l.sampled) > term
}

func (l *Limit) bounds() (low, high float64) {
	if l.high == 0 {
		return defaultLow, defaultHigh
	}
	return l.low, l.high
}

func (l *Limit) clamp(factor float64) float64 {
	low, high := l.bounds()
	return min(max(factor, low), high)
}
