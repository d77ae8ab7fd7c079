package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
)

// AccountDeficit returns how far the account of the request is under its fair share of the service, from 0, at its share or
// beyond, to 1.
func (d *Dispatcher) AccountDeficit(Query, time.Time) float64 { return 0 }

func (d *Dispatcher) ownAccountDemands(time.Time) []fleetstate.AccountDemand { return nil }

func (d *Dispatcher) setAccountDemands(_, _ []fleetstate.AccountDemand, _ time.Time) {}
