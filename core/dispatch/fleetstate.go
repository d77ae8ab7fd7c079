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
