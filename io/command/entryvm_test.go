package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryfall/core/settings"
	"savoryfall/io/stdout"
	"savoryfall/platform/standin/client"
	"savoryfall/platform/standin/server"
	"savoryfall/platform/standin/store"
)

// entryFleet is entry VMs, servers and a store, in one process and on loopback.
type entryFleet struct {
	t       testing.TB
	store   store.Service
	url     string
	servers map[string]*server.Server
	vms     []*entryVM
}

func newEntryFleet(t testing.TB, vms int) *entryFleet {
	f := &entryFleet{t: t, servers: map[string]*server.Server{}}
	h := httptest.NewServer(&f.store)
	t.Cleanup(h.Close)
	f.url = strings.TrimPrefix(h.URL, "http://")
	f.configure(1, "good", "plain")
	for i := range 3 {
		f.serve(fmt.Sprint("m", i), server.Options{Service: "models", Slots: 32, Events: 5, Step: time.Millisecond})
		f.serve(fmt.Sprint("p", i), server.Options{Service: "plain", Slots: 8})
	}
	f.serve("q0", server.Options{Service: "other", Slots: 8})
	for i := range vms {
		f.start(i)
	}
	f.await("ready", func() bool {
		for _, vm := range f.vms {
			if !vm.front.Ready() || f.get(vm, "/read/x", "good").Status != 200 {
				return false
			}
		}
		return true
	})
	return f
}

// configure writes a version in which the key holds and the look-ups go to the service.
func (f *entryFleet) configure(version int, key, service string) {
	route := func(name, kind, service string, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"shop.example","path_prefix":"/%s/","type":%q,"timeout_ms":3000,"goal_ms":100,
			"service":%q,"max_attempts":2,"resumable":%v}`, name, name, kind, service, resumable)
	}
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],
		"services":[{"name":"models","max_conns":100,"engine":{"slots":32,"kv_capacity":100000}},{"name":"plain","max_conns":100},
			{"name":"other","max_conns":100}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"coop","api_keys":[%q]}]}`, version, route("read", "idempotent", service, false),
		route("book", "non_idempotent", "plain", false), route("draft", "streaming", "models", true), key))
}

func (f *entryFleet) serve(id string, o server.Options) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	o.ID, o.Address = id, l.Addr().String()
	if o.Zone == "" {
		o.Zone = "a"
	}
	s := server.New(o)
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	f.t.Cleanup(func() { _ = h.Close() })
	f.servers[id] = s
	f.store.Put("keyed.servers", id, s.Entry())
}

func (f *entryFleet) start(i int) {
	text := fmt.Sprintf(`
[vm]
name = "vm%d"
failureDomain = "a"
cores = %d
[clients]
address = "127.0.0.1:0"
[readiness]
address = "127.0.0.1:0"
[metrics]
address = "127.0.0.1:0"
[peers]
address = %q
[store]
address = %q
`, i, 10-i, ownAddress(), f.url)
	cfg, err := settings.ParseEntry("vm.toml", []byte(text))
	assert.NilError(f.t, err)
	vm, err := newEntryVM(cfg, stdout.New(io.Discard))
	assert.NilError(f.t, err)
	assert.NilError(f.t, vm.start(context.Background()))
	f.vms = append(f.vms, vm)
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = vm.kernel.Stop(ctx)
	})
}

// addresses counts those given out.
var addresses atomic.Int64

// ownAddress is a loopback address of its own: a port that was free a moment ago may be another socket's by the time it
// is bound.
func ownAddress() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:20101", 1+os.Getpid()%250, 1+n/250, 1+n%250)
}

