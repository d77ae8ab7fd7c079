package lease

import (
	"encoding/json"
)

// Table is what the stream says of who holds which duty; routers that have read as far agree. The zero value has no
// holders. No time stamp of the log is used: each router measures terms on its own clock.
type Table struct {
	next   int64
	duties map[string]Lease
}

// Lease is who holds a duty, under which fencing number, and the newest record about it.
type Lease struct {
	Holder string
	Fence  int64
	Last   int64
	// Seq tells apart what its holder wrote.
	Seq int64
}

// Kinds of records on the stream of leases.
const (
	KindAcquire = "acquire"
	KindRenew   = "renew"
	KindRelease = "release"
)

// Record is one record of the stream. An acquisition names in After the newest record about the duty that its writer
// had read, so that of two challengers only the first one wins.
type Record struct {
	Kind   string `json:"kind"`
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	After  int64  `json:"after"`
	Seq    int64  `json:"seq"`
}

// NoRecord is After of the first acquisition of a duty.
const NoRecord = -1

// Encode writes the record.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("lease: a record that JSON cannot hold: " + err.Error())
	}
	return data
}

// Next is the offset of the first record that is not applied yet.
func (t *Table) Next() int64 { return t.next }

// SkipTo goes on behind records that the log has trimmed.
func (t *Table) SkipTo(offset int64) { t.next = max(t.next, offset) }

// Apply takes the next record; one already applied changes nothing.
func (t *Table) Apply(offset int64, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Duty == "" {
		return
	}
	if t.duties == nil {
		t.duties = map[string]Lease{}
	}
	t.apply(offset, r)
}

func (t *Table) apply(offset int64, r Record) {
	l, known := t.duties[r.Duty]
	switch r.Kind {
	case KindAcquire:
		if known && r.After != l.Last {
			return
		}
		t.duties[r.Duty] = Lease{Holder: r.Holder, Fence: offset, Last: offset, Seq: r.Seq}
	case KindRenew:
		// A renewal whose acquisition is trimmed tells who holds the duty.
		if known && (l.Holder != r.Holder || l.Fence != r.Fence) {
			return
		}
		t.duties[r.Duty] = Lease{Holder: r.Holder, Fence: r.Fence, Last: offset, Seq: r.Seq}
	case KindRelease:
		if known && l.Holder == r.Holder && l.Fence == r.Fence {
			t.duties[r.Duty] = Lease{Fence: l.Fence, Last: offset}
		}
	}
}

// Lease is the state of a duty; known is false when no record was about it.
func (t *Table) Lease(duty string) (l Lease, known bool) {
	l, known = t.duties[duty]
	return l, known
}
