package registry_test

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/versionrecord"
	"savoryfall/io/registry"
)

// recordingRouter is a tracker whose router records versions of the service "models", and what it has in use and waits for.
type recordingRouter struct {
	*registry.Tracker
	usable   []directory.Entry
	required bool
	asked    int
}

func newRecordingRouter() (r *recordingRouter) {
	r = &recordingRouter{required: true}
	r.Tracker = registry.New(versionDecoder{}, func(list []directory.Entry) { r.usable = list }, log.NewNopLogger())
	r.RecordFirst(func(string) bool { return r.required }, func() { r.asked++ })
	return r
}

func entryOf(id, version string) directory.Entry {
	return directory.Entry{ID: id, Service: "models", Version: version, Born: 1}
}

// record has the router find the versions in the record.
func (r *recordingRouter) record(versions ...string) {
	record := versionrecord.Record{AbsentMs: map[string]map[string]int64{}}
	for _, v := range versions {
		record.SetAbsent("models", v, 0)
	}
	r.Versions().SetRecord(record, time.Now(), true)
	r.Recheck()
}

// Guards against streams that begin at a version that is not recorded, and against endpoints that a router loses because its hub passes
// none on while their version is being recorded.
func TestEndpointsWaitUntilTheirVersionIsRecorded(t *testing.T) {
	hub, follower := newRecordingRouter(), newRecordingRouter()
	records := []compactedlog.Record{{Key: "a", Value: []byte("v1")}, {Key: "b", Value: []byte("v2")}}
	hub.Replace(records)
	follower.Replace(records)
	assert.Equal(t, len(hub.usable)+len(follower.usable), 0)
	assert.Assert(t, hub.asked > 0)
	list, version := hub.Changes().Since(0)
	assert.Equal(t, len(list), 2, "what waits is passed on")
	follower.ApplyChanges(list, true)
	assert.Equal(t, len(follower.usable), 0)
	hub.record("v1")
	assert.DeepEqual(t, hub.usable, []directory.Entry{entryOf("a", "v1")})
	list, version = hub.Changes().Since(version)
	assert.DeepEqual(t, list, []fleetload.Change{{Entry: entryOf("a", "v1"), Usable: true, Recorded: true}})
	follower.ApplyChanges(list, false)
	assert.DeepEqual(t, follower.usable, hub.usable)
	hub.record("v1", "v2")
	list, _ = hub.Changes().Since(version)
	follower.ApplyChanges(list, false)
	assert.Equal(t, len(follower.usable), 2)
}

// Guards against endpoints of a service that need not wait, and wait at other routers when a configuration lets its streams be
// resumed, because these were not told that the version had been recorded meanwhile.
func TestRecordedVersionsOfOtherServicesArePassedOn(t *testing.T) {
	hub, follower := newRecordingRouter(), newRecordingRouter()
	hub.required, follower.required = false, false
	hub.Replace([]compactedlog.Record{{Key: "a", Value: []byte("v1")}})
	list, version := hub.Changes().Since(0)
	follower.ApplyChanges(list, true)
	assert.Equal(t, len(follower.usable), 1)
	hub.record("v1")
	list, _ = hub.Changes().Since(version)
	follower.ApplyChanges(list, false)
	follower.required = true
	follower.Recheck()
	assert.Equal(t, len(follower.usable), 1)
}

// Guards against a follower of an older hub, which does not say what is recorded, that offers its endpoints unasked.
func TestChangesOfOlderHubWait(t *testing.T) {
	r := newRecordingRouter()
	r.ApplyChanges([]fleetload.Change{{Entry: entryOf("a", "v1"), Usable: true}}, true)
	assert.Equal(t, len(r.usable), 0)
	r.record("v1")
	assert.Equal(t, len(r.usable), 1)
}
