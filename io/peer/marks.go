package peer

// addMarks adds pending leaving marks and counts down how often each is still to be sent. The caller holds a.mu.
func (a *Agent) addMarks(m *GossipMessage) {
	for mark, remaining := range a.marks {
		if len(m.Marks) == maxEndpointNotices {
			break
		}
		m.Marks = append(m.Marks, mark)
		a.marks[mark] = remaining - 1
		if remaining <= 1 {
			delete(a.marks, mark)
		}
	}
}

func (a *Agent) receiveMark(m LeavingMark) {
	if a.Health.MarkLeaving(m.Endpoint, m.Incarnation) {
		a.BroadcastLeavingMark(m)
	}
}

// BroadcastLeavingMark sends a leaving mark several times to every peer.
func (a *Agent) BroadcastLeavingMark(m LeavingMark) {
	repeats := markRepeats * (len(a.peers()) + 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.marks[m] = repeats
	a.triggerExchange()
}

// triggerExchange starts an exchange at once, so that changes of endpoints don't wait for the next period.
func (a *Agent) triggerExchange() {
	select {
	case a.exchangeNow <- struct{}{}:
	default:
	}
}
