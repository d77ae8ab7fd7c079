package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/header"
	"savoryfall/io/claims"
	"savoryfall/io/fleet"
	"savoryfall/io/standin/logservice"
	"savoryfall/io/standin/plainservice"
)

type told struct {
	status  int
	outcome string
	after   string
	body    string
}

// issue calls the path that may run only once, through one router, under a key.
func issue(t *testing.T, f *fleet.Fleet, router int, key, body string, extra ...string) told {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+f.Routers()[router].Callers()+fleet.NotRepeatable, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+fleet.Key("guardia"))
	r.Header.Set(header.Idempotency, key)
	for i := 0; i+1 < len(extra); i += 2 {
		r.Header.Set(extra[i], extra[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return told{resp.StatusCode, resp.Header.Get(header.Outcome), resp.Header.Get("Retry-After"), string(text)}
}

func ran(f *fleet.Fleet, key string) (n int) {
	for _, s := range f.Services() {
		n += s.Ran()[key]
	}
	return n
}

func claimFleet(t *testing.T, routers int) *fleet.Fleet {
	t.Helper()
	return partitionedFleet(t, routers, 4)
}

func partitionedFleet(t *testing.T, routers, partitions int) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: routers, Services: 2, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n", "claims": "term = \"2s\"\npartitions = " + fmt.Sprint(partitions) + "\n",
	}})
}

// Ten callers send the same call through three routers at once. One is answered, the others learn the outcome or that
// it is open; the service counts one run.
func TestSameKeyThroughAllRoutersRunsOnce(t *testing.T) {
	f := claimFleet(t, 3)
	for round := range 5 {
		key := fmt.Sprint("k", round)
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				got := issue(t, f, i%3, key, "permit")
				assert.Check(t, got.status == http.StatusOK || got.status == http.StatusConflict, "%+v", got)
			})
		}
		all.Wait()
		assert.Equal(t, ran(f, key), 1)
		assert.Equal(t, issue(t, f, round%3, key, "permit").body, "POST /permits/issue permit")
		assert.Equal(t, issue(t, f, round%3, key, "another permit").status, http.StatusUnprocessableEntity)
		assert.Equal(t, ran(f, key), 1)
	}
}

// The caller is served as if nothing were wrong. The log takes the claim, but its answer is lost; the router reads the
// claim back and does not append a second one.
func TestLostAppendAnswerIsReadBack(t *testing.T) {
	f := claimFleet(t, 1)
	f.Log.Set(logservice.Faults{LoseAnswers: 1})
	got := issue(t, f, 0, "k", "permit")
	assert.Equal(t, got.status, http.StatusOK, "%+v", got)
	assert.Equal(t, ran(f, "k"), 1)
}

// The caller is told notRun at once, with when to come back, while the log is down; afterwards the same key runs.
func TestLogDownRefusesAtOnce(t *testing.T) {
	f := claimFleet(t, 1)
	f.Log.Set(logservice.Faults{Down: true})
	got := issue(t, f, 0, "k", "permit")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "%+v", got)
	assert.Equal(t, got.outcome, "notRun")
	assert.Assert(t, got.after != "")
	assert.Equal(t, ran(f, "k"), 0)
	f.Log.Set(logservice.Faults{})
	eventually(t, "the key runs", func() bool { return issue(t, f, 0, "k", "permit").status == http.StatusOK })
	assert.Equal(t, ran(f, "k"), 1)
}

// The service runs the call and dies before it answers. The caller is told unknown, and so is whoever repeats the key
// on any router; nothing runs it again.
func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	f := claimFleet(t, 2)
	for _, s := range f.Services() {
		s.Set(plainservice.Faults{DropAfter: 1})
	}
	first := issue(t, f, 0, "k", "permit")
	assert.Equal(t, first.outcome, "unknown", "%+v", first)
	for router := range 2 {
		eventually(t, "the outcome is known to be unknown", func() bool {
			got := issue(t, f, router, "k", "permit")
			return got.status == http.StatusConflict && got.outcome == "unknown"
		})
	}
	assert.Equal(t, ran(f, "k"), 1)
}

// A router dies while the call that it claimed is running. The caller loses its connection; the same key through
// another router is not run again, since nobody knows whether it ran.
func TestRouterDiesWithAnOpenClaim(t *testing.T) {
	f := claimFleet(t, 2)
	for _, s := range f.Services() {
		s.Set(plainservice.Faults{LateMs: 300})
	}
	lost := make(chan error, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+f.Routers()[0].Callers()+fleet.NotRepeatable, strings.NewReader("permit"))
		r.Header.Set("Authorization", "Bearer "+fleet.Key("guardia"))
		r.Header.Set(header.Idempotency, "k")
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			err = resp.Body.Close()
		}
		lost <- err
	}()
	eventually(t, "the service has the call", func() bool { return ran(f, "k") == 1 })
	f.KillRouter(f.Routers()[0])
	assert.Assert(t, <-lost != nil)
	got := issue(t, f, 0, "k", "permit")
	assert.Equal(t, got.status, http.StatusConflict, "%+v", got)
	assert.Equal(t, got.outcome, "unknown")
	assert.Equal(t, ran(f, "k"), 1)
}

// Refused by every process before any ran it, the call is told notRun, and the same key may be used again.
func TestRefusedCallGivesItsKeyBack(t *testing.T) {
	f := claimFleet(t, 2)
	for _, s := range f.Services() {
		s.Set(plainservice.Faults{Refuse: true})
	}
	got := issue(t, f, 0, "k", "permit")
	assert.Equal(t, got.outcome, "notRun", "%+v", got)
	for _, s := range f.Services() {
		s.Set(plainservice.Faults{})
	}
	eventually(t, "the key runs", func() bool { return issue(t, f, 1, "k", "permit").status == http.StatusOK })
	assert.Equal(t, ran(f, "k"), 1)
}

// The log has trimmed claims early. A key that may have been claimed among them is refused; one that was made since
// is taken; one that is older than the window is refused always.
func TestKeysOutsideTheWindowAreRefused(t *testing.T) {
	f := partitionedFleet(t, 1, 1)
	assert.Equal(t, issue(t, f, 0, "old", "permit").status, http.StatusOK)
	f.Log.Trim(claims.Stream(claims.PartitionOf("guardia", "old", 1)), 2)
	f.KillRouter(f.Routers()[0])
	_, err := f.AddRouter(t.Context())
	assert.NilError(t, err)
	eventually(t, "the new router is ready", func() bool { return f.Routers()[0].Ready() })
	eventually(t, "the new router refuses", func() bool {
		got := issue(t, f, 0, "old", "permit")
		return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "lost claims")
	})
	fresh := time.Now().Add(time.Minute).Format(time.RFC3339)
	assert.Equal(t, issue(t, f, 0, "new", "permit", header.KeyCreated, fresh).status, http.StatusOK)
	ancient := time.Now().Add(-1000 * time.Hour).Format(time.RFC3339)
	assert.Equal(t, issue(t, f, 0, "older", "permit", header.KeyCreated, ancient).status, http.StatusConflict)
	assert.Equal(t, ran(f, "old"), 1)
}
