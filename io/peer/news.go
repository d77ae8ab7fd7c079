package peer

func (a *Agent) addMarks(m *Message) {
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

// hurry has news of an endpoint told at once, without waiting for the period.
func (a *Agent) hurry() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}
