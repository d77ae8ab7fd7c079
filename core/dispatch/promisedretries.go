package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
)

func (d *Dispatcher) ownPromisedRetries(time.Time) []fleetstate.PromisedRetries { return nil }

func (d *Dispatcher) setPromisedRetries(_, _ []fleetstate.PromisedRetries, _ time.Time) {}
