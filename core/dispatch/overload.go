package dispatch

import "time"

// OverloadControl tells when overload control is active and how it works. The zero value activates it for services whose
// endpoints report the speed of their VM.
type OverloadControl struct {
	// Always activates overload control for all services, Never for none.
	Always, Never bool
	// ExpectedTime places requests by the expected time to their first and last event in place of the load, and LatencyLimit has
	// the limit of a service follow its latency in place of a fixed factor of the slots.
	ExpectedTime, LatencyLimit bool
	// ReportTerm is how long the reports of other routers count.
	ReportTerm time.Duration
	// Accounts is how many client accounts a hub names for each service.
	Accounts int
}

// speedReportTerm is for how long overload control stays active after an answer has last reported the speed of a VM.
const speedReportTerm = 30 * time.Second

// SetOverloadControl sets when overload control is active and how it works.
func (d *Dispatcher) SetOverloadControl(c OverloadControl) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.overload = c
}

// OverloadControl reports whether overload control is active for the service.
func (d *Dispatcher) OverloadControl(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloadControl(service, now)
}

func (d *Dispatcher) overloadControl(service string, now time.Time) bool {
	if d.overload.Always || d.overload.Never {
		return d.overload.Always
	}
	at, reported := d.speedReportedAt[service]
	return reported && now.Sub(at) <= speedReportTerm
}

// recordSpeedReport records that an answer of the service has reported the speed of the endpoint's VM.
func (d *Dispatcher) recordSpeedReport(service string, now time.Time) {
	if d.speedReportedAt == nil {
		d.speedReportedAt = map[string]time.Time{}
	}
	d.speedReportedAt[service] = now
}
