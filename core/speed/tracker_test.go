package speed_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/speed"
)

var start = time.Unix(1000, 0)

const usual = 30 * time.Millisecond

func near(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance, "got %.3f, want %.3f", got, want)
}

// times returns the usual time multiplied by a factor.
func times(factor float64) time.Duration { return time.Duration(factor * float64(usual)) }

// work lets the tracker observe work that takes a factor of the usual time, n times, with a report of it each time.
func work(s *speed.Tracker, n int, factor, reported float64, now time.Time) time.Time {
	for range n {
		now = now.Add(20 * time.Millisecond)
		s.ObserveReported(reported, now)
		s.ObserveWork(times(factor), usual, now)
	}
	return now
}

// Guards against a router that prefers or avoids endpoints of which it knows nothing.
func TestUnknownEndpointHasFactorOne(t *testing.T) {
	var s speed.Tracker
	assert.Equal(t, s.Factor(start), 1.0)
	assert.Equal(t, s.Lasting(), 1.0)
	assert.Equal(t, s.Age(start), time.Duration(math.MaxInt64))
}

// Guards against a report that counts after the slowdown has passed: it fades within a second to the mean of the reports.
func TestReportFadesToMean(t *testing.T) {
	var s speed.Tracker
	now := start
	for i := range 200 {
		now = now.Add(100 * time.Millisecond)
		// 0.5 s of every 2 s.
		reported := 1.0
		if i%20 < 5 {
			reported = 2.5
		}
		s.ObserveReported(reported, now)
	}
	s.ObserveReported(2.5, now.Add(time.Millisecond))
	now = now.Add(time.Millisecond)
	mean := 1 + 1.5/4
	assert.Equal(t, s.Factor(now), 2.5)
	near(t, s.Factor(now.Add(500*time.Millisecond)), (2.5+mean)/2, 0.1)
	near(t, s.Factor(now.Add(time.Second)), mean, 0.1)
	near(t, s.Factor(now.Add(5*time.Second)), mean, 0.1)
	assert.Equal(t, s.Factor(now.Add(30*time.Second)), 1.0)
	assert.Equal(t, s.Age(now.Add(time.Minute)), time.Minute)
}

