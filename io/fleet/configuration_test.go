package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/inforce"
	"savoryfall/io/configuration"
	"savoryfall/io/fleet"
	"savoryfall/io/operator"
	"savoryfall/io/router"
	"savoryfall/io/standin/logservice"
)

func status(t *testing.T, r *router.Router) (s operator.Status) {
	t.Helper()
	resp, err := http.Get("http://" + r.Operators() + "/status")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

func inForce(t *testing.T, f *fleet.Fleet, noteID string) bool {
	t.Helper()
	for _, r := range f.Routers() {
		if status(t, r).Release.Note != noteID {
			return false
		}
	}
	return true
}

func modelNote(id, basedOn, model string) string {
	return fmt.Sprintf("id = %q\nbasedOn = %q\n[[added.models]]\nname = %q\n", id, basedOn, model)
}

// The log is slow for one router only; it has the note in force all the same, by way of its peers.
func TestPeersOvertakeASlowLog(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	f.Log.Set(logservice.Faults{SlowMs: 60_000, SlowReaders: []string{"entry-2"}})
	// The read that waits at the log already is answered at once; only the one after it is slow.
	f.Publish(t.Context(), modelNote("second", "first", "sur-small"))
	eventually(t, "second is in force everywhere", func() bool { return inForce(t, f, "second") })
	f.Publish(t.Context(), modelNote("third", "second", "sur-tiny"))
	eventually(t, "third is in force everywhere", func() bool { return inForce(t, f, "third") })
	assert.Equal(t, status(t, f.Routers()[1]).Release.Source, "peer")
	digests := map[string]bool{}
	for _, r := range f.Routers() {
		digests[status(t, r).Release.Digest] = true
	}
	assert.Equal(t, len(digests), 1)
}

// Two operators publish conflicting notes in the same instant, on every router one and the same of them is in force.
func TestRacingOperators(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	for round := range 5 {
		base := status(t, f.Routers()[0]).Release.Note
		model := fmt.Sprint("racing-", round)
		var both sync.WaitGroup
		for _, who := range []string{"lenasur", "harrowmere"} {
			both.Go(func() { f.Publish(t.Context(), modelNote(fmt.Sprint(who, round), base, model)) })
		}
		both.Wait()
		eventually(t, "one of them is in force everywhere", func() bool {
			return inForce(t, f, fmt.Sprint("lenasur", round)) || inForce(t, f, fmt.Sprint("harrowmere", round))
		})
	}
}

// While the log is down the routers go on with what is in force, and a VM that starts empty gets it from a peer.
func TestLogDownLeavesTheConfigurationInForce(t *testing.T) {
	f := start(t, fleet.Options{Routers: 2, Engines: 2})
	f.Log.Set(logservice.Faults{Down: true})
	assert.Equal(t, complete(t, f, "served #5"), want("served #5"))
	r, err := f.AddRouter(t.Context())
	assert.NilError(t, err)
	eventually(t, "the new VM has the configuration", r.Ready)
	assert.Equal(t, status(t, r).Release.Digest, status(t, f.Routers()[0]).Release.Digest)
	assert.Equal(t, status(t, r).Release.Source, "peer")
}

// All routers are lost at once and empty VMs take their place. The first notes are trimmed; the snapshot that the
// fleet wrote, with its tail, brings the configuration back. A key that ran is not run again.
func TestWholeFleetIsReplaced(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1, Services: 1, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n",
		"platform": "retention = \"2s\"\nvmListPeriod = \"200ms\"\n",
	}})
	assert.Equal(t, issue(t, f, 0, "k", "permit").status, http.StatusOK)
	before := status(t, f.Routers()[0]).Release
	eventually(t, "a snapshot is on the log", func() bool { return hasSnapshot(f) })
	f.Publish(t.Context(), modelNote("second", "first", "sur-small"))
	for _, r := range f.Routers() {
		f.KillRouter(r)
	}
	f.Log.Trim(configuration.Stream, before.Next)
	for range 3 {
		_, err := f.AddRouter(t.Context())
		assert.NilError(t, err)
	}
	eventually(t, "all are ready", func() bool { return inForce(t, f, "second") })
	assert.Equal(t, complete(t, f, "back #5"), want("back #5"))
	eventually(t, "the key is known", func() bool { return issue(t, f, 1, "k", "permit").status == http.StatusOK })
	assert.Equal(t, ran(f, "k"), 1)
}

func hasSnapshot(f *fleet.Fleet) bool {
	for _, data := range f.Log.Records(configuration.Stream) {
		if inforce.IsSnapshot(data) {
			return true
		}
	}
	return false
}

// With the log down and no peer left, an empty VM serves nothing and says so.
func TestEmptyVMWithoutLogOrPeersRefuses(t *testing.T) {
	f := start(t, fleet.Options{Routers: 1, Engines: 1})
	f.Log.Set(logservice.Faults{Down: true})
	f.KillRouter(f.Routers()[0])
	r, err := f.AddRouter(t.Context())
	assert.NilError(t, err)
	resp, err := http.Get("http://" + r.Callers() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	lines, err := stream(t.Context(), f, "nothing #5")
	assert.NilError(t, err)
	assert.Assert(t, len(lines) == 1, "%v", lines)
	f.Log.Set(logservice.Faults{})
	eventually(t, "it recovers", r.Ready)
}

const manyNotes = 300

// Hundreds of notes in a burst are in force on every router in their order, with the log slow for all.
func TestBurstOfNotes(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	f.Log.Set(logservice.Faults{SlowMs: 20})
	began := time.Now()
	base := "first"
	for n := range manyNotes {
		id := fmt.Sprint("note-", n)
		f.Publish(t.Context(), modelNote(id, base, fmt.Sprint("m", n)))
		base = id
	}
	eventually(t, "the last is in force everywhere", func() bool { return inForce(t, f, base) })
	t.Logf("%d notes in force on 3 routers after %v", manyNotes, time.Since(began))
}
