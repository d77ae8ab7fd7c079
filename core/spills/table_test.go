package spills_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/spills"
)

var start = time.Unix(1_000_000, 0)

const (
	high = 1 << 32
	one  = 7 << 48
	two  = 8 << 48
)

// A peer that reads in pages, with the cursor of the page before, has every entry once.
func TestPeerHasEveryEntry(t *testing.T) {
	var a, b spills.Table
	for i := range uint64(100) {
		a.Add(i*high, one, start)
	}
	cursor, pages := uint64(0), 0
	for {
		data, next := a.Since(cursor, 30)
		if len(data) == 0 {
			break
		}
		b.Take(data, start)
		cursor = next
		pages++
	}
	assert.Equal(t, pages, 4)
	assert.Equal(t, b.Len(), 100)
	e, ok := b.Find(42 * high)
	assert.Assert(t, ok && spills.Names(e, one))
}

// An entry ends with its life, the newest of one chat counts, and a cursor from before what is kept starts anew.
func TestEntriesAge(t *testing.T) {
	var a spills.Table
	a.Add(1*high, one, start)
	a.Add(1*high, two, start.Add(9*time.Minute))
	a.Add(2*high, two, start.Add(11*time.Minute))
	e, ok := a.Find(1 * high)
	assert.Assert(t, ok && spills.Names(e, two))
	a.Add(3*high, two, start.Add(30*time.Minute))
	_, ok = a.Find(1 * high)
	assert.Assert(t, !ok)
	for i := range uint64(5000) {
		a.Add(i*high, one, start.Add(31*time.Minute))
	}
	data, next := a.Since(2, 10)
	assert.Equal(t, len(data), 60)
	assert.Assert(t, next > 10)
}
