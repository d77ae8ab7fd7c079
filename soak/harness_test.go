package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakestore"
)

const (
	host         = "soak.example"
	modelService = "models"
	plainService = "plain"

	// keyTerm is how long a withdrawn key may still be used; it is short, so that a fault phase outlasts it.
	keyTerm    = 2 * time.Second
	retryRatio = 0.2
	retrySlack = 52
	// stopGrace is the platform's real grace period, so that the phases of a stop have their real lengths.
	stopGrace = 8 * time.Second
	// balancerDelay is how long new clients may arrive at a router after it was told to stop: the load balancer removes
	// it after two failed readiness checks, one second apart.
	balancerDelay = 2 * time.Second
	// drainDelay is how long an endpoint that is leaving may still get requests, configurationDelay how long a
	// configuration takes to come into force, and recoveryTimeout how long routers may take to serve all requests again
	// after the faults.
	drainDelay         = 2 * time.Second
	configurationDelay = 2 * time.Second
	recoveryTimeout    = 12 * time.Second
	// longIdleLimit and shortIdleLimit are the limits for idle connections in different configuration versions. Clients
	// use the previous limit for as long as a change may take to come into force. The short limit plus the one second
	// that routers add is longer than that time.
	longIdleLimit  = 4 * time.Second
	shortIdleLimit = 1500 * time.Millisecond
	// settleTime is the time after a fault in which nothing is guaranteed.
	settleTime = 3 * time.Second
	// latencySlack allows for the latency between a client and an endpoint on a busy machine.
	latencySlack = 400 * time.Millisecond
)

// harness is one run: routers run as processes; the store, endpoints, clients and the links between them run in the
// test process.
type harness struct {
	t      *testing.T
	dir    string
	binary string
	seed   uint64
	// runIndex distinguishes the runs of this test process, for example in loopback addresses.
	runIndex int64
	// partitions is set if the binary can be cut off from the endpoints.
	partitions bool
	random     *rand.Rand
	// lossRandom is for losses of all routers, and releases the number of versions of releaseService.
	lossRandom   *rand.Rand
	releases     int
	store        fakestore.Service
	storeAddress string
	routers      []*router
	nextID       atomic.Int64
	done         chan struct{}

	mu        sync.Mutex
	endpoints []*endpoint
	requests  []*request
	// crashing are the requests that crash endpoints, by id, and crashes the times of the crashes.
	crashing map[string]crashingRequest
	crashes  []time.Time
	// losses are the times at which no router ran, after all were killed at once.
	losses     []time.Time
	faults     []fault
	violations []string
	version    int
	key        string
	// configuration is the newest one that was written.
	configuration []byte
	// stopped is set when no process may be started any more.
	stopped bool
	// keyWritten is when each key was added by a configuration, keyWithdrawn when it was removed.
	keyWritten, keyWithdrawn map[string]time.Time
	// idleLimits are the limits for idle connections, in the order in which they were written.
	idleLimits []idleLimit
}

// idleLimit is a limit for idle connections and the time at which it was written.
type idleLimit struct {
	written time.Time
	idle    time.Duration
}

// shutDown kills the last process of each router and prevents further starts.
func (h *harness) shutDown() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	for _, r := range h.routers {
		r.startMu.Lock()
		r.kill()
		r.startMu.Unlock()
	}
}

// runs counts the runs of this test process.
var runs atomic.Int64

// runSeed performs one run with the seed, and checks what clients and endpoints observed.
func runSeed(t *testing.T, binary string, seed uint64) (h *harness) {
	return runSeedWith(t, binary, seed, false)
}

// runSeedWith performs one run, with partitions of routers from all endpoints if the binary supports that.
func runSeedWith(t *testing.T, binary string, seed uint64, partitions bool) (h *harness) {
	h = newHarness(t, binary, seed, partitions)
	defer h.shutDown()
	var running sync.WaitGroup
	for s, number := range []int{idlesBriefly: 2 + 4*len(h.routers), idlesWithinLimit: 12 * len(h.routers), idlesPastLimit: 6 * len(h.routers)} {
		for i := range number {
			running.Go(func() {
				h.runClient(rand.New(rand.NewPCG(seed, uint64(s*1000+i)+100)), idleBehavior(s), h.sendRandomRequest)
			})
		}
	}
	h.startEngines("v0", releaseEngines)
	for i := range releaseClients {
		running.Go(func() { h.runClient(rand.New(rand.NewPCG(seed, uint64(i)+10000)), idlesBriefly, h.streamRelease) })
	}
	running.Go(func() { h.runCrashingClient(rand.New(rand.NewPCG(seed, 99))) })
	running.Go(func() { h.runRepeatingClient(rand.New(rand.NewPCG(seed, 98))) })
	running.Go(h.runBadClients)
	running.Go(h.watchMemory)
	// Faults that begin before any router serves would find routers that refuse every request, and test nothing.
	h.recover()
	for range intFromEnv("SOAK_ROUNDS", 1) {
		// During the faults the store may come back from an older copy, and its record of versions proves nothing for a while.
		h.loseRoutersOnce()
		h.recover()
		h.injectFaults()
		h.recover()
		h.makePlannedChanges()
		if partitions {
			h.servePartitioned()
		}
	}
	close(h.done)
	running.Wait()
	h.check()
	return h
}

