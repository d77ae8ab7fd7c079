package reach

import "time"

// Way is how a connection to an endpoint should be opened.
type Way int

// The ways.
const (
	// Direct means that this router connects by itself.
	Direct Way = iota
	// Relayed means that another router connects for this one.
	Relayed
	// Closed means that neither this router nor others reach the endpoint at present.
	Closed
)

const (
	// RelayRetryInterval is how long an endpoint that other routers could not connect to either is left alone.
	RelayRetryInterval = 500 * time.Millisecond
	// ProbeInterval is the time between two attempts of this router by itself at an endpoint that it cannot reach.
	ProbeInterval = 300 * time.Millisecond
	// minProbes is how many endpoints of a service may be probed at a time, and probesShare what part of all if that is
	// more: not all may be back at the same time.
	minProbes   = 2
	probesShare = 0.05
)

// Way returns how to connect to the address.
func (t *Tracker) Way(address string, now time.Time) Way {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.byAddress[address]
	switch {
	case to == nil || !to.down || to.service.unreachableSince.IsZero():
		return Direct
	case within(to.relayFailedAt, now), within(to.service.noRelayAt, now):
		return Closed
	}
	return Relayed
}

func within(failedAt, now time.Time) bool {
	return !failedAt.IsZero() && now.Sub(failedAt) < RelayRetryInterval
}

// Known reports whether an endpoint has the address, and its failure domain.
func (t *Tracker) Known(address string) (failureDomain string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.byAddress[address]
	if to == nil {
		return "", false
	}
	return to.failureDomain, true
}

// Relaying is how an attempt to connect through other routers ended.
type Relaying int

// The outcomes.
const (
	// Opened means that another router has connected.
	Opened Relaying = iota
	// EndpointLost means that routers which reach others of the service do not reach the endpoint.
	EndpointLost
	// NoRelay means that no other router was found that reaches the service.
	NoRelay
)

// RecordRelayed records how an attempt to connect to the address through other routers ended.
func (t *Tracker) RecordRelayed(address string, how Relaying, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.byAddress[address]
	if to == nil {
		return
	}
	switch how {
	case Opened:
		to.relayFailedAt, to.service.noRelayAt = time.Time{}, time.Time{}
	case EndpointLost:
		to.relayFailedAt = now
	case NoRelay:
		to.service.noRelayAt = now
	}
}

// DueProbes returns the addresses that this router should try to connect to by itself now, to find out whether it
// reaches a service again. more is set while a service is unreachable.
func (t *Tracker) DueProbes(now time.Time) (addresses []string, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := map[*service]int{}
	for address, to := range t.byAddress {
		s := to.service
		if s.unreachableSince.IsZero() {
			continue
		}
		more = true
		if to.down && due[s] < max(minProbes, int(probesShare*float64(s.targets))) && now.Sub(to.probedAt) >= ProbeInterval {
			due[s]++
			to.probedAt = now
			addresses = append(addresses, address)
		}
	}
	return addresses, more
}
