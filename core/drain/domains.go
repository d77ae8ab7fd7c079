package drain

import (
	"slices"
	"sync"

	"savoryfall/core/compactedlog"
)

// Order is an operator's order to drain a failure domain, or to end its drain.
type Order struct {
	Domain  string
	Drained bool
	// Offset is that of the log record with the order, and Generation that of the log.
	Offset     int64
	Generation int64
}

func (o Order) position() compactedlog.Position {
	return compactedlog.Position{Generation: o.Generation, Offset: o.Offset}
}

// Domains keeps the newest order for each failure domain. The zero value has none drained.
type Domains struct {
	mu     sync.Mutex
	orders map[string]Order
	// held is set while drains without an order are kept, which are in unlisted.
	held     bool
	unlisted map[string]bool
}

// Hold keeps drains whose orders are missing, until EndHold. The log came back from an older copy, and orders that it
// lacks are written again; meanwhile a drained domain must not get requests.
func (d *Domains) Hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = true
}

// EndHold ends the drains whose orders are still missing, and reports whether there were any.
func (d *Domains) EndHold() (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for domain := range d.unlisted {
		delete(d.orders, domain)
		changed = true
	}
	d.held, d.unlisted = false, nil
	return changed
}

// Apply applies an order and reports whether it changed what is drained. An order older than the newest one changes
// nothing.
func (d *Domains) Apply(o Order) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.apply(o)
}

func (d *Domains) apply(o Order) (changed bool) {
	old, known := d.orders[o.Domain]
	if known && !old.position().Before(o.position()) {
		return false
	}
	if d.orders == nil {
		d.orders = map[string]Order{}
	}
	d.orders[o.Domain] = o
	delete(d.unlisted, o.Domain)
	return o.Drained != old.Drained
}

// Replace applies all orders that are in force, and reports whether that changed what is drained. Domains without an
// order are no longer drained, except for the kept ones, of which nothing newer is known.
func (d *Domains) Replace(orders []Order, kept []string) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := map[string]bool{}
	for _, domain := range kept {
		named[domain] = true
	}
	for _, o := range orders {
		named[o.Domain] = true
		changed = d.apply(o) || changed
	}
	for domain, o := range d.orders {
		switch {
		case named[domain] || !o.Drained:
		case d.held:
			d.markUnlisted(domain)
		default:
			delete(d.orders, domain)
			changed = true
		}
	}
	return changed
}

func (d *Domains) markUnlisted(domain string) {
	if d.unlisted == nil {
		d.unlisted = map[string]bool{}
	}
	d.unlisted[domain] = true
}

// Listed reports whether the log has the order that drains the domain.
func (d *Domains) Listed(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.orders[domain].Drained && !d.unlisted[domain]
}

// List returns the drained failure domains, sorted.
func (d *Domains) List() (domains []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for domain, o := range d.orders {
		if o.Drained {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}
