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
}

// New returns a keeper that updates the endpoints whenever the set of drained domains changes.
func New(d Decoder, e Endpoints, logger log.Logger) *Tracker {
	return &Tracker{decoder: d, endpoints: e, logger: logger, records: map[string]compactedlog.Record{}}
}

// Replace applies the newest record of every key. If a domain's record cannot be read, its last readable order
// stays in force.
func (k *Tracker) Replace(records []compactedlog.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var orders []drain.Order
	var kept []string
	for _, r := range records {
		o, ok, err := k.decoder.Decode(r)
		switch {
		case !ok:
		case err != nil:
			k.logUnreadable(r, err)
			kept = append(kept, o.Domain)
		default:
			orders = append(orders, o)
			k.saveRecord(o, r)
		}
	}
	k.notify(k.domains.Replace(orders, kept))
}

// Apply applies the records written since the last read.
func (k *Tracker) Apply(records []compactedlog.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, r := range records {
		o, ok, err := k.decoder.Decode(r)
		if !ok {
			continue
		}
		if err != nil {
			k.logUnreadable(r, err)
			continue
		}
		k.saveRecord(o, r)
		changed = k.domains.Apply(o) || changed
	}
	k.notify(changed)
}

// Read does nothing: a drain order does not expire.
func (k *Tracker) Read(time.Duration) {}

// Failed does nothing: the last orders stay in force.
func (k *Tracker) Failed(error) {}

// Records returns the records of the drained domains, for routers that this router reads for.
func (k *Tracker) Records() (records []compactedlog.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, domain := range k.domains.List() {
		records = append(records, k.records[domain])
	}
	return records
}

func (k *Tracker) saveRecord(o drain.Order, r compactedlog.Record) {
	if o.Drained && r.Offset >= k.records[o.Domain].Offset {
		k.records[o.Domain] = r
	}
}

func (k *Tracker) logUnreadable(r compactedlog.Record, err error) {
	_ = k.logger.Log(field.Event, event.OrderUnreadable, field.Offset, r.Offset, field.Err, err)
}

// notify passes on the drained domains and logs the changes. The logged number of endpoints is 0 if the name
// matches no failure domain, such as a misspelled one.
func (k *Tracker) notify(changed bool) {
	if !changed {
		return
	}
	drained := k.domains.List()
	k.endpoints.SetDrained(drained, time.Now())
	for _, domain := range drained {
		if !slices.Contains(k.announced, domain) {
			_ = k.logger.Log(field.Event, event.DomainDrained, field.Domain, domain, field.Listed, k.endpoints.CountInDomain(domain), field.Offset, k.records[domain].Offset)
		}
	}
	for _, domain := range k.announced {
		if !slices.Contains(drained, domain) {
			_ = k.logger.Log(field.Event, event.DomainBack, field.Domain, domain, field.Listed, k.endpoints.CountInDomain(domain))
		}
	}
	k.announced = drained
}
