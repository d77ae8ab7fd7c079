package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
)

// OwnState returns what this router tells the others of the services for which overload control is active.
func (d *Dispatcher) OwnState(now time.Time) (r fleetstate.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fleetstate.Report{
		Endpoints: d.ownEndpointStates(now), Accounts: d.ownAccountDemands(now), Retries: d.ownPromisedRetries(now), Latencies: d.ownLatencies(now),
	}
}

// SetFleetState sets what all routers together know, of which own is what this router had reported.
func (d *Dispatcher) SetFleetState(t fleetstate.Totals, own fleetstate.Report, now time.Time) {
	defer d.reportChange(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setEndpointStates(t.Endpoints, own.Endpoints, now)
	d.setAccountDemands(t.Accounts, own.Accounts, now)
	d.setPromisedRetries(t.Retries, own.Retries, now)
	d.setLatencies(t.Latencies, own.Latencies, now)
}

const (
	// busyStateInterval is the interval between reports while a service is busy, calmStateInterval otherwise.
	busyStateInterval = 400 * time.Millisecond
	calmStateInterval = 2 * time.Second
	// stateIntervalNum and stateIntervalDen bound the interval to this fraction of the report term, so that a report still counts
	// when the next one arrives.
	stateIntervalNum, stateIntervalDen = 3, 4
	// busyLoadFraction is the load of a service, as a fraction of its capacity, above which it is busy. busyTerm is for how long it
	// is busy after a refusal.
	busyLoadFraction = 0.5
	busyTerm         = 5 * time.Second
)

// StateInterval returns the interval at which this router tells the others what it knows, 0 while overload control is active for
// no service.
func (d *Dispatcher) StateInterval(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	active, busy := false, false
	for service := range d.pools {
		if d.overloadControl(service, now) {
			active, busy = true, busy || d.busy(service, now)
		}
	}
	if !active {
		return 0
	}
	interval := calmStateInterval
	if busy {
		interval = busyStateInterval
	}
	if term := d.overload.ReportTerm; term > 0 {
		interval = min(interval, term*stateIntervalNum/stateIntervalDen)
	}
	return interval
}

// busy reports whether the service is above half of its capacity or has refused a request lately.
func (d *Dispatcher) busy(service string, now time.Time) bool {
	if m := d.demands[service]; m != nil {
		for i := range m.levels {
			if at := m.levels[i].refusedAt; !at.IsZero() && now.Sub(at) <= busyTerm {
				return true
			}
		}
	}
	usual, _, _ := d.serviceCapacity(service)
	load, capacity := 0.0, 0
	for _, e := range d.pools[service] {
		slots := e.entry.Slots
		if slots == 0 {
			slots = usual
		}
		load += e.load(now)
		capacity += slots
	}
	return load > busyLoadFraction*float64(capacity)
}

// StateLimits returns how long the reports of routers count and how many accounts of a service the totals name.
func (d *Dispatcher) StateLimits() fleetstate.Limits {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fleetstate.Limits{ReportTerm: d.overload.ReportTerm, Accounts: d.overload.Accounts}
}
