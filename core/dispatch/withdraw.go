package dispatch

import "slices"

// MarkLeaving records that the endpoint's process has answered that it is leaving, and returns whether this is new. The
// endpoint gets no further requests, whatever the directory lists, until another process takes its place.
func (a *Attempt) MarkLeaving() (first bool) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	first = !a.e.leaving
	a.e.leaving = true
	return first
}

// isWithdrawn reports whether the endpoint must get no new work: its process is leaving, or its failure domain is
// drained.
func (d *Dispatcher) isWithdrawn(e *endpoint) bool { return e.leaving || d.isDrained(e) }

// withoutWithdrawn leaves out the endpoints that must get no new work. Unlike silent ones they are left out even if no
// other is left.
func (d *Dispatcher) withoutWithdrawn(pool []*endpoint) (kept []*endpoint) {
	if !slices.ContainsFunc(pool, d.isWithdrawn) {
		return pool
	}
	return slices.DeleteFunc(slices.Clone(pool), d.isWithdrawn)
}
