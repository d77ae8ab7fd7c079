package fleetstate

import "time"

// Replica keeps the states of endpoints that a hub has sent. The zero value is empty.
type Replica struct {
	byEndpoint map[uint32]replicaState
}

type replicaState struct {
	state EndpointState
	at    time.Time
}

// Apply takes the states that changed, or all states if whole is set. Their ages are relative to now.
func (r *Replica) Apply(changed []EndpointState, whole bool, now time.Time) {
	if whole || r.byEndpoint == nil {
		r.byEndpoint = make(map[uint32]replicaState, len(changed))
	}
	for _, s := range changed {
		if _, known := r.byEndpoint[s.Endpoint]; known || len(r.byEndpoint) < maxEndpoints {
			r.byEndpoint[s.Endpoint] = replicaState{state: s, at: now.Add(-s.Age)}
		}
	}
}

// States returns the states with their ages now, without those that the hub has forgotten as well.
func (r *Replica) States(now time.Time) (states []EndpointState) {
	states = make([]EndpointState, 0, len(r.byEndpoint))
	for endpoint, k := range r.byEndpoint {
		k.state.Age = now.Sub(k.at)
		if k.state.HeldTokens == 0 && k.state.Age > StateTerm {
			delete(r.byEndpoint, endpoint)
			continue
		}
		states = append(states, k.state)
	}
	return states
}

// WithoutOlder returns the states of a report without the answers that are no newer than the hub's. Held tokens stay.
func (r *Replica) WithoutOlder(states []EndpointState, now time.Time) (needed []EndpointState) {
	needed = make([]EndpointState, 0, len(states))
	for _, s := range states {
		known, ok := r.byEndpoint[s.Endpoint]
		if ok && known.state.answered() && !now.Add(-s.Age).After(known.at) {
			s = EndpointState{Endpoint: s.Endpoint, HeldTokens: s.HeldTokens}
		}
		if s.HeldTokens > 0 || s.answered() {
			needed = append(needed, s)
		}
	}
	return needed
}
