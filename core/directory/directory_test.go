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

func usableIDs(d *directory.Directory) (list string) {
	for _, e := range d.Usable() {
		list += e.ID
	}
	return list
}

func TestHeartbeatIsNoChange(t *testing.T) {
	var d directory.Directory
	assert.Assert(t, d.Put(entry("a", 1, 1)))
	assert.Assert(t, !d.Put(entry("a", 1, 2)))
	moved := entry("a", 1, 3)
	moved.Address = "elsewhere"
	assert.Assert(t, d.Put(moved))
}

// A heartbeat that was sent before the leaving mark of an endpoint and arrives after it must not make the endpoint
// usable again.
func TestLeavingIsPermanentForAProcess(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 5))
	assert.Assert(t, d.Put(leaving(entry("a", 1, 6))))
	assert.Assert(t, !d.Put(entry("a", 1, 4)))
	assert.Equal(t, usableIDs(&d), "")
	d.Put(entry("a", 1, 7))
	assert.Equal(t, usableIDs(&d), "")
	d.Remove("a", start)
	d.Put(entry("a", 1, 8))
	assert.Equal(t, usableIDs(&d), "")
}

// A restarted endpoint counts its heartbeats from 1 again. A late heartbeat of the earlier process must not
// replace the new process.
func TestNewProcessUnderTheSameID(t *testing.T) {
	var d directory.Directory
	d.Put(leaving(entry("a", 1, 50)))
	assert.Assert(t, d.Put(entry("a", 2, 1)))
	assert.Equal(t, usableIDs(&d), "a")
	assert.Assert(t, !d.Put(leaving(entry("a", 1, 51))))
	assert.Equal(t, usableIDs(&d), "a")
}

func TestVanishedEntryIsRemovedWhenStoreIsHealthy(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 1))
	assert.Assert(t, d.Remove("a", start))
	assert.Equal(t, usableIDs(&d), "")
}

// While the store is down, endpoints cannot renew their entries, and all of them vanish at once although the
// endpoints are alive. They stay usable until about two seconds after the store is back; those that have not
// registered again by then are removed.
func TestEntriesThatExpireInAnOutageStayUsable(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 1))
	d.Put(entry("b", 1, 1))
	d.ReadFailed(start)
	back := start.Add(100 * time.Millisecond)
	assert.Assert(t, !d.Replace(nil, back))
	assert.Equal(t, usableIDs(&d), "ab")
	d.Put(entry("a", 1, 2))
	assert.Assert(t, !d.ExpireVanished(start.Add(2*time.Second)))
	assert.Assert(t, d.ExpireVanished(start.Add(2500*time.Millisecond)))
	assert.Equal(t, usableIDs(&d), "a")
	d.Put(entry("b", 1, 2))
	assert.Equal(t, usableIDs(&d), "ab")
}

// An endpoint that announced that it is leaving is not kept during an outage.
func TestLeavingEntryIsNotKeptInAnOutage(t *testing.T) {
	var d directory.Directory
	d.Put(leaving(entry("a", 1, 1)))
	d.ReadFailed(start)
	d.Remove("a", start)
	assert.Equal(t, usableIDs(&d), "")
}

// The entry of an endpoint that stopped without notice was removed. Another router that could not read the store
// at that time still lists the entry, which must not make the endpoint usable again: it used to get requests for
// two more seconds. The endpoint's own next heartbeat does make it usable.
func TestStaleEntryDoesNotRevive(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 7))
	d.Remove("a", start)
	assert.Assert(t, !d.Put(entry("a", 1, 7)))
	assert.Assert(t, !d.Replace([]directory.Entry{entry("a", 1, 3)}, start))
	assert.Equal(t, usableIDs(&d), "")
	assert.Assert(t, d.Put(entry("a", 1, 8)))
	assert.Equal(t, usableIDs(&d), "a")
}

// A report by another router about an earlier process of an endpoint does not remove the present process.
func TestRemoveProcessAffectsOneProcess(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 2, 1))
	assert.Assert(t, !d.RemoveProcess(entry("a", 1, 9), start))
	assert.Assert(t, d.RemoveProcess(entry("a", 2, 1), start))
	assert.Equal(t, usableIDs(&d), "")
	d.Put(entry("a", 2, 2))
	assert.Equal(t, usableIDs(&d), "a")
	assert.Assert(t, d.RemoveProcess(leaving(entry("a", 2, 2)), start))
	d.Put(entry("a", 2, 3))
	assert.Equal(t, usableIDs(&d), "")
}

// In whatever order the heartbeats of an endpoint's processes arrive, the endpoint is usable exactly if the last
// heartbeat of the newest process has no leaving mark.
func TestArrivalOrderDoesNotMatter(t *testing.T) {
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
			t.Fatalf("an earlier process is in use: %v", usable[0])
		}
	})
}

// Guards against an entry or a list that is older than an endpoint's own word that it is leaving.
func TestMarkInAnswerOutlastsOlderEntries(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 5))
	d.Put(entry("b", 1, 5))
	assert.Assert(t, d.MarkLeaving(entry("a", 1, 5), start))
	assert.Assert(t, !d.MarkLeaving(entry("a", 1, 5), start))
	assert.Equal(t, usableIDs(&d), "b")
	assert.Assert(t, !d.Put(entry("a", 1, 6)))
	d.Replace([]directory.Entry{entry("a", 1, 7), entry("b", 1, 7)}, start)
	assert.Equal(t, usableIDs(&d), "b")
	d.Remove("a", start)
	d.ExpireVanished(start.Add(time.Minute))
	d.Put(entry("a", 1, 9))
	assert.Equal(t, usableIDs(&d), "b")
	assert.Assert(t, d.Put(entry("a", 2, 1)))
	assert.Equal(t, usableIDs(&d), "ab")
}

// Guards against a mark that is lost because the directory does not list the process when it arrives, and against one
// of an earlier process that keeps its successor out.
func TestMarkOfUnlistedProcess(t *testing.T) {
	var d directory.Directory
	assert.Assert(t, !d.MarkLeaving(entry("a", 1, 5), start))
	assert.Assert(t, !d.Put(entry("a", 1, 6)))
	assert.Equal(t, usableIDs(&d), "")
	d.Put(entry("a", 2, 1))
	assert.Assert(t, !d.MarkLeaving(entry("a", 1, 6), start))
	assert.Equal(t, usableIDs(&d), "a")
}

// Guards against an endpoint whose next heartbeat makes it usable again because its leaving mark came after its removal.
func TestLeavingMarkOfRemovedProcessCounts(t *testing.T) {
	var d directory.Directory
	d.Put(entry("a", 1, 5))
	assert.Assert(t, d.Remove("a", start))
	assert.Assert(t, !d.RemoveProcess(leaving(entry("a", 1, 5)), start))
	d.Put(entry("a", 1, 6))
	assert.Equal(t, usableIDs(&d), "")
}
