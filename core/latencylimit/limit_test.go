package latencylimit_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/latencylimit"
)

var start = time.Unix(1000, 0)

const second = time.Second

// observe gives the limit the sample every 400 ms for the duration and returns the time at the end.
func observe(l *latencylimit.Limit, s latencylimit.Sample, from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for at := from; at.Before(end); at = at.Add(400 * time.Millisecond) {
		l.Observe(s, at)
	}
	return end
}

func plain() *latencylimit.Limit {
	l := new(latencylimit.Limit)
	l.SetBounds(1, 4)
	return l
}

func near(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance, "%.4f instead of %.4f", got, want)
}

// Guards against a router without figures that fills endpoints to the bound.
func TestZeroValueIsCareful(t *testing.T) {
	var l latencylimit.Limit
	near(t, l.Factor(start), 0.85, 0)
	near(t, plain().Factor(start), 1, 0)
	l.SetBounds(0.5, 0.7)
	near(t, l.Factor(start), 0.7, 0)
	for _, b := range [][2]float64{{0, 1}, {-1, 1}, {2, 1}, {math.NaN(), 1}, {1, math.NaN()}, {1, math.Inf(1)}} {
		l.SetBounds(b[0], b[1])
		near(t, l.Factor(start), 0.7, 0)
	}
}

// Guards against many samples that move the factor faster than one step in 250 ms.
func TestStepsAreSpaced(t *testing.T) {
	s := latencylimit.Sample{Slots: 100, Running: 100, Waiting: 50}
	var many, one latencylimit.Limit
	for i := range 250 {
		many.Observe(s, start.Add(time.Duration(i)*time.Millisecond))
	}
	one.Observe(s, start)
	near(t, many.Factor(start.Add(249*time.Millisecond)), one.Factor(start), 0)
	many.Observe(s, start.Add(250*time.Millisecond))
	assert.Assert(t, many.Factor(start.Add(250*time.Millisecond)) < one.Factor(start))
}

// Guards against a fleet that keeps sending while requests wait, and more so if more wait.
func TestWaitingLowersTheFactor(t *testing.T) {
	last := 1.0
	for _, waiting := range []float64{0, 5, 20, 40} {
		var l latencylimit.Limit
		now := observe(&l, latencylimit.Sample{Slots: 100, Running: 84, Waiting: waiting}, start, 4*second)
		f := l.Factor(now)
		assert.Assert(t, f < last, "%.0f waiting: %.3f", waiting, f)
		last = f
	}
}

// Guards against limits that ignore latencies near the target, or that refuse what the target has room for.
func TestLatencyMovesThePlainFactor(t *testing.T) {
	s := latencylimit.Sample{Slots: 100, Running: 100, AtEase: 200 * time.Millisecond, Target: second}
	l := plain()
	now := start
	for range 40 {
		// The service is kept as full as allowed, and its latency is what its queue makes it.
		s.Waiting = 100 * (l.Factor(now) - 1)
		s.Latency = time.Duration(float64(200*time.Millisecond) * l.Factor(now))
		now = observe(l, s, now, 400*time.Millisecond)
	}
	near(t, l.Factor(now), 3, 0.2)
	s.Latency = 900 * time.Millisecond
	now = observe(l, s, now, 2*second)
	assert.Assert(t, l.Factor(now) < 2.5, "%.3f", l.Factor(now))
}

// Guards against a limit that keeps sending what endpoints refuse.
func TestRefusalsLowerTheFactor(t *testing.T) {
	s := latencylimit.Sample{Slots: 100, Running: 100, Waiting: 100, Latency: 2 * second, AtEase: second, Target: 5 * second}
	kept, lowered := plain(), plain()
	now := observe(kept, s, start, 10*second)
	s.Refused = 0.3
	observe(lowered, s, start, 10*second)
	assert.Assert(t, lowered.Factor(now) < 0.75*kept.Factor(now), "%.3f, %.3f", lowered.Factor(now), kept.Factor(now))
}

// Guards against queues at endpoints of which no latency is known.
func TestUnknownLatencyAllowsTheSlots(t *testing.T) {
	for _, s := range []latencylimit.Sample{
		{Slots: 100, Running: 100},
		{Slots: 100, Running: 100, AtEase: second, Target: 4 * second},
		{Slots: 100, Running: 100, Latency: second},
	} {
		l := plain()
		near(t, l.Factor(observe(l, s, start, 20*second)), 1, 0)
	}
}

