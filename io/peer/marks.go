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

// addListedMarks adds the marks of the incarnations that the VM list shows and the peer could not tell. A router that
// starts while the list still shows the mark of a predecessor would otherwise send its successor no requests until the
// list is up to date. The caller holds a.mu.
func (a *Agent) addListedMarks(m *GossipMessage, to string) {
	for _, endpoint := range a.unattributed[to] {
		if incarnation := a.Health.ListedIncarnation(endpoint); incarnation != "" {
			m.Marks = append(m.Marks, LeavingMark{Endpoint: endpoint, Incarnation: incarnation})
		}
	}
	delete(a.unattributed, to)
}

// setUnattributed keeps the endpoints whose listed incarnation a peer does not know for the next message to it.
func (a *Agent) setUnattributed(peer string, endpoints []string) {
	if len(endpoints) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unattributed[peer] = endpoints[:min(len(endpoints), maxEndpointNotices)]
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
