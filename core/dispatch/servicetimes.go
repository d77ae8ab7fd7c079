package dispatch

import (
	"math"
	"time"
)

const (
	// defaultEventTime is the time between two events of a stream until one is learned.
	defaultEventTime = 30 * time.Millisecond
	// defaultPlainTime is the time of a plain answer until one is learned.
	defaultPlainTime = 30 * time.Millisecond
)

// eventTime returns the time between two events of a stream of the service at ease: at an endpoint of usual speed with free slots. It
// is a default until one is learned.
func (d *Dispatcher) eventTime(service string) time.Duration {
	return d.times[service].orZero().event.atEase.or(defaultEventTime)
}

// plainTime returns the time of a plain answer of the service at ease. It is a default until one is learned.
func (d *Dispatcher) plainTime(service string) time.Duration {
	return d.times[service].orZero().plain.atEase.or(defaultPlainTime)
}

// serviceTimes are the times that a service takes for its work.
type serviceTimes struct {
	event, plain workTime
}

func (t *serviceTimes) orZero() *serviceTimes {
	if t == nil {
		return &serviceTimes{}
	}
	return t
}

// timesOf returns the times of the service, which may be changed.
func (d *Dispatcher) timesOf(service string) *serviceTimes {
	if d.times == nil {
		d.times = map[string]*serviceTimes{}
	}
	t := d.times[service]
	if t == nil {
		t = &serviceTimes{}
		d.times[service] = t
	}
	return t
}

// workTime is the time of one kind of work.
type workTime struct {
	// atEase is a low quantile of what endpoints of usual speed with free slots take, usual the median of all endpoints, with
	// which each of them is compared.
	atEase, usual quantile
}

const (
	easeFraction  = 0.2
	usualFraction = 0.5
	// minEasyValues is how many values at ease are awaited before others no longer count: a router that starts in a surge has
	// only those of busy endpoints.
	minEasyValues = 20
)

// observe learns from the time of a piece of work. easy is set if the endpoint had free slots and reported its usual speed.
func (w *workTime) observe(took time.Duration, easy bool) {
	w.usual.add(took, usualFraction)
	if easy || w.atEase.values < minEasyValues {
		w.atEase.add(took, easeFraction)
	}
}

// quantile estimates a quantile of durations by steps in their logarithm, so that a value far off moves it no further than any
// other. The zero value is empty.
type quantile struct {
	log    float64
	values int
}

// minQuantileStep is the least relative change by a value: the hundred values of a few streams at one endpoint change little.
const minQuantileStep = 0.004

func (q *quantile) add(d time.Duration, fraction float64) {
	if d <= 0 {
		return
	}
	v := math.Log(float64(d))
	q.values++
	if q.values == 1 {
		q.log = v
		return
	}
	step := max(1/float64(q.values), minQuantileStep)
	if v > q.log {
		q.log += step * fraction
	} else {
		q.log -= step * (1 - fraction)
	}
}

func (q *quantile) or(unknown time.Duration) time.Duration {
	if q.values == 0 {
		return unknown
	}
	return time.Duration(math.Exp(q.log))
}
