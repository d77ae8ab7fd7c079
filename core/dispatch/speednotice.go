package dispatch

import (
	"math"
	"time"
)

const (
	// noticedChange is the change of a lasting factor that operators are told of.
	noticedChange = 1.25
	// noticePeriod is the least time between two notices of one endpoint, maxNotices the most notices of a call.
	noticePeriod = time.Minute
	maxNotices   = 8
)

// speedNotice is what operators were last told of an endpoint's speed. The zero value is that it has the usual one.
type speedNotice struct {
	at         time.Time
	lastingLog float64
	distrusts  int
}

// due reports whether there is something to tell, and takes it as told.
func (n *speedNotice) due(lasting float64, distrusts int, now time.Time) bool {
	if !n.at.IsZero() && now.Sub(n.at) < noticePeriod {
		return false
	}
	log := math.Log(lasting)
	if distrusts == n.distrusts && math.Abs(log-n.lastingLog) < math.Log(noticedChange) {
		return false
	}
	*n = speedNotice{at: now, lastingLog: log, distrusts: distrusts}
	return true
}

// SpeedNotices returns the endpoints whose lasting factor has changed by more than a quarter, or whose reports have become distrusted,
// since they were last returned. What exceeds the bound is returned by later calls.
func (d *Dispatcher) SpeedNotices(now time.Time) (notices []EndpointSpeed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, pool := range d.pools {
		if !d.overloadControl(service, now) {
			continue
		}
		for _, e := range pool {
			if len(notices) == maxNotices {
				return notices
			}
			distrusts := e.state.notice.distrusts
			if e.state.notice.due(e.state.speed.Lasting(), e.state.speed.Distrusts(), now) {
				s := e.speed(now)
				s.Distrusted = e.state.speed.Distrusts() > distrusts
				notices = append(notices, s)
			}
		}
	}
	return notices
}
