package directory

import (
	"sort"
	"sync"
	"time"
)

// Entry is the registration that an endpoint writes about itself.
type Entry struct {
	// ID names the endpoint. Born is the start time of its process in Unix milliseconds, or 0 if it is not given.
	ID   string
	Born int64
	// Sequence counts the heartbeats of one process.
	Sequence      int64
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the endpoint's software, a text without order. It is empty if the entry does not give one.
	Version string
	Slots   int
	Leaving bool
	// Cold is how much longer the endpoint can only handle few requests, measured from the time of writing.
	Cold time.Duration
	// ColdUnknown is set when the entry has no readable value for Cold; the previous value stays in force.
	ColdUnknown bool
}

// Directory keeps the newest entry of each endpoint; the zero value is empty.
type Directory struct {
	mu      sync.Mutex
	records map[string]*record
	// graceUntil is the time until which a vanished entry is kept in use.
	graceUntil time.Time
}

// record is an entry together with state that outlives the entry.
type record struct {
	entry Entry
	// vanishedAt is set while the entry has vanished but may still come back.
	vanishedAt time.Time
	// Removed entries are kept as tombstones for a while, so that a delayed heartbeat does not revive them.
	removed   bool
	removedAt time.Time
}

const (
	// VanishedGrace is how long after a store outage a vanished entry may take to come back. The platform promises
	// about two seconds; the remainder covers the reader's own polling period.
	VanishedGrace = 2300 * time.Millisecond
	// tombstoneRetention is how long a removed process stays known. It must exceed the time that any heartbeat can
	// be in transit.
	tombstoneRetention = 30 * time.Second
	// leavingRetention is how long a removed process that was leaving stays known. It must exceed the age of any list
	// of endpoints that may still be received, such as that of a hub which was cut off from the store.
	leavingRetention = 10 * time.Minute
)

// Put stores an entry and returns whether the set of usable endpoints changed. Heartbeats of an earlier process,
// and those overtaken by newer ones, are ignored: a delayed heartbeat must not make a leaving endpoint usable
// again.
func (d *Directory) Put(e Entry) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(e)
}

func (d *Directory) put(e Entry) (changed bool) {
	if d.records == nil {
		d.records = map[string]*record{}
	}
	r := d.records[e.ID]
	if r == nil {
		d.records[e.ID] = &record{entry: e}
		return true
	}
	if r.outdated(e) {
		return false
	}
	reappeared := r.removed || !r.vanishedAt.IsZero()
	if r.removed && e.Born == r.entry.Born && !r.revivedBy(e) {
		return false
	}
	// A leaving mark holds for the rest of the process's life.
	if e.Born == r.entry.Born && r.entry.Leaving {
		e.Leaving = true
	}
	// A router of an earlier release passes entries on without the version.
	if e.Version == "" && e.Born == r.entry.Born {
		e.Version = r.entry.Version
	}
	if e.ColdUnknown && e.Born == r.entry.Born {
		e.Cold = r.entry.Cold
	}
	unsequenced := e
	unsequenced.Sequence = r.entry.Sequence
	changed = reappeared || unsequenced != r.entry
	d.records[e.ID] = &record{entry: e}
	return changed
}

// outdated returns whether the entry is older than the known one. Sequence numbers restart with each process, so
// they are compared only within one process.
func (r *record) outdated(e Entry) bool {
	if e.Born != r.entry.Born {
		return e.Born < r.entry.Born
	}
	return e.Sequence < r.entry.Sequence
}

// revivedBy returns whether the entry of a removed process shows that the process is back. A router that has just
// regained access to the store may still list an entry that has vanished meanwhile; such an entry is no newer than
// the one that was removed.
func (r *record) revivedBy(e Entry) bool {
	return !r.entry.Leaving && e.Sequence > r.entry.Sequence
}

// Remove records that an entry has vanished and returns whether the set of usable endpoints changed. Shortly after
// a store outage the endpoint may still be alive and about to register again, so it stays usable until
// ExpireVanished removes it.
func (d *Directory) Remove(id string, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id, now)
}

func (d *Directory) remove(id string, now time.Time) (changed bool) {
	r := d.records[id]
	if r == nil || r.removed {
		return false
	}
	if now.Before(d.graceUntil) && !r.entry.Leaving {
		if r.vanishedAt.IsZero() {
			r.vanishedAt = now
		}
		return false
	}
	r.removed, r.removedAt = true, now
	return true
}

// RemoveProcess removes one process of an endpoint because another router reports that it must not be given new
// requests. It returns whether the set of usable endpoints changed.
func (d *Directory) RemoveProcess(e Entry, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[e.ID]
	if r == nil || r.entry.Born != e.Born {
		return false
	}
	r.entry.Leaving = r.entry.Leaving || e.Leaving
	if r.removed {
		return false
	}
	r.removed, r.removedAt = true, now
	return true
}

// MarkLeaving records that a process of an endpoint has announced that it is leaving, and returns whether the set of
// usable endpoints changed. The mark holds for the rest of the process's life, whatever its entries say.
func (d *Directory) MarkLeaving(e Entry, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records == nil {
		d.records = map[string]*record{}
	}
	r := d.records[e.ID]
	if r == nil {
		e.Leaving = true
		d.records[e.ID] = &record{entry: e, removed: true, removedAt: now}
		return false
	}
	if r.entry.Born != e.Born || r.entry.Leaving {
		return false
	}
	r.entry.Leaving = true
	return !r.removed
}

// Leaving returns whether the endpoint has announced that it is leaving, which holds for the rest of its process's
// life.
func (d *Directory) Leaving(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[id]
	return r != nil && r.entry.Leaving
}

// Replace stores the complete list of entries; entries that it lacks have vanished.
func (d *Directory) Replace(entries []Entry, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		changed = d.put(e) || changed
	}
	for id := range d.records {
		if !listed[id] {
			changed = d.remove(id, now) || changed
		}
	}
	return changed
}

// ReadFailed records that the list could not be read, or that it was replaced by an older one. During an outage entries
// expire because endpoints cannot renew them; removing them all would empty whole services whose endpoints are alive.
func (d *Directory) ReadFailed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.graceUntil = now.Add(VanishedGrace)
}

// ExpireVanished removes the entries that have not come back in time and returns whether there were any.
func (d *Directory) ExpireVanished(now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records {
		if r.expired(now) {
			delete(d.records, id)
		}
		if now.Before(d.graceUntil) || r.removed || r.vanishedAt.IsZero() {
			continue
		}
		r.removed, r.removedAt = true, now
		changed = true
	}
	return changed
}

// expired returns whether a removed process need not be known any longer.
func (r *record) expired(now time.Time) bool {
	retention := tombstoneRetention
	if r.entry.Leaving {
		retention = leavingRetention
	}
	return r.removed && now.Sub(r.removedAt) > retention
}

// Usable returns the endpoints that may be given new requests, sorted by ID.
func (d *Directory) Usable() (entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.records {
		if !r.removed && !r.entry.Leaving {
			entries = append(entries, r.entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}
