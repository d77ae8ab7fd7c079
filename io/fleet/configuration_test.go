package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/activeconfig"
	"savoryfall/io/configuration"
	"savoryfall/io/fleet"
	"savoryfall/io/operator"
	"savoryfall/io/router"
	"savoryfall/io/standin/logservice"
)

func status(t *testing.T, r *router.Router) (s operator.Status) {
	t.Helper()
	resp, err := http.Get("http://" + r.OperatorAddress() + "/status")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

func inForce(t *testing.T, f *fleet.Fleet, releaseNoteID string) bool {
	t.Helper()
	for _, r := range f.Routers() {
		if status(t, r).Release.Note != releaseNoteID {
			return false
		}
	}
	return true
}

func addModelReleaseNote(id, basedOn, model string) string {
	return fmt.Sprintf("id = %q\nbasedOn = %q\n[[added.models]]\nname = %q\n", id, basedOn, model)
}

// The log is slow for one router only, which still applies the release note in time because its peers send it.
func TestPeersDeliverNotesWhenLogIsSlow(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	f.Log.SetFaults(logservice.Faults{DelayMs: 60_000, SlowReaders: []string{"entry-2"}})
	// The long poll that is already pending returns at once; only the reads after it are slow.
	f.Publish(t.Context(), addModelReleaseNote("second", "first", "sur-small"))
	waitFor(t, "second is in force everywhere", func() bool { return inForce(t, f, "second") })
	f.Publish(t.Context(), addModelReleaseNote("third", "second", "sur-tiny"))
	waitFor(t, "third is in force everywhere", func() bool { return inForce(t, f, "third") })
	assert.Equal(t, status(t, f.Routers()[1]).Release.Source, "peer")
	digests := map[string]bool{}
	for _, r := range f.Routers() {
		digests[status(t, r).Release.Digest] = true
	}
	assert.Equal(t, len(digests), 1)
}

// Two operators publish conflicting release notes at the same time. The same one of them comes into force on every
// router.
func TestConflictingNotesResolveEquallyOnAllRouters(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	for round := range 5 {
		base := status(t, f.Routers()[0]).Release.Note
		model := fmt.Sprint("racing-", round)
		var both sync.WaitGroup
		for _, who := range []string{"lenasur", "harrowmere"} {
			both.Go(func() { f.Publish(t.Context(), addModelReleaseNote(fmt.Sprint(who, round), base, model)) })
		}
		both.Wait()
		waitFor(t, "one of the two release notes is in force everywhere", func() bool {
			return inForce(t, f, fmt.Sprint("lenasur", round)) || inForce(t, f, fmt.Sprint("harrowmere", round))
		})
	}
}

// While the log is down, the routers keep serving with the configuration in force, and a new VM fetches it from a peer.
func TestLogOutageKeepsConfiguration(t *testing.T) {
	f := start(t, fleet.Options{Routers: 2, Engines: 2})
	f.Log.SetFaults(logservice.Faults{Down: true})
	assert.Equal(t, complete(t, f, "served #5"), want("served #5"))
	r, err := f.AddRouter(t.Context())
	assert.NilError(t, err)
	waitFor(t, "the new VM has the configuration", r.Ready)
	assert.Equal(t, status(t, r).Release.Digest, status(t, f.Routers()[0]).Release.Digest)
	assert.Equal(t, status(t, r).Release.Source, "peer")
}

// All routers are lost at once and replaced by new VMs, and the first release notes are trimmed from the log. The new
// routers recover the configuration from the snapshot that the lost ones wrote and the records after it. A key that ran
// does not run again.
func TestReplaceAllRouters(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1, Services: 1, ExtraSettings: map[string]string{
		"peers": fastPeers, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n",
		"platform": "retention = \"2s\"\nvmListPeriod = \"200ms\"\n",
	}})
	assert.Equal(t, callNonIdempotent(t, f, 0, "k", "permit").status, http.StatusOK)
	releaseBefore := status(t, f.Routers()[0]).Release
	waitFor(t, "a snapshot is on the log", func() bool { return hasSnapshot(f) })
	f.Publish(t.Context(), addModelReleaseNote("second", "first", "sur-small"))
	for _, r := range f.Routers() {
		f.KillRouter(r)
	}
	f.Log.Trim(configuration.Stream, releaseBefore.Next)
	for range 3 {
		_, err := f.AddRouter(t.Context())
		assert.NilError(t, err)
	}
	waitFor(t, "the release note is in force on the new routers", func() bool { return inForce(t, f, "second") })
	assert.Equal(t, complete(t, f, "back #5"), want("back #5"))
	waitFor(t, "the key gets its recorded response", func() bool { return callNonIdempotent(t, f, 1, "k", "permit").status == http.StatusOK })
	assert.Equal(t, executions(f, "k"), 1)
}

func hasSnapshot(f *fleet.Fleet) bool {
	for _, data := range f.Log.Records(configuration.Stream) {
		if activeconfig.IsSnapshotPart(data) {
			return true
		}
	}
	return false
}

// While the log is down and there is no peer, a new VM is not ready and rejects requests; it recovers when the log is
// back.
func TestNewVMWithoutLogOrPeersRejectsRequests(t *testing.T) {
	f := start(t, fleet.Options{Routers: 1, Engines: 1})
	f.Log.SetFaults(logservice.Faults{Down: true})
	f.KillRouter(f.Routers()[0])
	r, err := f.AddRouter(t.Context())
	assert.NilError(t, err)
	resp, err := http.Get("http://" + r.CallerAddress() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	lines, err := streamLines(t.Context(), f, "nothing #5")
	assert.NilError(t, err)
	assert.Assert(t, len(lines) == 1, "%v", lines)
	f.Log.SetFaults(logservice.Faults{})
	waitFor(t, "the router recovers", r.Ready)
}

const burstSize = 300

// Publishes hundreds of release notes, each based on the one before, while the log is slow for all routers. Every
// router applies them all in order.
func TestNoteBurstIsAppliedInOrder(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	f.Log.SetFaults(logservice.Faults{DelayMs: 20})
	began := time.Now()
	base := "first"
	for n := range burstSize {
		id := fmt.Sprint("note-", n)
		f.Publish(t.Context(), addModelReleaseNote(id, base, fmt.Sprint("m", n)))
		base = id
	}
	waitFor(t, "the last release note is in force everywhere", func() bool { return inForce(t, f, base) })
	t.Logf("%d notes in force on 3 routers after %v", burstSize, time.Since(began))
}
