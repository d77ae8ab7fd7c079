package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
)

// endpointState is the newest load that an endpoint reported to any router.
type endpointState struct {
	state fleetstate.EndpointState
	at    time.Time
}

// slowdown returns the factor by which work is expected to take longer at the endpoint than usual at its service.
func (e *endpoint) slowdown(now time.Time) float64 {
	if s, ok := e.reported(now); ok && s.Slowdown > 0 {
		return min(max(float64(s.Slowdown), 0.1), 10)
	}
	return 1
}

// reported returns the newest load that the endpoint reported to this router or another one. ok is false if none is new enough
// to count.
func (e *endpoint) reported(now time.Time) (s fleetstate.EndpointState, ok bool) {
	if e.newest.at.IsZero() || now.Sub(e.newest.at) > othersMaxAge {
		return s, false
	}
	s = e.newest.state
	s.Age = now.Sub(e.newest.at)
	return s, true
}

// recordState records the load that an answer reports.
func (e *endpoint) recordState(l Load, now time.Time) {
	e.newest = endpointState{at: now, state: fleetstate.EndpointState{
		Endpoint: e.shortHash(), Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: float32(l.Slowdown), HeldTokens: e.newest.state.HeldTokens,
	}}
}

func (d *Dispatcher) ownEndpointStates(now time.Time) (list []fleetstate.EndpointState) {
	for _, e := range d.byID {
		s, ok := e.reported(now)
		if ok || e.heldTokens > 0 {
			s.Endpoint, s.HeldTokens = e.shortHash(), e.heldTokens
			list = append(list, s)
		}
	}
	return list
}

func (d *Dispatcher) setEndpointStates(total, _ []fleetstate.EndpointState, now time.Time) {
	for _, s := range total {
		e := d.byShortHash[s.Endpoint]
		if e == nil {
			continue
		}
		if at := now.Add(-s.Age); at.After(e.newest.at) {
			e.newest = endpointState{state: s, at: at}
		}
		e.newest.state.HeldTokens = s.HeldTokens
	}
}
