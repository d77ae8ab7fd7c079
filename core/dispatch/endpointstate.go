package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
)

// slowdown returns the factor by which work is expected to take longer at the endpoint than usual at its service.
func (e *endpoint) slowdown(time.Time) float64 { return 1 }

// reported returns the newest load that the endpoint reported to this router or another one. ok is false if none is new enough
// to count.
func (e *endpoint) reported(time.Time) (s fleetstate.EndpointState, ok bool) { return s, false }

func (d *Dispatcher) ownEndpointStates(time.Time) []fleetstate.EndpointState { return nil }

func (d *Dispatcher) setEndpointStates(_, _ []fleetstate.EndpointState, _ time.Time) {}
