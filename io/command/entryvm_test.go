package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/settings"
	"savoryfall/io/logwriter"
	"savoryfall/platform/standin/fakeendpoint"
)

func TestEntryFleetServesEachKind(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	for _, vm := range f.vms {
		assert.Equal(t, f.get(vm, "/read/x", "good").Body, "/read/x for coop by plain")
		assert.Equal(t, f.send(vm, "POST", "/book/x", "good", "b"+vm.settings.VM().Name()).Status, 200)
		stream := f.send(vm, "POST", "/draft/x", "good", "s"+vm.settings.VM().Name())
		assert.Equal(t, strings.Count(stream.Body, "data: piece"), 5)
		assert.Assert(t, stream.Complete)
		assert.Equal(t, f.get(vm, "/read/x", "bad").Status, 401)
		assert.Equal(t, f.get(vm, "/none/x", "good").Status, 404)
	}
	booked := int64(0)
	for _, s := range f.endpoints {
		booked += s.ExecutionsOf("bvm0")
	}
	assert.Equal(t, booked, int64(1))
}

// The metrics endpoint exposes the metrics that on-call engineers use.
func TestMetrics(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	// A router serves requests before it has read the list of routers.
	f.waitFor("the router is on the list of routers", func() bool { return f.vms[0].routers.Load() > 0 })
	f.send(f.vms[0], "POST", "/draft/x", "good", "m1")
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

// Each savoryfall_ metric that a fleet exposes, including those of traffic between routers, has a row in
// docs/OPERATIONS.md, and no metric has a label whose number of values grows with the accounts.
func TestOperationsPageDocumentsMetrics(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 2)
	f.waitFor("vm1 follows vm0 as hub", func() bool { return f.vms[1].hub.HubName() == "vm0" })
	f.send(f.vms[1], "POST", "/draft/x", "good", "m1")
	f.get(f.vms[1], "/read/x", "bad")
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	body := f.metrics(f.vms[1])
	for _, kind := range []string{"log", "peer"} {
		assert.Assert(t, regexp.MustCompile(`savoryfall_control_calls_total\{kind="`+kind+`"\} [1-9]`).MatchString(body), body)
	}
	boundedLabels := []string{"", "kind", "topic", "status", "outcome", "reason", "service", "verdict", "way", "result", "state", "by", "direction", "vmrange"}
	sample := regexp.MustCompile(`(?m)^(savoryfall_\w+?)(?:_bucket|_sum|_count)?(?:\{(.*)\})? \S+$`)
	rows := regexp.MustCompile("(?m)^\\| `savoryfall_.*$")
	documented := strings.Join(rows.FindAllString(string(page), -1), "\n")
	for _, m := range sample.FindAllStringSubmatch(body, -1) {
		assert.Assert(t, regexp.MustCompile("`"+m[1]+"[`{]").MatchString(documented), "%s is not documented in OPERATIONS.md", m[1])
		for _, label := range strings.Split(m[2], ",") {
			name, _, _ := strings.Cut(label, "=")
			assert.Assert(t, slices.Contains(boundedLabels, name), "label %s of %s may be unbounded", name, m[0])
		}
	}
}

// A new configuration becomes active on every router, and no router returns to an older version, even when the store
// holds the older version again.
func TestConfigurationOnlyGoesForward(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.putConfiguration(7, "new", "other")
	for _, vm := range f.vms {
		f.waitFor("version 7", func() bool { return f.get(vm, "/read/x", "new").Body == "/read/x for coop by other" })
		assert.Equal(t, f.get(vm, "/read/x", "good").Status, 401)
	}
	f.putConfiguration(3, "good", "plain")
	f.putConfiguration(9, "newest", "other")
	for _, vm := range f.vms {
		f.waitFor("version 9", func() bool { return f.get(vm, "/read/x", "newest").Status == 200 })
		assert.Equal(t, f.get(vm, "/read/x", "good").Status, 401)
	}
}

// Routers learn of a new configuration even after their hub has failed and the store has trimmed its history.
func TestRoutersRecoverFromLostHubAndHistory(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.waitFor("one hub", func() bool { return f.vms[1].hub.HubName() == "vm0" && f.vms[2].hub.HubName() == "vm0" })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.vms[0].manager.Stop(ctx)
	f.store.Put("keyed.op", "other", []byte("{}"))
	f.store.Compact("keyed.op")
	f.store.Compact("keyed.servers")
	f.putConfiguration(2, "new", "plain")
	for _, vm := range f.vms[1:] {
		f.waitFor("version 2", func() bool { return f.get(vm, "/read/x", "new").Status == 200 })
	}
	f.waitFor("the next hub", func() bool { return f.vms[1].hub.HubName() == "vm1" && f.vms[2].hub.HubName() == "vm1" })
}