// Guards against a first sample after silence that counts for the whole silence.
func TestSampleAfterSilenceIsOneStep(t *testing.T) {
	calm := latencylimit.Sample{Slots: 100, Running: 40, Latency: second, AtEase: second, Target: 4 * second}
	full := latencylimit.Sample{Slots: 100, Running: 100, Waiting: 200, Latency: 2 * second, AtEase: second, Target: 4 * second}
	var late, first latencylimit.Limit
	now := observe(&late, calm, start, 10*second).Add(time.Minute)
	late.Observe(full, now)
	first.Observe(full, now)
	near(t, late.Factor(now), first.Factor(now), 1e-9)
	assert.Assert(t, late.Factor(now) > 0.6, "%.3f", late.Factor(now))
}

// Guards against a router that trusts old figures, and one that needs long to find back.
func TestStaleSamplesMakeItCareful(t *testing.T) {
	full := latencylimit.Sample{Slots: 100, Running: 98, Latency: second, AtEase: second, Target: 4 * second}
	var l latencylimit.Limit
	now := observe(&l, full, start, 10*second)
	assert.Assert(t, l.Factor(now) > 0.97)
	near(t, l.Factor(now.Add(3*second)), 0.85, 0)
	l.SetTerm(5 * second)
	assert.Assert(t, l.Factor(now.Add(3*second)) > 0.97)
	near(t, l.Factor(now.Add(6*second)), 0.85, 0)

	var low latencylimit.Limit
	now = observe(&low, latencylimit.Sample{Slots: 100, Running: 100, Waiting: 60}, start, 10*second)
	assert.Assert(t, low.Factor(now) < 0.6)
	assert.Assert(t, low.Factor(now.Add(time.Minute)) < 0.6, "raised by silence")
}

// Guards against nonsense that changes the factor, makes it NaN or counts as fresh.
func TestNonsenseIsIgnored(t *testing.T) {
	good := latencylimit.Sample{Slots: 100, Running: 60, Waiting: 0, Latency: second, AtEase: second, Target: 4 * second}
	change := func(f func(*latencylimit.Sample)) latencylimit.Sample { s := good; f(&s); return s }
	bad := []latencylimit.Sample{
		{},
		change(func(s *latencylimit.Sample) { s.Slots = -1 }),
		change(func(s *latencylimit.Sample) { s.Slots = math.NaN() }),
		change(func(s *latencylimit.Sample) { s.Slots = math.Inf(1) }),
		change(func(s *latencylimit.Sample) { s.Running = -1 }),
		change(func(s *latencylimit.Sample) { s.Running = math.NaN() }),
		change(func(s *latencylimit.Sample) { s.Running = 1000 }),
		change(func(s *latencylimit.Sample) { s.Waiting = -1 }),
		change(func(s *latencylimit.Sample) { s.Waiting = math.Inf(1) }),
		change(func(s *latencylimit.Sample) { s.Refused = 1.1 }),
		change(func(s *latencylimit.Sample) { s.Refused = math.NaN() }),
		change(func(s *latencylimit.Sample) { s.Latency = -1 }),
		change(func(s *latencylimit.Sample) { s.AtEase = math.MaxInt64 }),
		change(func(s *latencylimit.Sample) { s.Target = -1 }),
	}
	var l latencylimit.Limit
	l.Observe(good, start)
	want := l.Factor(start)
	for i, s := range bad {
		at := start.Add(time.Duration(i+1) * second)
		l.Observe(s, at)
		assert.Equal(t, l.Ignored(), uint64(i+1), "%+v", s)
		near(t, l.Factor(at), want, 0)
	}
	l.Observe(good, start.Add(-second))
	assert.Equal(t, l.Ignored(), uint64(len(bad)+1))
}

// Guards against a calm service that is limited below what it uses.
func TestCalmServiceIsNotLimited(t *testing.T) {
	for running := 0.0; running <= 95; running += 5 {
		s := latencylimit.Sample{Slots: 100, Running: running, Latency: second, AtEase: second, Target: 3 * second}
		for _, l := range []*latencylimit.Limit{new(latencylimit.Limit), plain()} {
			now := observe(l, s, start, 30*second)
			assert.Assert(t, l.Factor(now) > running/100, "%.0f running: %.3f", running, l.Factor(now))
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	l := plain()
	s := latencylimit.Sample{Slots: 100, Running: 100, Waiting: 40, Latency: second, AtEase: second, Target: 4 * second}
	now := start
	for b.Loop() {
		now = now.Add(300 * time.Millisecond)
		l.Observe(s, now)
	}
}

func BenchmarkFactor(b *testing.B) {
	l := plain()
	l.Observe(latencylimit.Sample{Slots: 100, Running: 100, Latency: second, AtEase: second, Target: 4 * second}, start)
	now := start.Add(second)
	for b.Loop() {
		_ = l.Factor(now)
	}
}
