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

type response struct {
	status     int
	outcome    string
	retryAfter string
	body       string
}

// callNonIdempotent calls NonIdempotentPath through one router with an idempotency key; extra holds pairs of header
// names and values.
func callNonIdempotent(t *testing.T, f *fleet.Fleet, router int, key, body string, extra ...string) response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+f.Routers()[router].CallerAddress()+fleet.NonIdempotentPath, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+fleet.APIKey("guardia"))
	r.Header.Set(header.IdempotencyKey, key)
	for i := 0; i+1 < len(extra); i += 2 {
		r.Header.Set(extra[i], extra[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{resp.StatusCode, resp.Header.Get(header.Outcome), resp.Header.Get("Retry-After"), string(text)}
}

func executions(f *fleet.Fleet, key string) (n int) {
	for _, s := range f.Services() {
		n += s.RunCounts()[key]
	}
	return n
}

func startClaimFleet(t *testing.T, routers int) *fleet.Fleet {
	t.Helper()
	return startPartitionedFleet(t, routers, 4)
}

func startPartitionedFleet(t *testing.T, routers, partitions int) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: routers, Services: 2, ExtraSettings: map[string]string{
		"peers": fastPeers, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n", "claims": "term = \"2s\"\npartitions = " + fmt.Sprint(partitions) + "\n",
	}})
}

// Ten clients send the same call through three routers at once. Each gets the recorded response, or a conflict while
// the call is pending; the service runs it once. The same key with another body is rejected.
func TestSameIdempotencyKeyRunsOnceAcrossRouters(t *testing.T) {
	f := startClaimFleet(t, 3)
	for round := range 5 {
		key := fmt.Sprint("k", round)
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				got := callNonIdempotent(t, f, i%3, key, "permit")
				assert.Check(t, got.status == http.StatusOK || got.status == http.StatusConflict, "%+v", got)
			})
		}
		all.Wait()
		assert.Equal(t, executions(f, key), 1)
		assert.Equal(t, callNonIdempotent(t, f, round%3, key, "permit").body, "POST /permits/issue permit")
		assert.Equal(t, callNonIdempotent(t, f, round%3, key, "another permit").status, http.StatusUnprocessableEntity)
		assert.Equal(t, executions(f, key), 1)
	}
}

// The log stores the claim, but its response to the append is lost. The router reads the claim back instead of
// appending a second one, and the client is served.
func TestLostAppendResponseIsReadBack(t *testing.T) {
	f := startClaimFleet(t, 1)
	f.Log.SetFaults(logservice.Faults{DropAnswers: 1})
	got := callNonIdempotent(t, f, 0, "k", "permit")
	assert.Equal(t, got.status, http.StatusOK, "%+v", got)
	assert.Equal(t, executions(f, "k"), 1)
}

// While the log is down, the client gets notRun with a Retry-After header; once the log is back, the same key runs.
func TestLogOutageRejectsClaimsImmediately(t *testing.T) {
	f := startClaimFleet(t, 1)
	f.Log.SetFaults(logservice.Faults{Down: true})
	got := callNonIdempotent(t, f, 0, "k", "permit")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "%+v", got)
	assert.Equal(t, got.outcome, "notRun")
	assert.Assert(t, got.retryAfter != "")
	assert.Equal(t, executions(f, "k"), 0)
	f.Log.SetFaults(logservice.Faults{})
	waitFor(t, "the key runs", func() bool { return callNonIdempotent(t, f, 0, "k", "permit").status == http.StatusOK })
	assert.Equal(t, executions(f, "k"), 1)
}

// The service runs the call and breaks the connection before it responds. The client gets unknown, and so does every
// retry of the key through any router; the call does not run again.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, s := range f.Services() {
		s.SetFaults(plainservice.Faults{DropAfter: 1})
	}
	first := callNonIdempotent(t, f, 0, "k", "permit")
	assert.Equal(t, first.outcome, "unknown", "%+v", first)
	for router := range 2 {
		waitFor(t, "the key has the outcome unknown", func() bool {
			got := callNonIdempotent(t, f, router, "k", "permit")
			return got.status == http.StatusConflict && got.outcome == "unknown"
		})
	}
	assert.Equal(t, executions(f, "k"), 1)
}

// A router dies while a call that it claimed is running, and the client loses its connection. A retry of the key
// through another router gets unknown and does not run, since the outcome of the first call is not known.
func TestRouterCrashWithPendingClaim(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, s := range f.Services() {
		s.SetFaults(plainservice.Faults{DelayMs: 300})
	}
	callResult := make(chan error, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+f.Routers()[0].CallerAddress()+fleet.NonIdempotentPath, strings.NewReader("permit"))
		r.Header.Set("Authorization", "Bearer "+fleet.APIKey("guardia"))
		r.Header.Set(header.IdempotencyKey, "k")
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			err = resp.Body.Close()
		}
		callResult <- err
	}()
	waitFor(t, "the service has the call", func() bool { return executions(f, "k") == 1 })
	f.KillRouter(f.Routers()[0])
	assert.Assert(t, <-callResult != nil)
	got := callNonIdempotent(t, f, 0, "k", "permit")
	assert.Equal(t, got.status, http.StatusConflict, "%+v", got)
	assert.Equal(t, got.outcome, "unknown")
	assert.Equal(t, executions(f, "k"), 1)
}

// Every process refuses the call without running it. The client gets notRun, and the same key may be used again.
func TestRejectedCallReleasesItsKey(t *testing.T) {
	f := startClaimFleet(t, 2)
	for _, s := range f.Services() {
		s.SetFaults(plainservice.Faults{Refuse: true})
	}
	got := callNonIdempotent(t, f, 0, "k", "permit")
	assert.Equal(t, got.outcome, "notRun", "%+v", got)
	for _, s := range f.Services() {
		s.SetFaults(plainservice.Faults{})
	}
	waitFor(t, "the key runs", func() bool { return callNonIdempotent(t, f, 1, "k", "permit").status == http.StatusOK })
	assert.Equal(t, executions(f, "k"), 1)
}

// The log trimmed claims before their retention ended. A key that may have been claimed among them is rejected, a key
// that was created since is accepted, and a key older than the retention is always rejected.
func TestKeysOutsideRetentionAreRejected(t *testing.T) {
	f := startPartitionedFleet(t, 1, 1)
	assert.Equal(t, callNonIdempotent(t, f, 0, "old", "permit").status, http.StatusOK)
	f.Log.Trim(claims.Stream(claims.PartitionOf("guardia", "old", 1)), 2)
	f.KillRouter(f.Routers()[0])
	_, err := f.AddRouter(t.Context())
	assert.NilError(t, err)
	waitFor(t, "the new router is ready", func() bool { return f.Routers()[0].Ready() })
	waitFor(t, "the new router refuses", func() bool {
		got := callNonIdempotent(t, f, 0, "old", "permit")
		return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "lost claims")
	})
	newerThanTrim := time.Now().Add(time.Minute).Format(time.RFC3339)
	assert.Equal(t, callNonIdempotent(t, f, 0, "new", "permit", header.KeyCreated, newerThanTrim).status, http.StatusOK)
	expired := time.Now().Add(-1000 * time.Hour).Format(time.RFC3339)
	assert.Equal(t, callNonIdempotent(t, f, 0, "older", "permit", header.KeyCreated, expired).status, http.StatusConflict)
	assert.Equal(t, executions(f, "old"), 1)
}
