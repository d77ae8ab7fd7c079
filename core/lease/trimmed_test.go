package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

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