// A leaving endpoint gets no new requests, from routers that read its entry in the store or from those that learn of it
// through a hub.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.endpoints["p0"].Drain()
	f.endpoints["p1"].Drain()
	f.store.Put("keyed.servers", "p0", f.endpoints["p0"].Entry())
	f.store.Put("keyed.servers", "p1", nil)
	runs := func() int64 { return f.endpoints["p0"].ExecutedCount() + f.endpoints["p1"].ExecutedCount() }
	for _, vm := range f.vms {
		f.waitFor("only p2 is used", func() bool {
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
	f.addEndpoint("far", fakeendpoint.Options{Service: "plain", Slots: 64, FailureDomain: "b"})
	f.store.Put("keyed.op", "evacuate/nowhere", []byte("{}"))
	f.store.Put("keyed.op", "evacuate/a", []byte("{}"))
	f.waitFor("the drain is active and the server in domain b is known", func() bool {
		return !slices.ContainsFunc(f.vms, func(vm *entryVM) bool {
			return len(vm.drainTracker.Records()) < 2 || vm.dispatcher.CountInDomain("b") == 0
		})
	})
	runsInDrainedDomain := func() (runs int64) {
		for _, id := range []string{"p0", "p1", "p2"} {
			runs += f.endpoints[id].ExecutedCount()
		}
		return runs
	}
	before := runsInDrainedDomain()
	for range 50 {
		for _, vm := range f.vms {
			assert.Equal(t, f.get(vm, "/read/x", "good").Status, 200)
		}
	}
	assert.Equal(t, runsInDrainedDomain(), before)
	f.store.Put("keyed.op", "evacuate/a", nil)
	f.waitFor("the domain is used again", func() bool {
		f.get(f.vms[0], "/read/x", "good")
		return runsInDrainedDomain() > before
	})
}

// While the store is down, routers serve from the state that they have until their lease expires. They then refuse
// requests, and serve again once the store is back.
func TestLongStoreOutage(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 2)
	f.store.SetDown(true)
	assert.Equal(t, f.get(f.vms[0], "/read/x", "good").Status, 200)
	f.waitFor("the lease to serve expires", func() bool {
		return f.get(f.vms[0], "/read/x", "good").Status == 503 && f.get(f.vms[1], "/read/x", "good").Status == 503
	})
	assert.Assert(t, !f.vms[0].handler.Ready())
	f.store.SetDown(false)
	for _, vm := range f.vms {
		f.waitFor("served again", func() bool { return f.get(vm, "/read/x", "good").Status == 200 && vm.handler.Ready() })
	}
}

// A store that accepts connections but never answers is detected by timeouts alone.
func TestUnresponsiveStore(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	f.store.SetUnresponsive(true)
	f.waitFor("the lease to serve expires", func() bool { return f.get(f.vms[0], "/read/x", "good").Status == 503 })
	f.store.SetUnresponsive(false)
	f.waitFor("served again", func() bool { return f.get(f.vms[0], "/read/x", "good").Status == 200 })
}

// Malformed registry entries and configurations are ignored, and valid ones keep working.
func TestInvalidRegistryEntriesAreIgnored(t *testing.T) {
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
	f.putConfiguration(5, "good", "plain")
	f.waitFor("version 5", func() bool { return f.vms[0].configTracker.Current().Version() == 5 })
	for range 50 {
		assert.Equal(t, f.get(f.vms[0], "/read/x", "good").Status, 200)
	}
}

// A router is registered only once when the store's response is lost after the write took effect.
func TestLostReplyToRouterRegistration(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 1)
	f.store.LoseResponses(1)
	f.start(1)
	f.waitFor("both know each other", func() bool {
		return f.vms[0].routers.Load() == 2 && f.vms[1].routers.Load() == 2 && f.vms[1].hub.HubName() == "vm0"
	})
}

// settingsWithGrace returns settings of an entry VM with the given shutdown grace.
func (f *entryFleet) settingsWithGrace(grace time.Duration) []byte {
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
`, uniqueLoopbackAddress(), f.storeAddress, grace)
}

// Guards against a process that shuts down by the grace it started with after the setting was lowered, by a reload or
// by a write just before the stop: the platform then killed it with client requests open. It must stop within the new
// grace.
func TestStopUsesCurrentGrace(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 0)
	const oldGrace, newGrace = 12 * time.Second, 2 * time.Second
	for name, lower := range map[string]func(vm *entryVM, file string){
		"reloaded": func(vm *entryVM, file string) { vm.reload(file, f.settingsWithGrace(newGrace)) },
		"written just before the stop": func(vm *entryVM, file string) {
			assert.NilError(t, os.WriteFile(file, f.settingsWithGrace(newGrace), 0o600))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			vm.watchSettings(ctx, file, f.settingsWithGrace(oldGrace), nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "vm.toml")
			cfg, err := settings.ParseEntry(file, f.settingsWithGrace(oldGrace))
			assert.NilError(t, err)
			vm, err := newEntryVM(cfg, logwriter.New(io.Discard))
			assert.NilError(t, err)
			assert.NilError(t, vm.start(context.Background()))
			lower(vm, file)
			startTime := time.Now()
			assert.NilError(t, vm.stop())
			elapsed := time.Since(startTime)
			assert.Assert(t, elapsed < newGrace, "stopped after %v", elapsed)
		})
	}
}
