package lease_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/lease"
)

// Guards against two routers that act for one duty, because one of them started after the log had trimmed the records about it.
func TestRoutersAgreeAfterRecordsWereTrimmed(t *testing.T) {
	var early, late lease.Table
	early.Apply(0, lease.Record{Kind: lease.KindAcquire, Duty: "orders/a", Holder: "gone", After: lease.NoRecord, Seq: 1}.Encode())
	late.SkipTo(1)
	for i, r := range []lease.Record{
		{Kind: lease.KindAcquire, Duty: "orders/a", Holder: "late", After: lease.NoRecord, Seq: 2},
		{Kind: lease.KindAcquire, Duty: "orders/a", Holder: "early", After: 0, Seq: 3},
	} {
		early.Apply(int64(i+1), r.Encode())
		late.Apply(int64(i+1), r.Encode())
	}
	a, _ := early.Lease("orders/a")
	b, _ := late.Lease("orders/a")
	assert.Equal(t, a.Holder, b.Holder)
}

// trimmedHistory is a log of one duty that keeps its newest records only, and the routers that read it, each from its start on.
type trimmedHistory struct {
	log     [][]byte
	routers []trimmedRouter
}

// trimmedRouter is a router with its table.
type trimmedRouter struct {
	name  string
	table *lease.Table
}

// kept is how many records the log keeps, lag by how many a router may be behind when it writes. A log keeps records for hours, and routers are
// behind by seconds.
const (
	kept = 8
	lag  = 3
)

func (h *trimmedHistory) start() {
	r := trimmedRouter{name: fmt.Sprint("router", len(h.routers)), table: &lease.Table{}}
	r.table.SkipTo(int64(max(len(h.log)-kept, 0)))
	h.routers = append(h.routers, r)
}

// read has a router read all but the last records.
func (h *trimmedHistory) read(r trimmedRouter, behind int) {
	if first := int64(max(len(h.log)-kept, 0)); r.table.Next() < first {
		r.table.SkipTo(first)
	}
	for o := r.table.Next(); o < int64(len(h.log)-behind); o++ {
		r.table.Apply(o, h.log[o])
	}
}

// write has a router write what follows from its table.
func (h *trimmedHistory) write(r trimmedRouter, releases bool) {
	l, known := r.table.Lease(duty)
	record := lease.Record{Kind: lease.KindAcquire, Duty: duty, Holder: r.name, After: lease.NoRecord, First: r.table.First(), Seq: int64(len(h.log) + 1)}
	if known {
		record.After = l.LastOffset
	}
	if known && l.Holder == r.name && l.Seq != 0 {
		record.Kind, record.Fence = lease.KindRenew, l.Fence
		if releases {
			record.Kind = lease.KindRelease
		}
	}
	h.log = append(h.log, record.Encode())
}

// Guards against routers that hold one duty at once, because they started to read the log at different records.
func TestAtMostOneRouterHoldsDutyWhateverWasTrimmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &trimmedHistory{}
		h.start()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "starts") == 0 {
				h.start()
			}
			r := h.routers[rapid.IntRange(0, len(h.routers)-1).Draw(t, "router")]
			h.read(r, rapid.IntRange(0, min(lag, len(h.log))).Draw(t, "behind"))
			h.write(r, rapid.IntRange(0, 4).Draw(t, "releases") == 0)
		}
		holders := map[string]int64{}
		for _, r := range h.routers {
			h.read(r, 0)
			l, known := r.table.Lease(duty)
			if known && l.Seq != 0 && l.Holder != "" {
				holders[l.Holder] = l.Fence
			}
		}
		if len(holders) > 1 {
			t.Fatalf("several routers hold the duty: %v", holders)
		}
	})
}
