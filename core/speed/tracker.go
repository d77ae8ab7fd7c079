package speed

import (
	"math"
	"time"
)

const (
	minFactor = 0.1
	maxFactor = 10.0
	// reportTerm is the age from which a report says nothing of the endpoint's speed now.
	reportTerm = time.Second
	// forgetTime is the time without a report after which the mean of the earlier ones no longer counts, and without work after
	// which the lasting factor begins to be forgotten: an endpoint that is believed slow gets no work that could show otherwise.
	forgetTime = 30 * time.Second
	// contradiction is the factor between report and measured work from which they contradict each other.
	contradiction = 4.0
	// maxContradictions in a row make the reports distrusted, for distrustTime.
	maxContradictions = 8
	distrustTime      = 10 * time.Second
	// comparableAge is the age up to which a report is compared with work: the speed of a VM changes within a second.
	comparableAge = 250 * time.Millisecond
)

// Tracker is what is known of the speed of one endpoint. Its factors are relative to the usual speed: 2 means that work takes twice as
// long. The zero value knows nothing and has factor 1. It is not safe for concurrent use.
type Tracker struct {
	reported   float64
	reportedAt time.Time
	reports    timeMean
	recent     reportRange
	work       lastingFactor
	// contradictions counts the reports in a row that work contradicts. counted is when the last one that work was compared with
	// was made.
	contradictions  int
	counted         time.Time
	distrustedUntil time.Time
	distrusts       int
}

// ObserveReported takes the factor that the endpoint reported at some time. Reports older than the newest one are ignored.
func (t *Tracker) ObserveReported(slowdown float64, at time.Time) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) || !at.After(t.reportedAt) {
		return
	}
	slowdown = bounded(slowdown)
	if !t.Distrusted(at) {
		t.reports.add(t.reported, at.Sub(t.reportedAt))
	}
	t.recent.add(slowdown, at)
	t.reported, t.reportedAt = slowdown, at
}

// ObserveWork takes the time that work took and what it takes at an endpoint of usual speed. Work that contradicts the reports teaches
// nothing, as one of the two is wrong, but makes the reports distrusted in the end.
func (t *Tracker) ObserveWork(actual, expected time.Duration, at time.Time) {
	if actual <= 0 || expected <= 0 {
		return
	}
	measured := bounded(float64(actual) / float64(expected))
	age := at.Sub(t.reportedAt)
	weight := 1.0
	if !t.reportedAt.IsZero() && !t.Distrusted(at) {
		if age < reportTerm && t.contradicts(measured, at) {
			return
		}
		weight = teachingWeight(age)
	}
	t.work.add(math.Log(measured/t.Passing(at)), weight, at)
}

// ObserveLasting takes the lasting factor that another observer of the endpoint has learned. It counts like one observation of work.
func (t *Tracker) ObserveLasting(factor float64, at time.Time) {
	if factor > 0 && !math.IsInf(factor, 0) {
		t.work.add(math.Log(bounded(factor)), 1, at)
	}
}

// contradicts reports whether the work contradicts the newest report, and counts that if it contradicts all recent ones: work that
// ended after a change of the speed was done before. Each report counts once, as many streams of an endpoint slow down together before
// it has reported that.
func (t *Tracker) contradicts(measured float64, at time.Time) bool {
	measured /= t.work.expected(at)
	if measured <= contradiction*t.reported && measured >= t.reported/contradiction {
		t.contradictions = 0
		return false
	}
	if at.Sub(t.reportedAt) > comparableAge || t.counted.Equal(t.reportedAt) || t.recent.contains(measured, contradiction) {
		return true
	}
	t.counted = t.reportedAt
	t.contradictions++
	if t.contradictions >= maxContradictions {
		t.distrust(at)
	}
	return true
}

// distrust forgets the reports and ignores them for some time. After that the next contradiction makes them distrusted again, unless
// work has agreed with them before.
func (t *Tracker) distrust(at time.Time) {
	t.distrusts++
	t.contradictions = maxContradictions - 1
	t.reports = timeMean{}
	t.distrustedUntil = at.Add(distrustTime)
}

// teachingWeight returns how much work teaches the lasting factor beside a report of that age. Without a recent report the passing
// factor is not known, and work teaches nothing.
func teachingWeight(age time.Duration) float64 {
	if age >= forgetTime {
		return 1
	}
	return freshness(age)
}

// freshness returns how much a report of that age says of the present, from 1 to 0.
func freshness(age time.Duration) float64 {
	return max(1-max(float64(age), 0)/float64(reportTerm), 0)
}

// Passing returns the part of the factor that follows from the reports.
func (t *Tracker) Passing(now time.Time) float64 {
	age := now.Sub(t.reportedAt)
	if t.reportedAt.IsZero() || age >= forgetTime || t.Distrusted(now) {
		return 1
	}
	f := freshness(age)
	return f*t.reported + (1-f)*t.reports.value()
}

// Factor returns by which factor work is expected to take longer than usual now.
func (t *Tracker) Factor(now time.Time) float64 {
	return bounded(t.work.expected(now) * t.Passing(now))
}

// Lasting returns the part of the factor that does not depend on the reports.
func (t *Tracker) Lasting() float64 { return t.work.factor() }

// Age returns the time since the newest report or work, and the longest duration if there has been none.
func (t *Tracker) Age(now time.Time) time.Duration {
	newest := t.reportedAt
	if t.work.at.After(newest) {
		newest = t.work.at
	}
	if newest.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(newest), 0)
}

// Distrusted returns whether the reports are ignored because they contradict measured work.
func (t *Tracker) Distrusted(now time.Time) bool { return now.Before(t.distrustedUntil) }

// Distrusts returns how many times the reports have become distrusted.
func (t *Tracker) Distrusts() int { return t.distrusts }

func bounded(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }
