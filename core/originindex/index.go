package originindex

import (
	"sync"
	"time"

	"savoryfall/core/origin"
	"savoryfall/core/originbatch"
)

// Index finds origins by the key of their stream. The zero value is empty.
type Index struct {
	mu sync.Mutex
	// current are the origins that were added since changed, previous those of the period before.
	current, previous map[uint64]entry
	changedAt         time.Time
}

// entry is small, because there is one for each stream of the fleet.
type entry struct {
	// endpoint is shared by the records of a batch. It is nil if records of the key differ.
	endpoint *origin.Origin
	sentAt   int64
}

const (
	// retention is for how long an origin is kept if there are not too many, twice that at most: as long as a stream takes.
	retention = 2 * time.Minute
	// maxRecords bounds each of the two periods: a full one ends. At about 50 bytes each, two take 20 MB.
	maxRecords = 200_000
)

// Add adds the records of a batch.
func (x *Index) Add(records []originbatch.Record, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire(now)
	endpoints := map[origin.Origin]*origin.Origin{}
	for _, r := range records {
		o := r.Origin
		o.SentAt = 0
		if endpoints[o] == nil {
			endpoints[o] = &o
		}
		x.add(r.Key, entry{endpoint: endpoints[o], sentAt: r.Origin.SentAt})
		if len(x.current) >= maxRecords {
			x.previous, x.current, x.changedAt = x.current, nil, now
		}
	}
}

// add adds a record. Records of one key that differ say nothing, as the stream may be of either version.
func (x *Index) add(key uint64, e entry) {
	old, known := x.find(key)
	if known && (old.endpoint == nil || *old.endpoint != *e.endpoint) {
		e = entry{}
	}
	if x.current == nil {
		x.current = map[uint64]entry{}
	}
	x.current[key] = e
}

func (x *Index) find(key uint64) (e entry, ok bool) {
	e, ok = x.current[key]
	if !ok {
		e, ok = x.previous[key]
	}
	return e, ok
}

// expire drops the origins of the period before the previous one. The caller holds the lock.
func (x *Index) expire(now time.Time) {
	switch age := now.Sub(x.changedAt); {
	case age < retention:
		return
	case age < 2*retention:
		x.previous = x.current
	default:
		x.previous = nil
	}
	x.current, x.changedAt = nil, now
}

// Find returns where the stream began. conflict is set if records of it differ, so that this is not known.
func (x *Index) Find(key uint64, now time.Time) (o origin.Origin, ok, conflict bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire(now)
	e, known := x.find(key)
	if !known || e.endpoint == nil {
		return origin.Origin{}, false, known
	}
	o = *e.endpoint
	o.SentAt = e.sentAt
	return o, true, false
}

// Len returns the number of streams that are known.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.current) + len(x.previous)
}
