package overflow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/overflow"
)

var start = time.Unix(1_000_000, 0)

const (
	chatUnit    = 1 << 32
	endpointOne = 7 << 48
	endpointTwo = 8 << 48
)

// A peer that reads in pages, passing each cursor on to the next call, receives every entry exactly once.
func TestPagedReadTransfersEveryEntryOnce(t *testing.T) {
	var a, b overflow.Table
	for i := range uint64(100) {
		a.Add(i*chatUnit, endpointOne, start)
	}
	cursor, pages := uint64(0), 0
	for {
		data, next := a.OwnSince(cursor, 30)
		if len(data) == 0 {
			break
		}
		b.Merge(data, start)
		cursor = next
		pages++
	}
	assert.Equal(t, pages, 4)
	assert.Equal(t, b.Len(), 100)
	e, ok := b.Find(42 * chatUnit)
	assert.Assert(t, ok && overflow.Matches(e, endpointOne))
}

// An entry expires after its TTL, a newer entry for the same chat replaces the older one, and a cursor from before the
// retained entries starts at the oldest retained one.
func TestEntriesExpire(t *testing.T) {
	var a overflow.Table
	a.Add(1*chatUnit, endpointOne, start)
	a.Add(1*chatUnit, endpointTwo, start.Add(9*time.Minute))
	a.Add(2*chatUnit, endpointTwo, start.Add(11*time.Minute))
	e, ok := a.Find(1 * chatUnit)
	assert.Assert(t, ok && overflow.Matches(e, endpointTwo))
	a.Add(3*chatUnit, endpointTwo, start.Add(30*time.Minute))
	_, ok = a.Find(1 * chatUnit)
	assert.Assert(t, !ok)
	for i := range uint64(5000) {
		a.Add(i*chatUnit, endpointOne, start.Add(31*time.Minute))
	}
	data, next := a.OwnSince(2, 10)
	assert.Equal(t, len(data), 60)
	assert.Assert(t, next > 10)
}