func (f *entryFleet) await(what string, done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

var requests atomic.Int64

func (f *entryFleet) get(vm *entryVM, path, key string) client.Answer {
	return f.ask(vm, "GET", path, key, fmt.Sprint("r", requests.Add(1)))
}

func (f *entryFleet) ask(vm *entryVM, method, path, key, id string) client.Answer {
	return client.Ask(vm.clients.Address(), client.Request{Method: method, Host: "shop.example", Path: path, ID: id, Key: key})
}

func TestEntryFleetServesEachKind(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	for _, vm := range f.vms {
		assert.Equal(t, f.get(vm, "/read/x", "good").Body, "/read/x for coop by plain")
		assert.Equal(t, f.ask(vm, "POST", "/book/x", "good", "b"+vm.settings.VM().Name()).Status, 200)
		g := f.ask(vm, "POST", "/draft/x", "good", "s"+vm.settings.VM().Name())
		assert.Equal(t, strings.Count(g.Body, "data: piece"), 5)
		assert.Assert(t, g.Whole)
		assert.Equal(t, f.get(vm, "/read/x", "bad").Status, 401)
		assert.Equal(t, f.get(vm, "/none/x", "good").Status, 404)
	}
	booked := int64(0)
	for _, s := range f.servers {
		booked += s.Ran("bvm0")
	}
	assert.Equal(t, booked, int64(1))
}

// metrics are what the VM serves on its metrics address.
func (f *entryFleet) metrics(vm *entryVM) string {
	resp, err := http.Get("http://" + vm.metricsAddress() + "/metrics")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return string(body)
}

// What on-call engineers look at is on the metrics address.
func TestMetrics(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	// A router serves before it has read the list of routers.
	f.await("the router has found itself on the list", func() bool { return f.vms[0].routers.Load() > 0 })
	f.ask(f.vms[0], "POST", "/draft/x", "good", "m1")
	f.get(f.vms[0], "/read/x", "bad")
	body := f.metrics(f.vms[0])
	for _, want := range []string{
		`savoryfall_requests_total{kind="resumableStream",status="200",reason="served"} 1`,
		`savoryfall_requests_total{kind="idempotent",outcome="notRun",reason="unknownKey"} 1`,
		"savoryfall_first_event_seconds", "savoryfall_prompt_tokens_total 1510", "savoryfall_endpoints 7", "savoryfall_routers 1",
		"savoryfall_configuration_version 1", `savoryfall_retries_left{service="plain"}`, `savoryfall_control_bytes_total{kind="log"`,
		`savoryfall_attempts_total{service="models",verdict="served"} 1`, `savoryfall_attempt_seconds_count{service="models"} 1`,
		`savoryfall_places{service="models"} 96`, `savoryfall_places_taken{service="models"} 0`,
		`savoryfall_places{service="other"} `, fmt.Sprintf("savoryfall_cores %d\n", runtime.GOMAXPROCS(0)),
		"process_cpu_seconds_total ", "process_resident_memory_bytes ",
	} {
		assert.Assert(t, strings.Contains(body, want), "%s in\n%s", want, body)
	}
}

// Each metric of this project that a fleet serves, also between its routers, has its row on the operators' page, and none
// has a label whose values grow with the accounts.
func TestPageExplainsEachMetric(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 2)
	f.await("a hub", func() bool { return f.vms[1].hub.Follows() == "vm0" })
	f.ask(f.vms[1], "POST", "/draft/x", "good", "m1")
	f.get(f.vms[1], "/read/x", "bad")
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	body := f.metrics(f.vms[1])
	for _, kind := range []string{"log", "peer"} {
		assert.Assert(t, regexp.MustCompile(`savoryfall_control_calls_total\{kind="`+kind+`"\} [1-9]`).MatchString(body), body)
	}
	bounded := []string{"", "kind", "status", "outcome", "reason", "service", "verdict", "state", "by", "direction", "vmrange"}
	parts := regexp.MustCompile(`(?m)^(savoryfall_\w+?)(?:_bucket|_sum|_count)?(?:\{(.*)\})? \S+$`)
	rows := regexp.MustCompile("(?m)^\\| `savoryfall_.*$")
	explained := strings.Join(rows.FindAllString(string(page), -1), "\n")
	for _, m := range parts.FindAllStringSubmatch(body, -1) {
		assert.Assert(t, regexp.MustCompile("`"+m[1]+"[`{]").MatchString(explained), "%s is not on the page", m[1])
		for _, label := range strings.Split(m[2], ",") {
			name, _, _ := strings.Cut(label, "=")
			assert.Assert(t, slices.Contains(bounded, name), "%s of %s", name, m[0])
		}
	}
}

