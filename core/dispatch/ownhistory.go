package dispatch

import "time"

// ownHistory holds when this router's requests at an endpoint began and ended lately.
type ownHistory struct{ changes []ownChange }

type ownChange struct {
	at    time.Time
	delta int
}

// maxOwnChanges bounds the history of one endpoint. Beyond it the oldest are dropped.
const maxOwnChanges = 1024

func (h *ownHistory) add(delta int, now time.Time) {
	old := 0
	for old < len(h.changes) && (now.Sub(h.changes[old].at) > maxReportAge || len(h.changes)-old >= maxOwnChanges) {
		old++
	}
	if old > 0 {
		h.changes = h.changes[:copy(h.changes, h.changes[old:])]
	}
	h.changes = append(h.changes, ownChange{at: now, delta: delta})
}

// since returns by how many requests this router has more at the endpoint than it had at the time.
func (h *ownHistory) since(at time.Time) (n int) {
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].at.After(at); i-- {
		n += h.changes[i].delta
	}
	return n
}
