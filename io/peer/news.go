package peer

import (
	"time"

	"savoryfall/core/health"
)

func (a *Agent) addNews(m *Message) {
	for mark, left := range a.marks {
		if len(m.Marks) == maxNews {
			break
		}
		m.Marks = append(m.Marks, mark)
		a.marks[mark] = left - 1
		if left <= 1 {
			delete(a.marks, mark)
		}
	}
	for name, f := range a.findings {
		if len(m.Findings) == maxNews {
			break
		}
		m.Findings = append(m.Findings, Finding{Endpoint: name, Down: f.down})
		f.left--
		a.findings[name] = f
		if f.left <= 0 {
			delete(a.findings, name)
		}
	}
}

func (a *Agent) takeMark(m Mark) {
	if a.Health.MarkLeaving(m.Endpoint, m.Incarnation) {
		a.SpreadMark(m)
	}
}

// SpreadMark passes a leaving mark on, a few times to each peer.
func (a *Agent) SpreadMark(m Mark) {
	times := spreadings * (len(a.peers()) + 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.marks[m] = times
	a.hurry()
}

// SpreadFinding tells the peers that an endpoint was seen to fall or to return.
func (a *Agent) SpreadFinding(f Finding) {
	times := len(a.peers()) + 1
	a.mu.Lock()
	defer a.mu.Unlock()
	a.findings[f.Endpoint] = spreading{down: f.Down, left: times}
	a.hurry()
}

func (a *Agent) takeFinding(f Finding, now time.Time) {
	down := a.Health.State(f.Endpoint, now) == health.Down
	if down != f.Down && a.Prober != nil {
		a.Prober.Look(f.Endpoint)
	}
}

// hurry has news of an endpoint told at once, without waiting for the period.
func (a *Agent) hurry() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}
