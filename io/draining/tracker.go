package draining

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/compactedlog"
	"savoryfall/core/drain"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

// Decoder decodes a drain order from a record; ok is false for records of another kind. The domain is set even if
// the rest of the order cannot be read.
type Decoder interface {
	Decode(r compactedlog.Record) (o drain.Order, ok bool, err error)
}

// Endpoints are the known endpoints, of which those in drained failure domains get no new requests.
type Endpoints interface {
	// SetDrained sets the failure domains whose endpoints get no new requests from now on.
	SetDrained(domains []string, now time.Time)
	// CountInDomain returns how many endpoints of the failure domain are known.
	CountInDomain(domain string) int
}

// Tracker holds the newest drain orders that have been read.
type Tracker struct {
	decoder   Decoder
	endpoints Endpoints
	logger    log.Logger

	mu        sync.Mutex
	domains   drain.Domains
	announced []string
	records   map[string]compactedlog.Record
	// heldUntil is the time until which drains that a restored store lacks are kept, zero if none are.
	heldUntil time.Time
}

// restoredGrace is how long after the store came back from an older copy the orders that it lacks may take to be written
// again.
const restoredGrace = 5 * time.Second

// New returns a tracker that updates the endpoints whenever the set of drained domains changes.
func New(d Decoder, e Endpoints, logger log.Logger) *Tracker {
	return &Tracker{decoder: d, endpoints: e, logger: logger, records: map[string]compactedlog.Record{}}
}

// Replace applies the newest record of every key. If a domain's record cannot be read, its last readable order
// stays in force.
func (t *Tracker) Replace(records []compactedlog.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []drain.Order
	var kept []string
	for _, r := range records {
		o, ok, err := t.decoder.Decode(r)
		switch {
		case !ok:
		case err != nil:
			t.logUnreadable(r, err)
			kept = append(kept, o.Domain)
		default:
			orders = append(orders, o)
			t.saveRecord(o, r)
		}
	}
	t.notify(t.domains.Replace(orders, kept))
}

// Apply applies the records written since the last read.
func (t *Tracker) Apply(records []compactedlog.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, r := range records {
		o, ok, err := t.decoder.Decode(r)
		if !ok {
			continue
		}
		if err != nil {
			t.logUnreadable(r, err)
			continue
		}
		t.saveRecord(o, r)
		changed = t.domains.Apply(o) || changed
	}
	t.notify(changed)
}

// Read ends the drains whose orders were not written again in time after the store had been restored.
func (t *Tracker) Read(time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heldUntil.IsZero() || time.Now().Before(t.heldUntil) {
		return
	}
	t.heldUntil = time.Time{}
	t.notify(t.domains.EndHold())
}

// Failed does nothing: the last orders stay in force.
func (t *Tracker) Failed(error) {}

// Restored keeps drained domains drained for a while, although the store may lack their orders.
func (t *Tracker) Restored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains.Hold()
	t.heldUntil = time.Now().Add(restoredGrace)
}

// Records returns the records of the drained domains, for routers that this router reads for. Orders that the store
// lacks are left out: those routers keep them by themselves, for as long as this one does.
func (t *Tracker) Records() (records []compactedlog.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, domain := range t.domains.List() {
		if t.domains.Listed(domain) {
			records = append(records, t.records[domain])
		}
	}
	return records
}

func (t *Tracker) saveRecord(o drain.Order, r compactedlog.Record) {
	if o.Drained && !r.Position().Before(t.records[o.Domain].Position()) {
		t.records[o.Domain] = r
	}
}

func (t *Tracker) logUnreadable(r compactedlog.Record, err error) {
	_ = t.logger.Log(field.Event, event.OrderUnreadable, field.Offset, r.Offset, field.Err, err)
}

// notify passes on the drained domains and logs the changes. The logged number of endpoints is 0 if the name
// matches no failure domain, such as a misspelled one.
func (t *Tracker) notify(changed bool) {
	if !changed {
		return
	}
	drained := t.domains.List()
	t.endpoints.SetDrained(drained, time.Now())
	for _, domain := range drained {
		if !slices.Contains(t.announced, domain) {
			_ = t.logger.Log(field.Event, event.DomainDrained, field.Domain, domain, field.Listed, t.endpoints.CountInDomain(domain), field.Offset, t.records[domain].Offset)
		}
	}
	for _, domain := range t.announced {
		if !slices.Contains(drained, domain) {
			_ = t.logger.Log(field.Event, event.DomainBack, field.Domain, domain, field.Listed, t.endpoints.CountInDomain(domain))
		}
	}
	t.announced = drained
}
