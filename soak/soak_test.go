// Package soak_test runs real routers as processes on loopback, injects faults from outside, and checks what clients and
// servers saw. By hand: SOAK_SEEDS=50 SOAK_SECONDS=10 go test ./soak -timeout 60m.
package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/client"
	"savoryfall/platform/standin/server"
	"savoryfall/platform/standin/store"
)

const (
	routers = 3
	clients = 8
	// keyTerm is how long a withdrawn key may still be used; short, so that a run has several withdrawals.
	keyTerm = 2 * time.Second
	// keySlack is for the way of a request from the client to the server.
	keySlack = 300 * time.Millisecond
	events   = 8
)

// world is one run: routers as processes; store, servers and clients in the test.
type world struct {
	t       *testing.T
	dir     string
	binary  string
	random  *rand.Rand
	store   store.Service
	url     string
	servers []*server.Server
	routers [routers]*router
	number  atomic.Int64
	version int
	served  atomic.Int64

	mu      sync.Mutex
	faults  []string
	answers []answer
	// withdrawn is when each key was withdrawn, and key the one that holds.
	withdrawn map[string]time.Time
	key       string
}

// router is one process and its addresses, which outlive it.
type router struct {
	file    string
	clients string
	mu      sync.Mutex
	cmd     *exec.Cmd
}

func (r *router) process() *exec.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd
}

// answer is what a client was told of a request that may run once.
type answer struct {
	id     string
	status int
}

func TestSoak(t *testing.T) {
	seeds := number("SOAK_SEEDS", 1)
	length := time.Duration(number("SOAK_SECONDS", 5)) * time.Second
	first := number("SOAK_FIRST", 1)
	binary := filepath.Join(t.TempDir(), "savoryfall")
	out, err := exec.Command("go", "build", "-o", binary, "savoryfall").CombinedOutput()
	assert.NilError(t, err, string(out))
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { soak(t, binary, uint64(seed), length) })
	}
}

func number(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

func soak(t *testing.T, binary string, seed uint64, length time.Duration) {
	w := &world{t: t, dir: t.TempDir(), binary: binary, random: rand.New(rand.NewPCG(seed, seed)), withdrawn: map[string]time.Time{}}
	h := httptest.NewServer(&w.store)
	defer h.Close()
	w.url = strings.TrimPrefix(h.URL, "http://")
	w.configure()
	for i := range 3 {
		w.serve(server.Options{ID: fmt.Sprint("m", i), Service: "models", Slots: 32, Events: events, Step: 10 * time.Millisecond})
		w.serve(server.Options{ID: fmt.Sprint("p", i), Service: "plain", Slots: 16, Work: 5 * time.Millisecond})
	}
	for i := range w.routers {
		w.routers[i] = w.place(i)
		w.start(w.routers[i])
		defer w.end(w.routers[i])
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { w.client(rand.New(rand.NewPCG(seed, uint64(i)+100)), stop) })
	}
	w.play(length)
	close(stop)
	running.Wait()
	w.check()
}

// play injects faults, some of them while others last.
func (w *world) play(length time.Duration) {
	end := time.After(length)
	var lasting sync.WaitGroup
	defer lasting.Wait()
	for {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(200+w.random.IntN(600)) * time.Millisecond):
		}
		r := w.routers[w.random.IntN(routers)]
		last := time.Duration(100+w.random.IntN(1500)) * time.Millisecond
		switch w.random.IntN(7) {
		case 0:
			w.signal(r, syscall.SIGKILL)
			w.start(r)
		case 1:
			w.signal(r, syscall.SIGSTOP)
			lasting.Go(func() {
				<-time.After(last)
				w.signal(r, syscall.SIGCONT)
			})
		case 2:
			w.signal(r, syscall.SIGTERM)
			w.signal(r, syscall.SIGCONT)
			w.start(r)
		case 3:
			w.store.SetDown(true)
			lasting.Go(func() {
				<-time.After(last)
				w.store.SetDown(false)
			})
		case 4:
			w.store.SetSilent(true)
			lasting.Go(func() {
				<-time.After(last)
				w.store.SetSilent(false)
			})
		case 5:
			w.store.Forget("keyed.servers")
			w.store.Lose(1)
		case 6:
			w.configure()
		}
	}
}

