package origintable

import (
	"sync"
	"time"

	"savoryfall/core/origin"
)

// Record is the origin of one stream. Field names are part of the wire format between routers.
type Record struct {
	// Key identifies the stream, see origin.Key.
	Key    uint64
	Origin origin.Origin
	// Attempt counts the attempts of one request to begin the stream. A later one takes the place of those before it.
	Attempt int
	// Remaining is for how long the record is kept.
	Remaining time.Duration
}

// Table keeps records until they expire. The zero value is empty.
type Table struct {
	mu      sync.Mutex
	byKey   map[uint64]*entry
	sweepAt time.Time
}

type entry struct {
	record Record
	// began is set if the stream began at this router, and shared once other routers were given the record.
	began, shared bool
	// final is set once the client may have events of the stream, so that no later attempt takes the record's place, and logged
	// once the record was appended to the log.
	final, logged bool
	expires       time.Time
}

const (
	// maxRecords bounds the table. At about 200 bytes each they take 10 MB.
	maxRecords = 50_000
	// sweepInterval is the interval between two removals of all expired records.
	sweepInterval = time.Second
)

// Put keeps a record of a stream that began at another router, and reports whether there was room for it.
func (t *Table) Put(r Record, now time.Time) (ok bool) {
	return t.put(entry{record: r, shared: true}, now)
}

// Begin keeps a record of a stream that begins at this router, which other routers are given if it is shared.
func (t *Table) Begin(r Record, shared bool, now time.Time) (ok bool) {
	return t.put(entry{record: r, began: true, shared: shared}, now)
}

func (t *Table) put(e entry, now time.Time) (ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.byKey == nil {
		t.byKey = map[uint64]*entry{}
	}
	e.expires = now.Add(e.record.Remaining)
	old := t.byKey[e.record.Key]
	switch {
	case old == nil && len(t.byKey) >= maxRecords:
		return false
	case old != nil && old.record.Attempt > e.record.Attempt:
		return true
	}
	t.byKey[e.record.Key] = &e
	return true
}

// sweep drops the expired records. The caller holds the lock.
func (t *Table) sweep(now time.Time) {
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	for key, e := range t.byKey {
		if !now.Before(e.expires) {
			delete(t.byKey, key)
		}
	}
}

// Find returns the record of the stream.
func (t *Table) Find(key uint64, now time.Time) (r Record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byKey[key]
	if e == nil || !now.Before(e.expires) {
		return Record{}, false
	}
	return e.remaining(now), true
}

func (e *entry) remaining(now time.Time) (r Record) {
	r = e.record
	r.Remaining = e.expires.Sub(now)
	return r
}

// TakeUnshared returns the records of the service's streams that began here and were not shared, and counts them as shared.
func (t *Table) TakeUnshared(service string, now time.Time) (records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, e := range t.byKey {
		if e.began && !e.shared && e.record.Origin.Service == service {
			e.shared = true
			records = append(records, e.remaining(now))
		}
	}
	return records
}

// Finalize records that the client is about to get the first event of the stream, from the endpoint of the record. logged tells
// whether the record is in the log.
func (t *Table) Finalize(r Record, logged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byKey[r.Key]
	if e != nil && e.began && e.record.Origin == r.Origin {
		e.final, e.logged = true, e.logged || logged
	}
}

// TakeUnlogged returns the final records of the service's streams that began here and are not in the log, and counts them as
// logged.
func (t *Table) TakeUnlogged(service string, now time.Time) (records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, e := range t.byKey {
		if e.final && !e.logged && e.record.Origin.Service == service {
			e.logged = true
			records = append(records, e.remaining(now))
		}
	}
	return records
}

// Shared returns all records that are shared between routers.
func (t *Table) Shared(now time.Time) (records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, e := range t.byKey {
		if e.shared && now.Before(e.expires) {
			records = append(records, e.remaining(now))
		}
	}
	return records
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}