// Guards against a mean of reports that many answers within one slowdown pull up.
func TestMeanOfReportsIsOverTime(t *testing.T) {
	var s speed.Tracker
	for i := range 100 {
		s.ObserveReported(5, start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 20 {
		s.ObserveReported(1, start.Add(time.Duration(i+1)*500*time.Millisecond))
	}
	near(t, s.Factor(start.Add(20*time.Second)), 1.16, 0.06)
}

// Guards against taking passing slowdowns for a lasting one, and against missing a lasting one beneath them.
func TestLastingFactorWithoutPassingOne(t *testing.T) {
	for _, lasting := range []float64{0.77, 1, 1.3} {
		var s speed.Tracker
		now := start
		for range 20 {
			now = work(&s, 30, lasting, 1, now)
			now = work(&s, 30, 2.5*lasting, 2.5, now)
		}
		near(t, s.Lasting(), lasting, 0.06)
		near(t, s.Factor(now), 2.5*lasting, 0.15)
	}
}

// Guards against a lasting factor that single pauses move: an engine that reads a long prompt pauses all its streams.
func TestLongPausesHardlyCount(t *testing.T) {
	var s speed.Tracker
	now := start
	for range 40 {
		now = work(&s, 9, 1.3, 1, now)
		s.ObserveWork(times(1.3*3.8), usual, now)
		now = work(&s, 10, 1.3, 1, now)
		s.ObserveWork(times(20), usual, now)
	}
	near(t, s.Lasting(), 1.3, 0.08)
}

// Guards against learning from work while it is not known how slow the endpoint was then.
func TestWorkTeachesNothingWithoutRecentReport(t *testing.T) {
	var s speed.Tracker
	now := work(&s, 100, 1, 1, start).Add(2 * time.Second)
	for range 100 {
		s.ObserveWork(times(2.5), usual, now)
	}
	near(t, s.Lasting(), 1, 0.01)
	now = now.Add(time.Minute)
	for range 400 {
		s.ObserveWork(times(2.5), usual, now)
	}
	near(t, s.Lasting(), 2.5, 0.1)
}

// Guards against an endpoint that gets no work for good because it once was slow.
func TestLastingFactorIsForgottenWithoutWork(t *testing.T) {
	var s speed.Tracker
	now := start
	for range 200 {
		s.ObserveWork(times(6), usual, now)
	}
	near(t, s.Factor(now), 6, 0.5)
	assert.Assert(t, s.Factor(now.Add(3*time.Minute)) < 1.15, "%v", s.Factor(now.Add(3*time.Minute)))
}

// Guards against a report that is wrong by a factor of ten either way: within eight contradicted reports after the last one that was
// right the endpoint's factor is that of its work, the reports are ignored for ten seconds, and right ones count again after that.
func TestLyingReportsAreFoundOut(t *testing.T) {
	for _, lie := range []float64{0.1, 10} {
		var s speed.Tracker
		now := work(&s, 100, 1.3, 1, start)
		now = work(&s, 8, 1.3, lie, now.Add(time.Second))
		assert.Assert(t, s.Distrusted(now))
		assert.Equal(t, s.Distrusts(), 1)
		near(t, s.Factor(now), 1.3, 0.1)
		now = work(&s, 200, 1.3, lie, now)
		near(t, s.Factor(now), 1.3, 0.1)
		now = work(&s, 500, 1.3, lie, now)
		assert.Equal(t, s.Distrusts(), 2)
		now = work(&s, 100, 1.3, 1, now.Add(10*time.Second))
		assert.Assert(t, !s.Distrusted(now))
		near(t, s.Factor(now), 1.3, 0.1)
	}
}

// Guards against reports that are believed for eight more answers each time the distrust ends, and against distrust of an endpoint that
// no longer lies.
func TestNextContradictionRenewsDistrust(t *testing.T) {
	var s speed.Tracker
	now := work(&s, 100, 1, 1, start)
	now = work(&s, 8, 1, 10, now.Add(time.Second)).Add(10 * time.Second)
	now = work(&s, 1, 1, 10, now)
	assert.Equal(t, s.Distrusts(), 2)
	now = work(&s, 1, 1, 1, now.Add(10*time.Second))
	work(&s, 7, 1, 10, now.Add(time.Second))
	assert.Equal(t, s.Distrusts(), 2)
}

// Guards against distrust of an endpoint whose many streams slow down by five before it has reported that, or end late after it is over.
func TestChangeOfSpeedIsNoContradiction(t *testing.T) {
	var s speed.Tracker
	now := work(&s, 100, 1, 1, start)
	for range 50 {
		for range 30 {
			s.ObserveWork(times(5), usual, now)
		}
		now = work(&s, 30, 5, 5, now)
		s.ObserveReported(1, now.Add(time.Millisecond))
		for range 10 {
			now = now.Add(5 * time.Millisecond)
			s.ObserveReported(1, now)
			s.ObserveWork(times(5), usual, now)
		}
		now = work(&s, 100, 1, 1, now)
	}
	assert.Equal(t, s.Distrusts(), 0)
	near(t, s.Lasting(), 1, 0.1)
}

// Guards against figures that are no speed, against older reports in place of newer ones, and against factors out of bounds.
func TestNonsenseIsIgnored(t *testing.T) {
	var s speed.Tracker
	for _, f := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		s.ObserveReported(f, start)
		s.ObserveLasting(f, start)
	}
	s.ObserveWork(0, usual, start)
	s.ObserveWork(usual, 0, start)
	s.ObserveWork(-usual, usual, start)
	assert.Equal(t, s.Age(start), time.Duration(math.MaxInt64))
	s.ObserveReported(1e9, start)
	assert.Equal(t, s.Factor(start), 10.0)
	s.ObserveReported(2, start.Add(-time.Second))
	s.ObserveReported(2, start)
	assert.Equal(t, s.Factor(start), 10.0)
	s.ObserveReported(1e-9, start.Add(time.Second))
	assert.Equal(t, s.Factor(start.Add(time.Second)), 0.1)
	assert.Equal(t, s.Age(start), time.Duration(0))
}

// Guards against a router that has sent an endpoint nothing and does not use what the others know of it.
func TestLastingFactorOfOthers(t *testing.T) {
	var s speed.Tracker
	for i := range 50 {
		s.ObserveLasting(1.3, start.Add(time.Duration(i)*time.Second))
	}
	near(t, s.Lasting(), 1.3, 0.05)
}

func BenchmarkObserveReported(b *testing.B) {
	var s speed.Tracker
	for i := range b.N {
		s.ObserveReported(1+float64(i%2), start.Add(time.Duration(i)*time.Millisecond))
	}
}

func BenchmarkObserveWork(b *testing.B) {
	var s speed.Tracker
	s.ObserveReported(1, start)
	for i := range b.N {
		s.ObserveWork(times(1+float64(i%2)), usual, start.Add(time.Duration(i%900)*time.Millisecond))
	}
}

func BenchmarkFactor(b *testing.B) {
	var s speed.Tracker
	now := work(&s, 100, 1.3, 2.5, start).Add(300 * time.Millisecond)
	sum := 0.0
	for range b.N {
		sum += s.Factor(now)
	}
	assert.Assert(b, sum > 0)
}
