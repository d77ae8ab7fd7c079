package dispatch

import "time"

// SetOnCapacity sets a function that is called, without the dispatcher's lock, when a service with overload control may have
// capacity that it had not before, or has lost its last endpoint. freed is the number of places that this router's attempts
// there have given up, 0 if the event is new state of the fleet or of the list of endpoints.
func (d *Dispatcher) SetOnCapacity(f func(service string, freed int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onCapacity = f
}

// reportEnd reports the place that an attempt of this router has given up.
func (a *Attempt) reportEnd(ended bool, v Verdict, now time.Time) {
	if !ended {
		return
	}
	d, service := a.d, a.q.Service
	d.mu.Lock()
	f, active := d.onCapacity, d.overloadControl(service, now)
	freed := freedBy(v)
	// What the endpoint did not take has not left a place. It matters if no endpoint is left.
	active = active && (freed > 0 || !d.acceptsAnywhere(service, now))
	d.mu.Unlock()
	if f != nil && active {
		f(service, freed)
	}
}

// freedBy returns how many places an attempt that ends so has given up.
func freedBy(v Verdict) int {
	if v == Refused || v == Unreachable || v == Withdrawn {
		return 0
	}
	return 1
}

// acceptsAnywhere reports whether an endpoint of the service may get new work.
func (d *Dispatcher) acceptsAnywhere(service string, now time.Time) bool {
	accepting, _ := d.split(d.pools[service], now)
	return len(accepting) > 0
}

// reportChange reports, for all services, that what is known of the fleet has changed.
func (d *Dispatcher) reportChange(now time.Time) {
	d.mu.Lock()
	f := d.onCapacity
	var services []string
	for service := range d.demands {
		if f != nil && d.overloadControl(service, now) {
			services = append(services, service)
		}
	}
	d.mu.Unlock()
	for _, service := range services {
		f(service, 0)
	}
}

// recordResult records whether an endpoint was chosen for a first attempt. A request counts as refused once, and no longer if it
// waited and got a place.
func (m *demand) recordResult(q Query, chosen bool, now time.Time) {
	switch {
	case chosen && q.Waited:
		m.decayTo(now)
		l := m.level(q.Rank)
		l.refused = max(l.refused-1, 0)
	case !chosen && !q.Waited:
		m.recordRefusal(q.Rank, now)
	}
}
