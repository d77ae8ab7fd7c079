package registry_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/versionrecord"
	"savoryfall/io/registry"
)

var errUnavailable = errors.New("the store is unavailable")

// A router that could not read the store follows another hub, which sends its complete list, including that an
// endpoint is leaving. That endpoint must not be kept like one whose entry expired in the outage and may come
// back: it used to get new requests for two more seconds.
func TestFullHubUpdateRemovesLeavingEndpoint(t *testing.T) {
	var usable []directory.Entry
	tr := registry.New(nil, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
	stays, leaves, lapsed := directory.Entry{ID: "a", Born: 1}, directory.Entry{ID: "b", Born: 1}, directory.Entry{ID: "c", Born: 1}
	tr.ApplyChanges([]fleetload.Change{{Entry: stays, Usable: true}, {Entry: leaves, Usable: true}, {Entry: lapsed, Usable: true}}, true)
	assert.DeepEqual(t, usable, []directory.Entry{stays, leaves, lapsed})
	tr.Failed(errUnavailable)
	leaving := leaves
	leaving.Leaving = true
	tr.ApplyChanges([]fleetload.Change{{Entry: stays, Usable: true}, {Entry: leaving}}, true)
	assert.DeepEqual(t, usable, []directory.Entry{stays, lapsed})
}

// The hub still lists that an earlier process has ended. The process that has the same name now must stay usable.
func TestFullHubUpdateRemovesOnlyTheNamedProcess(t *testing.T) {
	var usable []directory.Entry
	tr := registry.New(nil, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
	now := directory.Entry{ID: "a", Born: 2}
	tr.ApplyChanges([]fleetload.Change{{Entry: now, Usable: true}}, true)
	tr.Failed(errUnavailable)
	tr.ApplyChanges([]fleetload.Change{{Entry: directory.Entry{ID: "a", Born: 1, Leaving: true}}}, true)
	assert.DeepEqual(t, usable, []directory.Entry{now})
}

// Guards against endpoints that get no requests because a restored store lacks their entries until the next heartbeat.
func TestEntriesMissingInRestoredStoreAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var usable []directory.Entry
		tr := registry.New(keyDecoder{}, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
		a, b, c := compactedlog.Record{Key: "a"}, compactedlog.Record{Key: "b"}, compactedlog.Record{Key: "c"}
		tr.Replace([]compactedlog.Record{a, b, c})
		tr.Restored()
		tr.Replace([]compactedlog.Record{a})
		assert.Equal(t, len(usable), 3)
		time.Sleep(time.Second)
		tr.Apply([]compactedlog.Record{b})
		time.Sleep(directory.VanishedGrace)
		tr.Read(0)
		assert.DeepEqual(t, usable, []directory.Entry{{ID: "a"}, {ID: "b"}})
	})
}

// keyDecoder decodes entries that have only an id.
type keyDecoder struct{}

func (keyDecoder) Decode(r compactedlog.Record) (e directory.Entry, err error) {
	return directory.Entry{ID: r.Key}, nil
}

// Guards against endpoints that have left and are kept as if their entries had lapsed, because the store turned only this
// router away: others read it all the time, so that no entry can have lapsed unseen.
func TestEndpointThatLeavesWhileOthersReadIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var usable []directory.Entry
		tr := registry.New(keyDecoder{}, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
		tr.Replace([]compactedlog.Record{{Key: "a"}, {Key: "b"}})
		for i := range 8 {
			tr.Read(time.Duration(i) * time.Second)
			time.Sleep(500 * time.Millisecond)
			tr.Failed(errUnavailable)
			time.Sleep(500 * time.Millisecond)
		}
		tr.Apply([]compactedlog.Record{{Key: "b", Removed: true}})
		assert.DeepEqual(t, usable, []directory.Entry{{ID: "a"}})
		time.Sleep(4 * time.Second)
		tr.Failed(errUnavailable)
		tr.Apply([]compactedlog.Record{{Key: "a", Removed: true}})
		assert.Equal(t, len(usable), 1, "no router could read, so the entry may have lapsed")
	})
}

// Guards against an endpoint that waits at the hub for its version to be recorded, and that a router which knew it before never gets
// back because its entry is no newer than the one that the hub's list lacked.
func TestEndpointThatWaitedAtTheHubComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := func(string) bool { return true }
		record := versionrecord.Record{AbsentMs: map[string]map[string]int64{"": {"": 0}}}
		var usable []directory.Entry
		r := registry.New(keyDecoder{}, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
		r.RecordFirst(all, func() {})
		r.Replace([]compactedlog.Record{{Key: "a"}})
		r.Versions().SetRecord(record, time.Now(), true)
		r.Recheck()
		assert.Equal(t, len(usable), 1)

		hub := registry.New(keyDecoder{}, func([]directory.Entry) {}, log.NewNopLogger())
		hub.RecordFirst(all, func() {})
		hub.Replace([]compactedlog.Record{{Key: "a"}})
		list, version := hub.Changes().Since(0)
		r.ApplyChanges(list, true)
		hub.Versions().SetRecord(record, time.Now(), true)
		hub.Recheck()
		changes, _ := hub.Changes().Since(version)
		assert.Equal(t, len(changes), 1)
		r.ApplyChanges(changes, false)
		assert.Equal(t, len(usable), 1)
	})
}
