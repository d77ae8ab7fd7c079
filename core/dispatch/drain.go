package dispatch

import (
	"slices"
	"time"
)

// Drain takes the failure domains whose endpoints get no new work. When that is over, their endpoints may just have started:
// they count as cold for as long as a start takes.
func (d *Dispatcher) Drain(domains []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.by {
		domain := e.entry.FailureDomain
		if slices.Contains(d.drained, domain) && !slices.Contains(domains, domain) {
			e.cold.assume(d.coldFor(e), now)
		}
	}
	d.drained = slices.Clone(domains)
}

// InDomain is how many endpoints of the failure domain are listed.
func (d *Dispatcher) InDomain(domain string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.by {
		if e.entry.FailureDomain == domain {
			n++
		}
	}
	return n
}

// isDrained tells whether the endpoint's failure domain is drained.
func (d *Dispatcher) isDrained(e *endpoint) bool {
	return slices.Contains(d.drained, e.entry.FailureDomain)
}

// undrained leaves out the endpoints of drained failure domains.
func (d *Dispatcher) undrained(pool []*endpoint) (some []*endpoint) {
	if len(d.drained) == 0 {
		return pool
	}
	return slices.DeleteFunc(slices.Clone(pool), d.isDrained)
}
