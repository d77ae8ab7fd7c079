package speed

import "time"

// rangeTime is the length of the periods of a reportRange: about as long as a passing slowdown lasts.
const rangeTime = 500 * time.Millisecond

// reportRange is the lowest and the highest report of the current period and the one before it. Work that has ended was done at the
// speed of a moment ago, which the newest report need not tell any more. The zero value is empty.
type reportRange struct {
	since                   time.Time
	low, high               float64
	earlierLow, earlierHigh float64
}

func (r *reportRange) add(reported float64, at time.Time) {
	if at.Sub(r.since) < rangeTime {
		r.low, r.high = min(r.low, reported), max(r.high, reported)
		return
	}
	r.earlierLow, r.earlierHigh = r.low, r.high
	if at.Sub(r.since) >= 2*rangeTime {
		r.earlierLow, r.earlierHigh = reported, reported
	}
	r.since, r.low, r.high = at, reported, reported
}

// contains reports whether the factor is in the range, widened by a margin on both sides.
func (r *reportRange) contains(factor, margin float64) bool {
	return factor >= min(r.low, r.earlierLow)/margin && factor <= max(r.high, r.earlierHigh)*margin
}
