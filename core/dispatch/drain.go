package dispatch

import (
	"slices"
	"time"
)

// SetDrained sets the failure domains whose endpoints get no new work. When the drain of a domain ends, its endpoints
// may just have started: they count as cold for the usual time after a start.
func (d *Dispatcher) SetDrained(domains []string, now time.Time) {
	defer d.reportChange(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
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
	d.withdrawals.Add(1)
}

// CountInDomain returns how many listed endpoints are in the failure domain.
func (d *Dispatcher) CountInDomain(domain string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		if e.entry.FailureDomain == domain {
			n++
		}
	}
	return n
}

// isDrained reports whether the endpoint's failure domain is drained.
func (d *Dispatcher) isDrained(e *endpoint) bool {
	return slices.Contains(d.drained, e.entry.FailureDomain)
}

// SetDrainFetchTerm sets for how long cached parts are still fetched from the engines of a drained failure domain. Most
// of them are cached nowhere else, and would be read again; an operator who drains a domain expects its traffic to end
// soon.
func (d *Dispatcher) SetDrainFetchTerm(term time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainFetchTerm = term
}

// mayServeFetches reports whether cached parts may be fetched from an endpoint that gets no new work.
func (d *Dispatcher) mayServeFetches(e *endpoint, now time.Time) bool {
	return !d.isDrained(e) || now.Sub(d.drainedAt[e.entry.FailureDomain]) <= min(d.drainFetchTerm, departureGrace)
}

// departing returns the endpoints of the service that recently left the directory. They still run, and while there are
// many, the mean load of all is far below that of the endpoints in use.
func (d *Dispatcher) departing(service string, now time.Time) (endpoints []*endpoint) {
	for _, e := range d.departed {
		if e.entry.Service == service && now.Sub(e.departedAt) <= departureGrace {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}