// A new configuration is in force on every router, and none goes back to an older one, also when the store tells the
// older one once more.
func TestConfigurationOnlyGoesForward(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.configure(7, "new", "other")
	for _, vm := range f.vms {
		f.await("version 7", func() bool { return f.get(vm, "/read/x", "new").Body == "/read/x for coop by other" })
		assert.Equal(t, f.get(vm, "/read/x", "good").Status, 401)
	}
	f.configure(3, "good", "plain")
	f.configure(9, "newest", "other")
	for _, vm := range f.vms {
		f.await("version 9", func() bool { return f.get(vm, "/read/x", "newest").Status == 200 })
		assert.Equal(t, f.get(vm, "/read/x", "good").Status, 401)
	}
}

// Routers whose hub dies, and then whose store forgets its history, still learn of the next configuration.
func TestHubAndHistoryAreLost(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.await("one hub", func() bool { return f.vms[1].hub.Follows() == "vm0" && f.vms[2].hub.Follows() == "vm0" })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.vms[0].kernel.Stop(ctx)
	f.store.Put("keyed.op", "other", []byte("{}"))
	f.store.Forget("keyed.op")
	f.store.Forget("keyed.servers")
	f.configure(2, "new", "plain")
	for _, vm := range f.vms[1:] {
		f.await("version 2", func() bool { return f.get(vm, "/read/x", "new").Status == 200 })
	}
	f.await("the next hub", func() bool { return f.vms[1].hub.Follows() == "vm1" && f.vms[2].hub.Follows() == "vm1" })
}

// An endpoint that leaves gets no new work, on routers that read its entry and on those that are told.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.servers["p0"].Leave()
	f.servers["p1"].Leave()
	f.store.Put("keyed.servers", "p0", f.servers["p0"].Entry())
	f.store.Put("keyed.servers", "p1", nil)
	runs := func() int64 { return f.servers["p0"].Runs() + f.servers["p1"].Runs() }
	for _, vm := range f.vms {
		f.await("only p2 is used", func() bool {
			before := runs()
			for range 20 {
				f.get(vm, "/read/x", "good")
			}
			return runs() == before
		})
	}
}

// Guards against routers that go on sending to a failure domain after its drain was acknowledged.
func TestDrainedDomainGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.serve("far", server.Options{Service: "plain", Slots: 64, Zone: "b"})
	f.store.Put("keyed.op", "evacuate/nowhere", []byte("{}"))
	f.store.Put("keyed.op", "evacuate/a", []byte("{}"))
	f.await("the drain is in force and the far server known", func() bool {
		return !slices.ContainsFunc(f.vms, func(vm *entryVM) bool {
			return len(vm.drained.Records()) < 2 || vm.dispatcher.InDomain("b") == 0
		})
	})
	near := func() (runs int64) {
		for _, id := range []string{"p0", "p1", "p2"} {
			runs += f.servers[id].Runs()
		}
		return runs
	}
	before := near()
	for range 50 {
		for _, vm := range f.vms {
			assert.Equal(t, f.get(vm, "/read/x", "good").Status, 200)
		}
	}
	assert.Equal(t, near(), before)
	f.store.Put("keyed.op", "evacuate/a", nil)
	f.await("the domain is used again", func() bool {
		f.get(f.vms[0], "/read/x", "good")
		return near() > before
	})
}

