package peer

import (
	"time"

	"savoryfall/core/health"
)

// pendingFinding is a finding together with the peers that have received it. A finding counts as delivered only after
// the exchange has succeeded: when it was counted on sending, a failed exchange lost it, and a router without the duty
// to probe kept treating a dead endpoint as up.
type pendingFinding struct {
	down      bool
	since     time.Time
	delivered map[string]bool
}

// BroadcastFinding notifies the peers that an endpoint has gone down or has recovered.
func (a *Agent) BroadcastFinding(f Finding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.findings[f.Endpoint] = &pendingFinding{down: f.Down, since: time.Now(), delivered: map[string]bool{}}
	a.triggerExchange()
}

// addFindings adds the findings that the peer has not received. The caller holds a.mu.
func (a *Agent) addFindings(m *GossipMessage, to string, now time.Time) {
	for endpoint, f := range a.findings {
		if now.Sub(f.since) > findingLifetimePeriods*a.Period {
			delete(a.findings, endpoint)
			continue
		}
		if !f.delivered[to] && len(m.Findings) < maxEndpointNotices {
			m.Findings = append(m.Findings, Finding{Endpoint: endpoint, Down: f.down})
		}
	}
}

// markDelivered records that the peer has received the findings, except those that have changed in the meantime.
func (a *Agent) markDelivered(peer string, findings []Finding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, delivered := range findings {
		if f := a.findings[delivered.Endpoint]; f != nil && f.down == delivered.Down {
			f.delivered[peer] = true
		}
	}
}

// receiveFinding probes the endpoint if the peer's view of it differs from this router's. A leaving endpoint that has come
// back is a successor, which this router does not know yet.
func (a *Agent) receiveFinding(f Finding, now time.Time) {
	state := a.Health.State(f.Endpoint, now)
	differs := (state == health.Down) != f.Down || state == health.Leaving && !f.Down
	if differs && a.Prober != nil {
		a.Prober.ProbeNow(f.Endpoint)
	}
}
