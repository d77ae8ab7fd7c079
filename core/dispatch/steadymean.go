package dispatch

import (
	"math"
	"time"
)

// steadyMean is a mean in which a value loses half its weight in steadyHalfLife. The zero value is empty.
type steadyMean struct {
	sum, weight float64
	at          time.Time
}

// steadyHalfLife is the half-life of a steadyMean. One router of many sees some ten requests of a service in a second, and probabilities
// that follow the last few of them refuse more than they must: what is refused at a low estimate is not made up for at a high one.
const steadyHalfLife = 2 * time.Second

// add adds a value and returns the mean.
func (m *steadyMean) add(value float64, now time.Time) float64 {
	return m.addDecaying(value, math.Exp2(-float64(now.Sub(m.at))/float64(steadyHalfLife)), now)
}

// addDecaying adds a value after it has multiplied the weights of those before it.
func (m *steadyMean) addDecaying(value, factor float64, now time.Time) float64 {
	m.sum, m.weight, m.at = m.sum*factor+value, m.weight*factor+1, now
	return m.sum / m.weight
}

// maxSteadyAge is how long a mean counts after its last value.
const maxSteadyAge = 5 * steadyHalfLife

// or returns the mean, or the default if no value has come lately.
func (m *steadyMean) or(value float64, now time.Time) float64 {
	if m.weight == 0 || now.Sub(m.at) > maxSteadyAge {
		return value
	}
	return m.sum / m.weight
}

// lastOr returns the mean at the last value, or the default if none is known.
func (m *steadyMean) lastOr(value float64) float64 {
	if m.weight == 0 {
		return value
	}
	return m.sum / m.weight
}
