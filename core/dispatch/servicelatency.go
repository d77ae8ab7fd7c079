package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
)

func (d *Dispatcher) ownLatencies(time.Time) []fleetstate.ServiceLatency { return nil }

func (d *Dispatcher) setLatencies(_, _ []fleetstate.ServiceLatency, _ time.Time) {}
