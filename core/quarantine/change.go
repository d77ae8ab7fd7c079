package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// touch records that the record with the key has changed now.
func (t *Table) touch(k Key, now time.Time) {
	t.records[k].changedAt = now
	t.revise(k)
}

// revise gives the record with the key a version, by which other routers get it.
func (t *Table) revise(k Key) {
	t.version++
	t.records[k].version = t.version
	t.touched = append(t.touched, k)
}

// change makes a change and reports what follows from it.
func (t *Table) change(now time.Time, apply func()) {
	t.mu.Lock()
	if t.records == nil {
		t.records, t.quarantined, t.ended = map[Key]*record{}, map[Key]bool{}, map[uint64]map[Key]bool{}
	}
	t.expire(now)
	apply()
	changed := len(t.touched) > 0
	var quarantined, released []Status
	if changed {
		t.drop()
		quarantined, released = t.announce(now)
	}
	t.touched = t.touched[:0]
	t.size.Store(int64(len(t.records)))
	t.mu.Unlock()
	if changed && t.OnChange != nil {
		t.OnChange(quarantined, released)
	}
}

// announce takes note of the touched records, and returns what has been quarantined or released.
func (t *Table) announce(now time.Time) (quarantined, released []Status) {
	for _, k := range t.touched {
		r := t.records[k]
		if r == nil {
			continue
		}
		t.noteEnds(k)
		is := r.quarantined()
		switch {
		case is == t.quarantined[k]:
		case is:
			t.quarantined[k] = true
			quarantined = append(quarantined, r.status(k, now))
		default:
			delete(t.quarantined, k)
			released = append(released, r.status(k, now))
		}
	}
	return quarantined, released
}

// noteEnds takes note of the processes whose crashes count in the record.
func (t *Table) noteEnds(k Key) {
	for _, c := range t.records[k].crashes {
		if c.cleared {
			delete(t.ended[c.process], k)
			continue
		}
		if t.ended[c.process] == nil {
			t.ended[c.process] = map[Key]bool{}
		}
		t.ended[c.process][k] = true
	}
}

func (t *Table) remove(k Key) {
	delete(t.quarantined, k)
	delete(t.records, k)
}

// expiryInterval is how often expired records are removed.
const expiryInterval = time.Second

// expire removes records that have expired, from time to time.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(expiryInterval)
	t.ended = map[uint64]map[Key]bool{}
	for k, r := range t.records {
		if r.expired(now) {
			t.remove(k)
			continue
		}
		t.noteEnds(k)
	}
}

// drop removes records beyond the limits.
func (t *Table) drop() {
	if len(t.records) <= maxRecords {
		return
	}
	var parts, requests []Key
	for k := range t.records {
		if k.Request {
			requests = append(requests, k)
		} else {
			parts = append(parts, k)
		}
	}
	t.dropLeast(parts)
	t.dropLeast(requests)
}

// dropLeast removes those beyond the limit that were at the fewest crashes, the oldest of them first.
func (t *Table) dropLeast(keys []Key) {
	if len(keys) <= maxRecords {
		return
	}
	events := map[Key]int{}
	for _, k := range keys {
		events[k] = min(t.records[k].events(), quarantineEvents)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(events[a], events[b]), t.records[a].changedAt.Compare(t.records[b].changedAt))
	})
	for _, k := range keys[:len(keys)-keptRecords] {
		t.remove(k)
	}
}
