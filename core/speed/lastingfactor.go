package speed

import (
	"math"
	"time"
)

const (
	// priorObservations is how many observations at the usual speed every endpoint is credited with.
	priorObservations = 4.0
	// maxObservations is how many observations decide.
	maxObservations = 64.0
	// maxDeviation limits how far from what was learned, in its logarithm, an observation counts: a stream pauses for many steps
	// when the engine reads a long prompt.
	maxDeviation = 0.5
)

// lastingFactor is a mean of logarithms that a few observations far off hardly move. The zero value is factor 1.
type lastingFactor struct {
	log, weight float64
	at          time.Time
}

// add takes an observation of the logarithm.
func (l *lastingFactor) add(log, weight float64, at time.Time) {
	if weight <= 0 {
		return
	}
	l.log = l.logAt(at)
	l.weight = min(l.weight+weight, maxObservations)
	l.log += weight / (l.weight + priorObservations) * min(max(log-l.log, -maxDeviation), maxDeviation)
	if at.After(l.at) {
		l.at = at
	}
}

// logAt returns the logarithm after some time without an observation. It is kept for forgetTime and halves in each one after that.
func (l *lastingFactor) logAt(now time.Time) float64 {
	idle := now.Sub(l.at)
	if idle <= forgetTime || l.at.IsZero() {
		return l.log
	}
	return l.log * math.Exp2(-float64(idle-forgetTime)/float64(forgetTime))
}

// expected returns the factor to expect.
func (l *lastingFactor) expected(now time.Time) float64 { return bounded(math.Exp(l.logAt(now))) }

// factor returns the factor as of the newest observation.
func (l *lastingFactor) factor() float64 { return bounded(math.Exp(l.log)) }
