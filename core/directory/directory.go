package directory

import (
	"sort"
	"sync"
	"time"
)

// Entry is what an endpoint says of itself.
type Entry struct {
	// ID names the endpoint; Born is when its process started, in Unix milliseconds, 0 when it does not say.
	ID   string
	Born int64
	// Sequence counts the heartbeats of one process.
	Sequence      int64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// Cold is for how much longer the endpoint bears only few requests, counted from when it wrote that.
	Cold time.Duration
	// ColdUnknown tells that the entry does not say it so that it can be read: what it said before holds.
	ColdUnknown bool
}

// Directory keeps the newest entry of each endpoint; the zero value is empty.
type Directory struct {
	mu    sync.Mutex
	known map[string]*record
	// shakyUntil is when entries that vanish count as gone again.
	shakyUntil time.Time
}

// record is an entry with what outlives it.
type record struct {
	entry Entry
	// missingSince is set while the entry has vanished and may come back.
	missingSince time.Time
	// gone entries are kept for a while, so that an old heartbeat that arrives late does not revive them.
	gone   bool
	goneAt time.Time
}

const (
	// Return is how long a vanished entry may take to come back after an outage of the store. The platform promises
	// about two seconds; the rest is for the reader's own period.
	Return = 2300 * time.Millisecond
	// remember is how long a process that has gone stays known: longer than any heartbeat is under way.
	remember = 30 * time.Second
)

// Put takes an entry and tells whether it changed what may be used. Heartbeats of an earlier process, and those
// overtaken by newer ones, change nothing: a leaving endpoint must not come back by a delayed word that it is ready.
func (d *Directory) Put(e Entry) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(e)
}

func (d *Directory) put(e Entry) (changed bool) {
	if d.known == nil {
		d.known = map[string]*record{}
	}
	r := d.known[e.ID]
	if r == nil {
		d.known[e.ID] = &record{entry: e}
		return true
	}
	if r.outdated(e) {
		return false
	}
	back := r.gone || !r.missingSince.IsZero()
	if r.gone && e.Born == r.entry.Born && !r.returns(e) {
		return false
	}
	// A leaving mark holds for the rest of the process's life.
	if e.Born == r.entry.Born && r.entry.Leaving {
		e.Leaving = true
	}
	if e.ColdUnknown && e.Born == r.entry.Born {
		e.Cold = r.entry.Cold
	}
	same := e
	same.Sequence = r.entry.Sequence
	changed = back || same != r.entry
	d.known[e.ID] = &record{entry: e}
	return changed
}

// outdated tells whether the entry is older than what is known. Counts start anew with each process, so they are only
// compared within one.
func (r *record) outdated(e Entry) bool {
	if e.Born != r.entry.Born {
		return e.Born < r.entry.Born
	}
	return e.Sequence < r.entry.Sequence
}

// returns tells whether the word of a process that has gone shows that it is back. A router that has just regained the
// store still lists what vanished meanwhile; its word is no newer than what was known when the entry went.
func (r *record) returns(e Entry) bool {
	return !r.entry.Leaving && e.Sequence > r.entry.Sequence
}

// Remove notes that an entry has vanished and tells whether that changed what may be used. While the store has just
// been away, the endpoint may be alive and about to register again, so it stays in use until Settle gives it up.
func (d *Directory) Remove(id string, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id, now)
}

func (d *Directory) remove(id string, now time.Time) (changed bool) {
	r := d.known[id]
	if r == nil || r.gone {
		return false
	}
	if now.Before(d.shakyUntil) && !r.entry.Leaving {
		if r.missingSince.IsZero() {
			r.missingSince = now
		}
		return false
	}
	r.gone, r.goneAt = true, now
	return true
}

// Drop takes another router's word that this process of an endpoint may have no new work.
func (d *Directory) Drop(e Entry, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.known[e.ID]
	if r == nil || r.gone || r.entry.Born != e.Born {
		return false
	}
	r.gone, r.goneAt = true, now
	r.entry.Leaving = r.entry.Leaving || e.Leaving
	return true
}

// Leaving tells whether the endpoint said so, which holds for the rest of its process's life.
func (d *Directory) Leaving(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.known[id]
	return r != nil && r.entry.Leaving
}

// Replace takes the whole list as it stands; what it lacks has vanished.
func (d *Directory) Replace(entries []Entry, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		changed = d.put(e) || changed
	}
	for id := range d.known {
		if !listed[id] {
			changed = d.remove(id, now) || changed
		}
	}
	return changed
}

// Disturbed notes that the list could not be read. Entries lapse in an outage because endpoints cannot renew them;
// taking them all as gone would empty whole services that are alive.
func (d *Directory) Disturbed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shakyUntil = now.Add(Return)
}

// Settle gives up entries that have not come back in time, and tells whether there were any.
func (d *Directory) Settle(now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.known {
		if r.gone && now.Sub(r.goneAt) > remember {
			delete(d.known, id)
		}
		if now.Before(d.shakyUntil) || r.gone || r.missingSince.IsZero() {
			continue
		}
		r.gone, r.goneAt = true, now
		changed = true
	}
	return changed
}

// Usable are the endpoints that may take new work, by id.
func (d *Directory) Usable() (entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.known {
		if !r.gone && !r.entry.Leaving {
			entries = append(entries, r.entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}