// configure writes a new version with a new key, and so withdraws the one before.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.IntN(3)
	old := w.key
	w.key = fmt.Sprint("key", w.version)
	route := func(name, kind, service string, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"soak.example","path_prefix":"/%s/","type":%q,"timeout_ms":3000,"goal_ms":200,
			"service":%q,"max_attempts":2,"resumable":%v}`, name, name, kind, service, resumable)
	}
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[
		{"name":"models","engine":{"slots":32,"kv_capacity":100000}},{"name":"plain"}],
		"tenants":[{"name":"coop","api_keys":[%q]}]}`, w.version, route("read", "idempotent", "plain", false),
		route("book", "non_idempotent", "plain", false), route("draft", "streaming", "models", true), w.key))
	w.withdrawn[old] = time.Now()
}

func (w *world) serve(o server.Options) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(w.t, err)
	o.Address, o.Zone = l.Addr().String(), "a"
	s := server.New(o)
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	w.t.Cleanup(func() { _ = h.Close() })
	w.servers = append(w.servers, s)
	w.store.Put("keyed.servers", o.ID, s.Entry())
}

// place writes the settings of a router with addresses of its own.
func (w *world) place(i int) *router {
	var ports [4]string
	for p := range ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(w.t, err)
		ports[p] = l.Addr().String()
		assert.NilError(w.t, l.Close())
	}
	text := fmt.Sprintf("[vm]\nname = \"vm%d\"\nfailureDomain = \"a\"\n[clients]\naddress = %q\n[readiness]\naddress = %q\n"+
		"[metrics]\naddress = %q\n[peers]\naddress = %q\n[store]\naddress = %q\n[keys]\nwithdrawnWithin = %q\n[stop]\ngrace = \"2s\"\n",
		i, ports[0], ports[1], ports[2], ports[3], w.url, keyTerm)
	file := filepath.Join(w.dir, fmt.Sprintf("vm%d.toml", i))
	assert.NilError(w.t, os.WriteFile(file, []byte(text), 0o600))
	return &router{file: file, clients: ports[0]}
}

// start waits for the process before to end, and starts another.
func (w *world) start(r *router) {
	if old := r.process(); old != nil {
		_ = old.Wait()
	}
	log, err := os.OpenFile(r.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(w.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(w.binary, "entry", "--settings", r.file)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(w.t, cmd.Start())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = cmd
}

// signal reaches only the process that this run started last here, and none once that has ended.
func (w *world) signal(r *router, s syscall.Signal) { _ = r.process().Process.Signal(s) }

func (w *world) end(r *router) {
	w.signal(r, syscall.SIGKILL)
	_ = r.process().Wait()
}

func (w *world) wrong(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) client(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(20)) * time.Millisecond):
		}
		w.mu.Lock()
		key := w.key
		if random.IntN(4) == 0 {
			key = fmt.Sprint("key", random.IntN(w.version+1))
		}
		at, gone := w.withdrawn[key]
		w.mu.Unlock()
		r := w.routers[random.IntN(routers)]
		id := fmt.Sprint("r", w.number.Add(1))
		kind := []string{"read", "book", "draft"}[random.IntN(3)]
		tooLate := gone && time.Since(at) > keyTerm+keySlack
		got := client.Ask(r.clients, client.Request{
			Method: http.MethodPost, Host: "soak.example", Path: "/" + kind + "/" + id, ID: id, Key: key,
		})
		w.judge(kind, id, got)
		if tooLate && w.ran(id) > 0 {
			w.wrong("%s ran with %s, which was withdrawn %v before", id, key, time.Since(at))
		}
	}
}

func (w *world) judge(kind, id string, got client.Answer) {
	if got.Status == http.StatusOK && got.Whole {
		w.served.Add(1)
		want := fmt.Sprintf("/%s/%s for coop by plain", kind, id)
		if kind == "draft" {
			want = stream()
		}
		if got.Body != want {
			w.wrong("%s got %q, want %q", id, got.Body, want)
		}
	}
	if kind == "draft" && !strings.HasPrefix(stream(), got.Body) {
		w.wrong("stream %s has a gap or a repeat: %q", id, got.Body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == "book" {
		w.answers = append(w.answers, answer{id: id, status: got.Status})
	}
}

func stream() (text string) {
	for id := 1; id <= events; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return text
}

func (w *world) ran(id string) (n int64) {
	for _, s := range w.servers {
		n += s.Ran(id)
	}
	return n
}

// check looks at the end at what must have held all the while.
func (w *world) check() {
	for _, a := range w.answers {
		n := w.ran(a.id)
		if n > 1 {
			w.wrong("%s ran %d times", a.id, n)
		}
		if n > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			w.wrong("%s was told %d and ran", a.id, a.status)
		}
	}
	w.t.Logf("%d requests, %d served whole", w.number.Load(), w.served.Load())
	assert.Assert(w.t, w.served.Load() > 0)
	assert.Equal(w.t, len(w.faults), 0, strings.Join(w.faults, "\n"))
}
