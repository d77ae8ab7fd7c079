package directory_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/directory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func entry(id string, born, sequence int64) directory.Entry {
	return directory.Entry{ID: id, Born: born, Sequence: sequence, Service: "s", Address: id}
}

func leaving(e directory.Entry) directory.Entry {
	e.Leaving = true
	return e
}

func ids(d *directory.Directory) (list string) {
	for _, e := range d.Usable() {
		list += e.ID
	}
	return list
}

func TestHeartbeatsChangeNothing(t *testing.T) {
	var d directory.Directory
	assert.Assert(t, d.Put(entry("a", 1, 1)))
	assert.Assert(t, !d.Put(entry("a", 1, 2)))
	moved := entry("a", 1, 3)
	moved.Address = "elsewhere"
	assert.Assert(t, d.Put(moved))
}

// A leaving endpoint must get no new work because of a heartbeat that was sent before it said so and arrives after.
func TestLeavingIsNotTakenBack(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 5))
	assert.Assert(t, d.Put(leaving(entry("a", 1, 6))))
	assert.Assert(t, !d.Put(entry("a", 1, 4)))
	assert.Equal(t, ids(&d), "")
	d.Put(entry("a", 1, 7))
	assert.Equal(t, ids(&d), "")
	d.Remove("a", start)
	d.Put(entry("a", 1, 8))
	assert.Equal(t, ids(&d), "")
}

// An endpoint that starts again under its name counts from the beginning; an old heartbeat of its life before must not
// bring that life back.
func TestNewLifeUnderTheSameName(t *testing.T) {
	var d directory.Directory
	d.Put(leaving(entry("a", 1, 50)))
	assert.Assert(t, d.Put(entry("a", 2, 1)))
	assert.Equal(t, ids(&d), "a")
	assert.Assert(t, !d.Put(leaving(entry("a", 1, 51))))
	assert.Equal(t, ids(&d), "a")
}

func TestVanishedEntryIsGoneWhenTheStoreWasWell(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 1))
	assert.Assert(t, d.Remove("a", start))
	assert.Equal(t, ids(&d), "")
}

// The store was down and endpoints could not renew their entries: all vanish at once although all live. They stay in
// use until about two seconds after the store's return; those that have come back stay, the others are gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 1))
	d.Put(entry("b", 1, 1))
	d.Disturbed(start)
	back := start.Add(100 * time.Millisecond)
	assert.Assert(t, !d.Replace(nil, back))
	assert.Equal(t, ids(&d), "ab")
	d.Put(entry("a", 1, 2))
	assert.Assert(t, !d.Settle(start.Add(2*time.Second)))
	assert.Assert(t, d.Settle(start.Add(2500*time.Millisecond)))
	assert.Equal(t, ids(&d), "a")
	d.Put(entry("b", 1, 2))
	assert.Equal(t, ids(&d), "ab")
}

// An endpoint that said it would leave is not kept for an outage.
func TestLeavingEntryIsNotKeptInAnOutage(t *testing.T) {
	var d directory.Directory
	d.Put(leaving(entry("a", 1, 1)))
	d.Disturbed(start)
	d.Remove("a", start)
	assert.Equal(t, ids(&d), "")
}

// An endpoint has left without a word, and its entry was removed. Another router, which could not read the store then,
// still lists it: that must not bring it back. It was sent requests for two seconds more so. Its own next heartbeat does.
func TestOldWordDoesNotBringBack(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 7))
	d.Remove("a", start)
	assert.Assert(t, !d.Put(entry("a", 1, 7)))
	assert.Assert(t, !d.Replace([]directory.Entry{entry("a", 1, 3)}, start))
	assert.Equal(t, ids(&d), "")
	assert.Assert(t, d.Put(entry("a", 1, 8)))
	assert.Equal(t, ids(&d), "a")
}

// What another router says of an earlier process of an endpoint does not end the present one.
func TestDropMeansOneProcess(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 2, 1))
	assert.Assert(t, !d.Drop(entry("a", 1, 9), start))
	assert.Assert(t, d.Drop(entry("a", 2, 1), start))
	assert.Equal(t, ids(&d), "")
	d.Put(entry("a", 2, 2))
	assert.Equal(t, ids(&d), "a")
	assert.Assert(t, d.Drop(leaving(entry("a", 2, 2)), start))
	d.Put(entry("a", 2, 3))
	assert.Equal(t, ids(&d), "")
}

// In whatever order the heartbeats of an endpoint's lives arrive, it is usable exactly when the newest one says so, or
// said so before it was marked as leaving.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var written []directory.Entry
		for born := int64(1); born <= 3; born++ {
			leaves := rapid.Int64Range(1, 6).Draw(t, "leaves")
			for sequence := int64(1); sequence <= 4; sequence++ {
				e := entry("a", born, sequence)
				e.Leaving = sequence >= leaves
				written = append(written, e)
			}
		}
		newest := written[len(written)-1]
		var d directory.Directory
		for _, e := range rapid.Permutation(written).Draw(t, "order") {
			d.Put(e)
		}
		usable := d.Usable()
		if newest.Leaving != (len(usable) == 0) {
			t.Fatalf("leaving %v, usable %v", newest.Leaving, usable)
		}
		if len(usable) > 0 && usable[0].Born != 3 {
			t.Fatalf("an earlier life is in use: %v", usable[0])
		}
	})
}
