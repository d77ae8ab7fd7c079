package speed

import (
	"math"
	"time"
)

const (
	// priorTime is for how long an endpoint is taken to have had its usual speed before the first report.
	priorTime = 2 * time.Second
	// maxReportTime limits the time for which one report counts: until the next one the speed may have changed and back.
	maxReportTime = time.Second
	// meanHalfLife is the half-life of what earlier reports weigh: tens of passing slowdowns.
	meanHalfLife = 30 * time.Second
)

// timeMean is the mean of reports over time, so that many reports of one moment count no more than a single one. The zero value is 1.
type timeMean struct {
	// sum is the integral over time of what the reports exceed 1 by, and seconds the time.
	sum, seconds float64
}

// add counts a report that held for some time. A report of 0 is none.
func (m *timeMean) add(reported float64, held time.Duration) {
	if reported == 0 {
		return
	}
	f := math.Exp2(-float64(held) / float64(meanHalfLife))
	s := min(held, maxReportTime).Seconds()
	m.sum = m.sum*f + (reported-1)*s
	m.seconds = m.seconds*f + s
}

func (m *timeMean) value() float64 { return 1 + m.sum/(m.seconds+priorTime.Seconds()) }
