package origintable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/origin"
	"savoryfall/core/origintable"
)

var now = time.Unix(1000, 0)

func record(key uint64, version string, attempt int) origintable.Record {
	return origintable.Record{Key: key, Origin: origin.Origin{Service: "models", Version: version}, Attempt: attempt, Remaining: 10 * time.Second}
}

func TestRecordsExpire(t *testing.T) {
	var table origintable.Table
	assert.Assert(t, table.Put(record(1, "v1", 1), now))
	r, ok := table.Find(1, now.Add(4*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, r.Remaining, 6*time.Second)
	_, ok = table.Find(1, now.Add(10*time.Second))
	assert.Assert(t, !ok)
	table.Put(record(2, "v1", 1), now.Add(20*time.Second))
	assert.Equal(t, table.Len(), 1)
}

// Guards against a record of a failed attempt that overtakes that of the attempt which began the stream.
func TestLaterAttemptHolds(t *testing.T) {
	var table origintable.Table
	table.Put(record(1, "v2", 2), now)
	assert.Assert(t, table.Put(record(1, "v1", 1), now))
	r, _ := table.Find(1, now)
	assert.Equal(t, r.Origin.Version, "v2")
}

// Guards against clients that fill the memory with attempts.
func TestTableIsBounded(t *testing.T) {
	var table origintable.Table
	for key := range uint64(60_000) {
		table.Put(record(key, "v1", 1), now)
	}
	assert.Equal(t, table.Len(), 50_000)
	assert.Assert(t, !table.Put(record(70_000, "v1", 1), now))
	assert.Assert(t, table.Put(record(1, "v1", 2), now), "a known stream")
	assert.Assert(t, table.Put(record(70_000, "v1", 1), now.Add(11*time.Second)))
	assert.Equal(t, table.Len(), 1)
}

func TestUnsharedRecordsAreTakenOnce(t *testing.T) {
	var table origintable.Table
	table.Begin(record(1, "v1", 1), false, now)
	table.Begin(record(2, "v1", 1), true, now)
	table.Put(record(3, "v1", 1), now)
	assert.Equal(t, len(table.TakeUnshared("other", now)), 0)
	assert.Equal(t, len(table.Shared(now)), 2)
	taken := table.TakeUnshared("models", now)
	assert.Equal(t, len(taken), 1)
	assert.Equal(t, taken[0].Key, uint64(1))
	assert.Equal(t, len(table.TakeUnshared("models", now)), 0)
	assert.Equal(t, len(table.Shared(now)), 3)
}

// Guards against records of attempts that another attempt may take the place of, and against records that are appended twice.
func TestTakeUnloggedReturnsFinalRecords(t *testing.T) {
	var x origintable.Table
	now := time.Unix(1000, 0)
	rec := func(key uint64, version string) origintable.Record {
		return origintable.Record{Key: key, Origin: origin.Origin{Service: "models", Version: version}, Remaining: time.Minute}
	}
	for key := range uint64(4) {
		x.Begin(rec(key, "v1"), false, now)
	}
	x.Put(rec(4, "v1"), now)
	x.Finalize(rec(1, "v1"), false)
	x.Finalize(rec(2, "v1"), true)
	x.Finalize(rec(3, "v2"), false)
	x.Finalize(rec(4, "v1"), false)
	x.Finalize(rec(5, "v1"), false)
	assert.Equal(t, len(x.TakeUnlogged("plain", now)), 0)
	assert.DeepEqual(t, x.TakeUnlogged("models", now), []origintable.Record{rec(1, "v1")})
	assert.Equal(t, len(x.TakeUnlogged("models", now)), 0)
}
