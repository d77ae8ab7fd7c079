package peer

import (
	"time"

	"savoryfall/core/health"
)

// finding is one that is being told, to the members that have not taken it yet. What was counted as told when it was sent
// got lost with the exchange, and a member that has no duty to probe took a dead endpoint for living for good.
type finding struct {
	down bool
	at   time.Time
	told map[string]bool
}

// SpreadFinding tells the peers that an endpoint was seen to fall or to return.
func (a *Agent) SpreadFinding(f Finding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.findings[f.Endpoint] = &finding{down: f.Down, at: time.Now(), told: map[string]bool{}}
	a.hurry()
}

// addFindings adds those that the peer has not taken.
func (a *Agent) addFindings(m *Message, to string, now time.Time) {
	for endpoint, f := range a.findings {
		if now.Sub(f.at) > findingPeriods*a.Period {
			delete(a.findings, endpoint)
			continue
		}
		if !f.told[to] && len(m.Findings) < maxNews {
			m.Findings = append(m.Findings, Finding{Endpoint: endpoint, Down: f.down})
		}
	}
}

// told notes that the peer has taken the findings, unless they have changed since.
func (a *Agent) told(peer string, findings []Finding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, told := range findings {
		if f := a.findings[told.Endpoint]; f != nil && f.down == told.Down {
			f.told[peer] = true
		}
	}
}

// takeFinding looks for itself where a peer believes otherwise.
func (a *Agent) takeFinding(f Finding, now time.Time) {
	down := a.Health.State(f.Endpoint, now) == health.Down
	if down != f.Down && a.Prober != nil {
		a.Prober.Look(f.Endpoint)
	}
}
