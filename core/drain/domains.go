package drain

import (
	"slices"
	"sync"
)

// Order is an operator's order for a failure domain: to drain it, or that this is over.
type Order struct {
	Domain  string
	Drained bool
	// Offset is that of the record which gave it.
	Offset int64
}

// Domains keeps the newest order for each failure domain; the zero value has none drained.
type Domains struct {
	mu     sync.Mutex
	orders map[string]Order
}

// Apply takes an order and tells whether it changed what is drained. One that was overtaken by a newer one changes nothing.
func (d *Domains) Apply(o Order) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.apply(o)
}

func (d *Domains) apply(o Order) (changed bool) {
	old, known := d.orders[o.Domain]
	if known && o.Offset <= old.Offset {
		return false
	}
	if d.orders == nil {
		d.orders = map[string]Order{}
	}
	d.orders[o.Domain] = o
	return o.Drained != old.Drained
}

// Replace takes all orders that are in force, and tells whether that changed what is drained. The domains that they do not
// name are no longer drained, but for the kept ones, of which nothing newer is known.
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
		if !named[domain] && o.Drained {
			delete(d.orders, domain)
			changed = true
		}
	}
	return changed
}

// Drained are the failure domains that are drained, in order.
func (d *Domains) Drained() (domains []string) {
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
