package lease

import (
	"encoding/json"
)

// Table holds the leases as read from the stream; routers that have read up to the same offset agree. The zero value is
// empty. It uses no timestamps of the log, since each router measures terms by its own clock.
type Table struct {
	next int64
	// first is the offset of the first record that this table has had the chance to read: the log has trimmed those before.
	first  int64
	leases map[string]Lease
}

// Lease holds the holder of a duty, its fencing number, and the offset of the latest record about the duty.
type Lease struct {
	Holder     string
	Fence      int64
	LastOffset int64
	// Seq identifies the holder's record, so that the holder can match it to its append. It is 0 if the lease is uncertain.
	Seq int64
	// uncertain is set if records that have been trimmed decide whether this or an earlier record about the duty is valid. Holder is then the
	// writer of the latest one, which may hold the duty.
	uncertain bool
}

// Kinds of records in the lease stream.
const (
	KindAcquire = "acquire"
	KindRenew   = "renew"
	KindRelease = "release"
)

// Record is one record of the stream. An acquisition sets After to the offset of the latest record about the duty that
// its writer had read, so that only the first of two challengers succeeds. A writer that has read none sets First to the offset
// from which on it has read the stream.
type Record struct {
	Kind   string `json:"kind"`
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	After  int64  `json:"after"`
	First  int64  `json:"first,omitempty"`
	Seq    int64  `json:"seq"`
}

// NoRecord is the value of After in the first acquisition of a duty.
const NoRecord = -1

// since returns the offset after which, by the writer of an acquisition, there is no record about the duty.
func (r Record) since() int64 {
	if r.After == NoRecord {
		return r.First - 1
	}
	return r.After
}

// Encode encodes the record as JSON.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("lease: encode record as JSON: " + err.Error())
	}
	return data
}

// Next returns the offset of the first record that has not been applied.
func (t *Table) Next() int64 { return t.next }

// First returns the offset of the first record that the table has had the chance to read.
func (t *Table) First() int64 { return t.first }

// SkipTo continues after records that the log has trimmed. They may have been about any duty, so that what was read before says
// nothing of the leases now.
func (t *Table) SkipTo(offset int64) {
	if offset <= t.next {
		return
	}
	t.next, t.first, t.leases = offset, offset, nil
}

// Apply applies the next record; a record that was already applied is ignored.
func (t *Table) Apply(offset int64, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Duty == "" {
		return
	}
	if t.leases == nil {
		t.leases = map[string]Lease{}
	}
	t.apply(offset, r)
}

func (t *Table) apply(offset int64, r Record) {
	l, known := t.leases[r.Duty]
	switch {
	case !known:
		t.leases[r.Duty] = t.firstLease(offset, r)
	case l.uncertain:
		t.leases[r.Duty] = l.uncertainAfter(offset, r)
	default:
		t.leases[r.Duty] = l.after(offset, r)
	}
}

// firstLease returns the lease after the first record about a duty that this table reads. An acquisition is valid if its writer has read the
// stream from no later than this table on. A renewal may be one of a holder that has been replaced.
func (t *Table) firstLease(offset int64, r Record) (l Lease) {
	if r.Kind == KindAcquire && r.since()+1 >= t.first {
		return acquired(offset, r)
	}
	return Lease{}.uncertainAfter(offset, r)
}

func acquired(offset int64, r Record) Lease {
	return Lease{Holder: r.Holder, Fence: offset, LastOffset: offset, Seq: r.Seq}
}

// uncertainAfter returns an uncertain lease after a further record. It becomes certain with an acquisition whose writer had read all
// others: that is valid, whichever of them are. Until then a challenger waits for as long as records come.
func (l Lease) uncertainAfter(offset int64, r Record) Lease {
	if r.Kind == KindAcquire && l.uncertain && r.since() >= l.LastOffset {
		return acquired(offset, r)
	}
	return Lease{Holder: r.Holder, Fence: r.Fence, LastOffset: offset, uncertain: true}
}

// after returns a certain lease after a further record, which is ignored if it is not valid.
func (l Lease) after(offset int64, r Record) Lease {
	holds := l.Holder == r.Holder && l.Fence == r.Fence
	switch {
	case r.Kind == KindAcquire && r.since() >= l.LastOffset:
		return acquired(offset, r)
	case r.Kind == KindRenew && holds:
		return Lease{Holder: r.Holder, Fence: r.Fence, LastOffset: offset, Seq: r.Seq}
	case r.Kind == KindRelease && holds:
		return Lease{Fence: l.Fence, LastOffset: offset}
	}
	return l
}

// Lease returns the lease on a duty; known is false if no record about it has been read.
func (t *Table) Lease(duty string) (l Lease, known bool) {
	l, known = t.leases[duty]
	return l, known
}
