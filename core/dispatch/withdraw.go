package dispatch

import (
	"slices"
	"time"
)

// MarkLeaving records that the endpoint's process has answered that it is leaving, and returns whether this is new. The
// endpoint gets no further requests, whatever the directory lists, until another process takes its place.
func (a *Attempt) MarkLeaving() (first bool) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.e.leaving {
		return false
	}
	a.e.leaving = true
	a.d.withdrawals.Add(1)
	return true
}

// Withdrawn reports whether the endpoint has been withdrawn or removed since it was chosen, so that the request must not
// be sent to it any more. Opening a connection takes time, and a VM may be suspended between the choice and the send.
func (a *Attempt) Withdrawn(now time.Time) bool {
	if a.d.withdrawals.Load() == a.withdrawals {
		return false
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.d.byID[a.entry.ID] != a.e || a.d.isWithdrawn(a.e, now)
}

// ExpectedToEnd reports whether the endpoint's process may end for a reason of its own: it was leaving or no longer listed, or it is
// brittle and has just turned requests away.
func (a *Attempt) ExpectedToEnd(now time.Time) bool {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.announcedEnd(now) || a.d.byID[a.entry.ID] != a.e
}

// AnnouncedEnd is ExpectedToEnd but for endpoints that are no longer listed.
func (a *Attempt) AnnouncedEnd(now time.Time) bool {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.announcedEnd(now)
}

func (a *Attempt) announcedEnd(now time.Time) bool {
	fallsOver := a.d.isBrittle(a.q.Service) && now.Sub(a.e.refusedAt) < refusedPause
	return a.e.leaving || fallsOver || a.d.isDrained(a.e)
}

// isWithdrawn reports whether the endpoint must get no new work: its process is leaving or has asked for a pause, or its
// failure domain is drained.
func (d *Dispatcher) isWithdrawn(e *endpoint, now time.Time) bool {
	return e.leaving || e.pause.active(now) || d.isDrained(e)
}

// split separates the endpoints that may get new work from those that must not. Unlike silent endpoints these are left
// out even if no other is left.
func (d *Dispatcher) split(pool []*endpoint, now time.Time) (accepting, withdrawn []*endpoint) {
	isWithdrawn := func(e *endpoint) bool { return d.isWithdrawn(e, now) }
	if !slices.ContainsFunc(pool, isWithdrawn) {
		return pool, nil
	}
	for _, e := range pool {
		if isWithdrawn(e) {
			withdrawn = append(withdrawn, e)
		} else {
			accepting = append(accepting, e)
		}
	}
	return accepting, withdrawn
}
