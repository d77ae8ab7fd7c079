package fleetstate

import (
	"sync"
	"time"
)

// Ledger versions the states of endpoints, so that a router is sent only those that have changed since the version that it
// has. The zero value is empty.
type Ledger struct {
	mu         sync.Mutex
	byEndpoint map[uint32]*versionedState
	version    int64
}

type versionedState struct {
	// state is as last sent, at is when its answer came.
	state   EndpointState
	at      time.Time
	version int64
}

// minNewerAnswer is how much newer the answer must be for a state with the same figures to be sent again.
const minNewerAnswer = 500 * time.Millisecond

// Update stores new states and gives a new version to each that has changed. A state that is no longer among them is
// forgotten: routers forget it by its age.
func (l *Ledger) Update(states []EndpointState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byEndpoint == nil {
		l.byEndpoint = map[uint32]*versionedState{}
	}
	for _, s := range states {
		known, at := l.byEndpoint[s.Endpoint], now.Add(-s.Age)
		s.Age = 0
		if known != nil && known.state == s && at.Sub(known.at) < minNewerAnswer {
			continue
		}
		l.version++
		l.byEndpoint[s.Endpoint] = &versionedState{state: s, at: at, version: l.version}
	}
	if len(l.byEndpoint) > len(states) {
		l.dropMissing(states)
	}
}

func (l *Ledger) dropMissing(states []EndpointState) {
	present := make(map[uint32]bool, len(states))
	for _, s := range states {
		present[s.Endpoint] = true
	}
	for endpoint := range l.byEndpoint {
		if !present[endpoint] {
			delete(l.byEndpoint, endpoint)
		}
	}
}

// Since returns the states that changed after the given version, with their ages now, and the current version.
func (l *Ledger) Since(after int64, now time.Time) (changed []EndpointState, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.byEndpoint {
		if v.version > after {
			s := v.state
			s.Age = now.Sub(v.at)
			changed = append(changed, s)
		}
	}
	return changed, l.version
}