// While the store is down, routers serve by what they know; when their right to do so has run out they refuse, and are
// there again when the store is.
func TestStoreIsDownForLong(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 2)
	f.store.SetDown(true)
	assert.Equal(t, f.get(f.vms[0], "/read/x", "good").Status, 200)
	f.await("the right to serve runs out", func() bool {
		return f.get(f.vms[0], "/read/x", "good").Status == 503 && f.get(f.vms[1], "/read/x", "good").Status == 503
	})
	assert.Assert(t, !f.vms[0].front.Ready())
	f.store.SetDown(false)
	for _, vm := range f.vms {
		f.await("served again", func() bool { return f.get(vm, "/read/x", "good").Status == 200 && vm.front.Ready() })
	}
}

// A store whose connections fall silent is found out by time alone.
func TestStoreFallsSilent(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	f.store.SetSilent(true)
	f.await("the right to serve runs out", func() bool { return f.get(f.vms[0], "/read/x", "good").Status == 503 })
	f.store.SetSilent(false)
	f.await("served again", func() bool { return f.get(f.vms[0], "/read/x", "good").Status == 200 })
}

// Entries of another writer name no endpoint to use; the others hold.
func TestForeignEntries(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	for i, value := range []string{
		"\xff\xfe", "[]", "null", `{"service":5}`, `{"service":"plain","address":"nowhere","state":"ready"}`,
		`{"service":"plain","address":"127.0.0.1:1","state":"sleeping"}`, `{"service":"","address":"127.0.0.1:1","state":"ready"}`,
	} {
		f.store.Put("keyed.servers", fmt.Sprint("odd", i), []byte(value))
	}
	f.store.Put("keyed.servers", "p0", []byte("{"))
	f.store.Put("keyed.op", "config", []byte("{"))
	f.configure(5, "good", "plain")
	f.await("version 5", func() bool { return f.vms[0].desired.Current().Version() == 5 })
	for range 50 {
		assert.Equal(t, f.get(f.vms[0], "/read/x", "good").Status, 200)
	}
}

// An answer of the store that is lost after the write took effect leaves the router listed once.
func TestLostAnswerToListing(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	f.store.Lose(1)
	f.start(1)
	f.await("both know each other", func() bool {
		return f.vms[0].routers.Load() == 2 && f.vms[1].routers.Load() == 2 && f.vms[1].hub.Follows() == "vm0"
	})
}

// settingsWith are those of an entry VM without clients, with a grace.
func (f *entryFleet) settingsWith(grace time.Duration) []byte {
	return fmt.Appendf(nil, `
[vm]
name = "vm0"
failureDomain = "a"
[clients]
address = "127.0.0.1:0"
[readiness]
address = "127.0.0.1:0"
[metrics]
address = "127.0.0.1:0"
[peers]
address = %q
[store]
address = %q
[stop]
grace = %q
`, ownAddress(), f.url, grace)
}

// The settings' grace is lowered, which the log tells as taken, or the file is written just before the process is told to
// stop. It served on and refused by the grace of its start, and the platform killed it with clients' requests open. It must
// have stopped within the grace in force.
func TestStopGoesByTheGraceInForce(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 0)
	const old, lowered = 12 * time.Second, 2 * time.Second
	for name, lower := range map[string]func(vm *entryVM, file string){
		"reloaded": func(vm *entryVM, file string) { vm.reload(file, f.settingsWith(lowered)) },
		"written as it stops": func(vm *entryVM, file string) {
			assert.NilError(t, os.WriteFile(file, f.settingsWith(lowered), 0o600))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			vm.watchSettings(ctx, file, f.settingsWith(old), nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "vm.toml")
			cfg, err := settings.ParseEntry(file, f.settingsWith(old))
			assert.NilError(t, err)
			vm, err := newEntryVM(cfg, stdout.New(io.Discard))
			assert.NilError(t, err)
			assert.NilError(t, vm.start(context.Background()))
			lower(vm, file)
			began := time.Now()
			assert.NilError(t, vm.stop())
			took := time.Since(began)
			assert.Assert(t, took < lowered, "stopped after %v", took)
		})
	}
}
