package draining

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/drain"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/keyed"
)

// Decoder reads an order out of a record; ok is false for records that are something else. An order that cannot be read
// still names its domain.
type Decoder interface {
	Decode(r keyed.Record) (o drain.Order, ok bool, err error)
}

// Fleet is the endpoints that are drained.
type Fleet interface {
	// Drain takes the failure domains whose endpoints get no new work from now on.
	Drain(domains []string, now time.Time)
	// InDomain is how many endpoints of the failure domain are known.
	InDomain(domain string) int
}

// Keeper holds the newest orders that were read.
type Keeper struct {
	decoder Decoder
	fleet   Fleet
	logger  log.Logger

	mu      sync.Mutex
	domains drain.Domains
	last    []string
	records map[string]keyed.Record
}

// New makes a keeper that tells the fleet each time that what is drained changes.
func New(d Decoder, f Fleet, logger log.Logger) *Keeper {
	return &Keeper{decoder: d, fleet: f, logger: logger, records: map[string]keyed.Record{}}
}

// Replace takes the newest record of every key. Of a domain whose record cannot be read, the last that could be holds.
func (k *Keeper) Replace(records []keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var orders []drain.Order
	var kept []string
	for _, r := range records {
		o, ok, err := k.decoder.Decode(r)
		switch {
		case !ok:
		case err != nil:
			k.unreadable(r, err)
			kept = append(kept, o.Domain)
		default:
			orders = append(orders, o)
			k.note(o, r)
		}
	}
	k.tell(k.domains.Replace(orders, kept))
}

// Apply takes what was written since.
func (k *Keeper) Apply(records []keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, r := range records {
		o, ok, err := k.decoder.Decode(r)
		if !ok {
			continue
		}
		if err != nil {
			k.unreadable(r, err)
			continue
		}
		k.note(o, r)
		changed = k.domains.Apply(o) || changed
	}
	k.tell(changed)
}

// Read changes nothing: an order has no term.
func (k *Keeper) Read(time.Duration) {}

// Failed changes nothing: what was ordered last holds.
func (k *Keeper) Failed(error) {}

// Records are those that drain a domain, for routers that this one reads for.
func (k *Keeper) Records() (records []keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, domain := range k.domains.Drained() {
		records = append(records, k.records[domain])
	}
	return records
}

func (k *Keeper) note(o drain.Order, r keyed.Record) {
	if o.Drained && r.Offset >= k.records[o.Domain].Offset {
		k.records[o.Domain] = r
	}
}

func (k *Keeper) unreadable(r keyed.Record, err error) {
	_ = k.logger.Log(field.Event, event.OrderUnreadable, field.Offset, r.Offset, field.Err, err)
}

// tell hands on what is drained, and logs what changed with how many endpoints it is about: none shows a name that no domain
// has.
func (k *Keeper) tell(changed bool) {
	if !changed {
		return
	}
	drained := k.domains.Drained()
	k.fleet.Drain(drained, time.Now())
	for _, domain := range drained {
		if !slices.Contains(k.last, domain) {
			_ = k.logger.Log(field.Event, event.DomainDrained, field.Domain, domain, field.Listed, k.fleet.InDomain(domain), field.Offset, k.records[domain].Offset)
		}
	}
	for _, domain := range k.last {
		if !slices.Contains(drained, domain) {
			_ = k.logger.Log(field.Event, event.DomainBack, field.Domain, domain, field.Listed, k.fleet.InDomain(domain))
		}
	}
	k.last = drained
}