// newHarness starts a store, endpoints and routers.
func newHarness(t *testing.T, binary string, seed uint64, partitions bool) (h *harness) {
	h = &harness{
		t: t, dir: runDir(t, seed), binary: binary, seed: seed, partitions: partitions, runIndex: runs.Add(1), random: rand.New(rand.NewPCG(seed, seed)), lossRandom: rand.New(rand.NewPCG(seed, 96)), done: make(chan struct{}),
		keyWritten: map[string]time.Time{}, keyWithdrawn: map[string]time.Time{}, crashing: map[string]crashingRequest{},
	}
	s := httptest.NewServer(&h.store)
	t.Cleanup(s.Close)
	h.storeAddress = strings.TrimPrefix(s.URL, "http://")
	h.writeConfiguration(longIdleLimit)
	for range 3 {
		h.startEndpoint(h.endpointOptions(plainService), nil)
	}
	for i := range 2 * len(softwareVersions) {
		o := h.endpointOptions(modelService)
		o.Version = softwareVersions[i%len(softwareVersions)]
		h.startEndpoint(o, nil)
	}
	for i := range intFromEnv("SOAK_ROUTERS", 3) {
		r := h.newRouter(i)
		h.routers = append(h.routers, r)
		h.start(r)
	}
	return h
}

// runDir creates the directory of a run, which is kept if the run fails.
func runDir(t *testing.T, seed uint64) (dir string) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}

// writeConfiguration writes a new configuration version with the given limit for idle connections and a new key, which
// withdraws the previous key.
func (h *harness) writeConfiguration(idle time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version += 1 + h.version%3
	old := h.key
	h.key = fmt.Sprint("key", h.version)
	route := func(name, kind, service string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","type":%q,"timeout_ms":3000,"goal_ms":200,
			"service":%q,"max_attempts":%d,"resumable":%v}`, name, host, name, kind, service, attempts, resumable)
	}
	h.configuration = fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s,%s,%s,%s],"services":[
		{"name":"models","engine":{"slots":32,"kv_capacity":100000}},{"name":"release","engine":{"slots":32,"kv_capacity":100000}},{"name":"plain"}],
		"limits":{"max_header_bytes":%d,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":%d},
		"tenants":[{"name":"coop","api_keys":[%q]}]}`, h.version, route("read", "idempotent", plainService, 2, false),
		route("book", "non_idempotent", plainService, 2, false), route("draft", "streaming", modelService, 2, true),
		route("talk", "streaming", modelService, 1, false), route("talkon", "streaming", modelService, 2, true),
		route(releaseService, "streaming", releaseService, 2, true), headerLimits[len(h.idleLimits)%len(headerLimits)], idle.Milliseconds(), h.key)
	h.store.Put("keyed.op", "config", h.configuration)
	h.keyWritten[h.key] = time.Now()
	h.idleLimits = append(h.idleLimits, idleLimit{written: time.Now(), idle: idle})
	h.keyWithdrawn[old] = time.Now()
}

// knownIdleLimit returns the limit for idle connections that clients use: a change becomes known to them only when it
// must be in force at all routers.
func (h *harness) knownIdleLimit() (idle time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	idle = h.idleLimits[0].idle
	for _, l := range h.idleLimits {
		if time.Since(l.written) > configurationDelay {
			idle = l.idle
		}
	}
	return idle
}

// safeIdleTime returns how long a client may leave a connection idle and still expect to reuse it.
func (h *harness) safeIdleTime() time.Duration { return h.knownIdleLimit() * 4 / 5 }

func (h *harness) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *harness) foundViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.violations
}

// report lists the violations, the injected faults and the directory of the routers' logs.
func (h *harness) report() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, logs in %s\n", h.seed, h.dir)
	for i, f := range h.violations {
		if i == 10 {
			fmt.Fprintf(&b, "and %d more\n", len(h.violations)-i)
			break
		}
		fmt.Fprintln(&b, f)
	}
	for _, t := range h.faults {
		fmt.Fprintf(&b, "%s to %s %s %s\n", t.from.Format("05.000"), t.to.Format("05.000"), t.kind, t.target)
	}
	return b.String()
}
