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
	for _, domain := range domains {
		if !slices.Contains(d.drained, domain) {
			d.drainedAt[domain] = now
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

// SetDrainTerm takes for how long the engines of a drained failure domain still give what they hold. Nobody else has most of it,
// and it would be read again; an operator who drains a domain expects it to be left alone soon.
func (d *Dispatcher) SetDrainTerm(term time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainTerm = term
}

// givesStill tells whether an endpoint that gets no new work may be asked for what it holds.
func (d *Dispatcher) givesStill(e *endpoint, now time.Time) bool {
	return !d.isDrained(e) || now.Sub(d.drainedAt[e.entry.FailureDomain]) <= min(d.drainTerm, servesOn)
}

// resting are the endpoints of the service that get no new work and are still there: those of drained failure domains among the
// listed, and those that have left the list lately. While many are, the mean of all is far below that of the ones in use.
func (d *Dispatcher) resting(service string, listed []*endpoint, now time.Time) (some []*endpoint) {
	if len(d.drained) > 0 {
		for _, e := range listed {
			if d.isDrained(e) {
				some = append(some, e)
			}
		}
	}
	for _, e := range d.left {
		if e.entry.Service == service && now.Sub(e.leftAt) <= servesOn {
			some = append(some, e)
		}
	}
	return some
}
