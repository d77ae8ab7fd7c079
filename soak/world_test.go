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

	"savoryfall/platform/standin/store"
)

const (
	host   = "soak.example"
	models = "models"
	plain  = "plain"

	// keyTerm is how long a withdrawn key may still be used; short, so that a storm outlasts it.
	keyTerm    = 2 * time.Second
	retryRatio = 0.2
	retrySlack = 52
	// grace is as long as the platform gives, so that a stop's parts have their real lengths.
	grace = 8 * time.Second
	// balancer is for how long new clients may come to a router that was told to stop: the balancer takes it out after
	// two checks of its readiness, a second apart.
	balancer = 2 * time.Second
	// drain is for how long a leaving server may still get requests, applied within how long a configuration is in
	// force, recovery within how long all is served again after the faults.
	drain    = 2 * time.Second
	applied  = 2 * time.Second
	recovery = 12 * time.Second
	// longIdle and shortIdle are for how long connections may be idle, by different versions. Clients go by the one
	// before for as long as a change may take: the short one and the second that routers add outlast that.
	longIdle  = 4 * time.Second
	shortIdle = 1500 * time.Millisecond
	// contact is how long after a disturbance nothing is promised.
	contact = 3 * time.Second
	// slack is for the way of a request from the client to the server, on a busy machine.
	slack = 400 * time.Millisecond
)

// world is one run: routers as processes; store, servers, clients and the links between them in the test.
type world struct {
	t      *testing.T
	dir    string
	binary string
	seed   uint64
	// place tells the runs of this process apart.
	place   int64
	random  *rand.Rand
	store   store.Service
	url     string
	routers []*router
	number  atomic.Int64
	done    chan struct{}

	mu       sync.Mutex
	servers  []*backend
	requests []*request
	troubles []trouble
	wrong    []string
	version  int
	key      string
	// ended is set when no process may be started any more.
	ended bool
	// written is when each key came with a version, withdrawn when it went.
	written, withdrawn map[string]time.Time
	// idles are the limits for idle connections, in the order in which they were written.
	idles []idleLimit
}

// idleLimit is for how long connections may be idle, and since when that is written.
type idleLimit struct {
	at   time.Time
	idle time.Duration
}

// end ends the processes that were started last, and lets no other start.
func (w *world) end() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, r := range w.routers {
		r.starting.Lock()
		r.kill()
		r.starting.Unlock()
	}
}

// places counts the runs.
var places atomic.Int64

// play runs the seed, and checks what clients and servers saw.
func play(t *testing.T, binary string, seed uint64) (w *world) {
	w = &world{
		t: t, dir: logs(t, seed), binary: binary, seed: seed, place: places.Add(1), random: rand.New(rand.NewPCG(seed, seed)), done: make(chan struct{}),
		written: map[string]time.Time{}, withdrawn: map[string]time.Time{},
	}
	h := httptest.NewServer(&w.store)
	defer h.Close()
	w.url = strings.TrimPrefix(h.URL, "http://")
	w.configure(longIdle)
	for range 3 {
		w.serve(w.optionsOf(models), nil)
		w.serve(w.optionsOf(plain), nil)
	}
	for i := range number("SOAK_ROUTERS", 3) {
		r := w.locate(i)
		w.routers = append(w.routers, r)
		w.start(r)
	}
	defer w.end()
	var running sync.WaitGroup
	for h, number := range []int{brisk: 2 + 4*len(w.routers), patient: 12 * len(w.routers), late: 6 * len(w.routers)} {
		for i := range number {
			running.Go(func() { w.client(rand.New(rand.NewPCG(seed, uint64(h*1000+i)+100)), habit(h)) })
		}
	}
	// A storm that begins before anybody serves meets routers that refuse all, and shows nothing.
	w.recover()
	for range number("SOAK_ROUNDS", 1) {
		w.storm()
		w.recover()
		w.calm()
	}
	close(w.done)
	running.Wait()
	w.check()
	return w
}

// logs is the folder of a run, which stays when the run fails.
func logs(t *testing.T, seed uint64) (dir string) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}

// configure writes a new version with a new key, and so withdraws the one before, and with that limit for idle
// connections.
func (w *world) configure(idle time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	old := w.key
	w.key = fmt.Sprint("key", w.version)
	route := func(name, kind, service string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%s/","type":%q,"timeout_ms":3000,"goal_ms":200,
			"service":%q,"max_attempts":%d,"resumable":%v}`, name, host, name, kind, service, attempts, resumable)
	}
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s,%s],"services":[
		{"name":"models","engine":{"slots":32,"kv_capacity":100000}},{"name":"plain"}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":%d},
		"tenants":[{"name":"coop","api_keys":[%q]}]}`, w.version, route("read", "idempotent", plain, 2, false),
		route("book", "non_idempotent", plain, 2, false), route("draft", "streaming", models, 2, true),
		route("talk", "streaming", models, 1, false), idle.Milliseconds(), w.key))
	w.written[w.key] = time.Now()
	w.idles = append(w.idles, idleLimit{at: time.Now(), idle: idle})
	w.withdrawn[old] = time.Now()
}

// knownIdle is the limit for idle connections that clients go by: a change reaches them as late as it may reach routers.
func (w *world) knownIdle() (idle time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	idle = w.idles[0].idle
	for _, l := range w.idles {
		if time.Since(l.at) > applied {
			idle = l.idle
		}
	}
	return idle
}

// mayIdle is for how long a client may leave a connection idle and use it again.
func (w *world) mayIdle() time.Duration { return w.knownIdle() * 4 / 5 }

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

func (w *world) faults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wrong
}

// report says what went wrong, what was done to the world, and where the routers' logs are.
func (w *world) report() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, logs in %s\n", w.seed, w.dir)
	for i, f := range w.wrong {
		if i == 10 {
			fmt.Fprintf(&b, "and %d more\n", len(w.wrong)-i)
			break
		}
		fmt.Fprintln(&b, f)
	}
	for _, t := range w.troubles {
		fmt.Fprintf(&b, "%s to %s %s %s\n", t.from.Format("05.000"), t.to.Format("05.000"), t.what, t.where)
	}
	return b.String()
}
