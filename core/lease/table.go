package lease

import (
	"encoding/json"
)

// Table holds the leases as read from the stream; routers that have read up to the same offset agree. The zero value is
// empty. It uses no timestamps of the log, since each router measures terms by its own clock.
type Table struct {
	next   int64
	leases map[string]Lease
}

// Lease holds the holder of a duty, its fencing number, and the offset of the latest record about the duty.
type Lease struct {
	Holder     string
	Fence      int64
	LastOffset int64
	// Seq identifies the holder's record, so that the holder can match it to its append.
	Seq int64
}

// Kinds of records in the lease stream.
const (
	KindAcquire = "acquire"
	KindRenew   = "renew"
	KindRelease = "release"
)

// Record is one record of the stream. An acquisition sets After to the offset of the latest record about the duty that
// its writer had read, so that only the first of two challengers succeeds.
type Record struct {
	Kind   string `json:"kind"`
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	After  int64  `json:"after"`
	Seq    int64  `json:"seq"`
}

// NoRecord is the value of After in the first acquisition of a duty.
const NoRecord = -1

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

// SkipTo continues after records that the log has trimmed.
func (t *Table) SkipTo(offset int64) { t.next = max(t.next, offset) }

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
	switch r.Kind {
	case KindAcquire:
		if known && r.After != l.LastOffset {
			return
		}
		t.leases[r.Duty] = Lease{Holder: r.Holder, Fence: offset, LastOffset: offset, Seq: r.Seq}
	case KindRenew:
		// If the acquisition has been trimmed, the renewal establishes the holder.
		if known && (l.Holder != r.Holder || l.Fence != r.Fence) {
			return
		}
		t.leases[r.Duty] = Lease{Holder: r.Holder, Fence: r.Fence, LastOffset: offset, Seq: r.Seq}
	case KindRelease:
		if known && l.Holder == r.Holder && l.Fence == r.Fence {
			t.leases[r.Duty] = Lease{Fence: l.Fence, LastOffset: offset}
		}
	}
}

// Lease returns the lease on a duty; known is false if no record about it has been read.
func (t *Table) Lease(duty string) (l Lease, known bool) {
	l, known = t.leases[duty]
	return l, known
}
