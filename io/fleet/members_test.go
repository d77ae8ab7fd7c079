package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/health"
	"savoryfall/io/fleet"
	"savoryfall/io/router"
	"savoryfall/io/standin/engine"
	"savoryfall/io/vmlist"
)

func memberState(t *testing.T, r *router.Router, name string) string {
	t.Helper()
	for _, m := range status(t, r).Members {
		if m.Name == name {
			return m.State
		}
	}
	return "unknown"
}

func endpointState(t *testing.T, r *router.Router, name string) health.State {
	t.Helper()
	for _, e := range status(t, r).Endpoints {
		if e.Endpoint == name {
			return e.Health
		}
	}
	return ""
}

// everywhere tells whether all routers believe this of engine-01.
func everywhere(t *testing.T, f *fleet.Fleet, want health.State) bool {
	t.Helper()
	for _, r := range f.Routers() {
		if endpointState(t, r, "engine-01") != want {
			return false
		}
	}
	return true
}

// A router dies without a word; the others take it for dead. It is replaced under its own name and is alive again.
func TestDeadRouterIsNoticed(t *testing.T) {
	f := start(t, fleet.Options{Routers: 4, Engines: 1})
	gone := f.Routers()[1]
	eventually(t, "all know each other", func() bool { return memberState(t, f.Routers()[0], "entry-2") == "alive" })
	f.KillRouter(gone)
	for _, r := range f.Routers() {
		eventually(t, "entry-2 is dead", func() bool { return memberState(t, r, "entry-2") == "dead" })
	}
}

// Two routers cannot speak to each other, but both to a third. Neither is taken for dead: the third vouches for them.
func TestCutBetweenTwoRoutersEjectsNobody(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1})
	a, b := f.Routers()[0], f.Routers()[1]
	for _, r := range f.Routers() {
		eventually(t, "all know each other", func() bool { return len(status(t, r).Members) == 2 })
	}
	a.Agent().Cut(func(name string) bool { return name == "entry-2" })
	b.Agent().Cut(func(name string) bool { return name == "entry-1" })
	seen := map[string]bool{}
	for n := 0; n < 40; n++ {
		seen[memberState(t, a, "entry-2")] = true
		seen[memberState(t, b, "entry-1")] = true
		assert.Equal(t, complete(t, f, fmt.Sprintf("cut %d #30", n)), want(fmt.Sprintf("cut %d #30", n)))
	}
	assert.Assert(t, seen["alive"] && !seen["dead"], "%v", seen)
}

// An engine says that it is leaving; on every router it gets no new work, and what it has goes on to its end.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 2})
	f.Engine("engine-01").Set(engine.Faults{Leaving: true})
	eventually(t, "engine-01 is leaving everywhere", func() bool { return everywhere(t, f, health.Leaving) })
	served := f.Engine("engine-01").Truth().Served
	for i := range 10 {
		text := fmt.Sprintf("elsewhere %d #5", i)
		assert.Equal(t, complete(t, f, text), want(text))
	}
	assert.Equal(t, f.Engine("engine-01").Truth().Served, served)
	f.Engine("engine-01").Set(engine.Faults{})
	assert.Equal(t, endpointState(t, f.Routers()[0], "engine-01"), health.Leaving, "a mark is never taken back")
}

// The VM list shows an engine's VM as leaving, and lags; the mark spreads, and its successor is free of it.
func TestListedMarkAndItsSuccessor(t *testing.T) {
	f := start(t, fleet.Options{Routers: 2, Engines: 2, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n",
		"platform": "vmListPeriod = \"100ms\"\n",
	}})
	f.VMs.Put(vmlist.VM{Name: "engine-01", Role: vmlist.RoleEndpoint})
	eventually(t, "engine-01 is heard", func() bool { return everywhere(t, f, health.Up) })
	f.VMs.Put(vmlist.VM{Name: "engine-01", Role: vmlist.RoleEndpoint, Leaving: true})
	eventually(t, "engine-01 is leaving everywhere", func() bool { return everywhere(t, f, health.Leaving) })
	address := f.KillEngine("engine-01")
	assert.NilError(t, f.StartEngine(t.Context(), "engine-01", address))
	eventually(t, "the successor is up everywhere", func() bool { return everywhere(t, f, health.Up) })
}

// streams starts so many streams of so many tokens, each of which must arrive whole; wait for them at the end.
func streams(t *testing.T, f *fleet.Fleet, n, tokens int) (all *sync.WaitGroup) {
	t.Helper()
	all = &sync.WaitGroup{}
	for i := range n {
		all.Go(func() {
			text := fmt.Sprintf("stream %d #%d", i, tokens)
			got, err := completed(t.Context(), f, text)
			assert.Check(t, err)
			assert.Check(t, got == want(text))
		})
	}
	return all
}

// streamsOn starts streams until some run on the engine: on a busy machine all of them may end before that is looked at.
func streamsOn(t *testing.T, f *fleet.Fleet, name string, n, tokens int) (all *sync.WaitGroup) {
	t.Helper()
	var ended atomic.Bool
	ended.Store(true)
	eventually(t, "work runs on "+name, func() bool {
		if ended.Swap(false) {
			wave := streams(t, f, n, tokens)
			all = wave
			go func() {
				wave.Wait()
				ended.Store(true)
			}()
		}
		return f.Engine(name).Truth().Requests > 0
	})
	return all
}

// An engine is killed while streams run on it; their callers get the rest from another one, and the dead one is out of
// use on every router.
func TestKilledEngine(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 3})
	all := streamsOn(t, f, "engine-01", 12, 200)
	f.KillEngine("engine-01")
	all.Wait()
	eventually(t, "engine-01 is down everywhere", func() bool { return everywhere(t, f, health.Down) })
}

// An engine stops moving, as a frozen process does: its connections stand, but nothing comes. Its streams go on
// elsewhere, and it is out of use.
func TestFrozenEngine(t *testing.T) {
	f := start(t, fleet.Options{Routers: 1, Engines: 2, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n",
		"limits": "firstToken = \"300ms\"\nbetweenTokens = \"300ms\"\nretryRatio = 1.0\n",
	}})
	f.Engine("engine-01").Set(engine.Faults{Frozen: true})
	for i := range 8 {
		text := fmt.Sprintf("frozen %d #10", i)
		assert.Equal(t, complete(t, f, text), want(text))
	}
}

// A router is told to stop while a long stream runs through it. Its readiness fails, the stream arrives whole, and the
// peers know that it is leaving, not dead.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := start(t, fleet.Options{Routers: 3, Engines: 1, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"300ms\"\n", "routing": "probePeriod = \"200ms\"\n",
	}})
	leaving := f.Routers()[0]
	all := streams(t, f, 1, 400)
	eventually(t, "the stream runs", func() bool { return f.Engine("engine-01").Truth().Requests == 1 })
	stopped := make(chan error)
	go func() { stopped <- f.StopRouter(t.Context(), leaving) }()
	eventually(t, "it is not ready", func() bool {
		resp, err := http.Get("http://" + leaving.Callers() + "/readyz")
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	all.Wait()
	assert.NilError(t, <-stopped)
	for _, r := range f.Routers() {
		assert.Equal(t, memberState(t, r, "entry-1"), "leaving")
	}
}

// Five of six engines are killed at once while streams run on all of them. Each stream meets several dead engines in
// a row; all callers get the whole of their answers from the one that is left.
func TestMostEnginesKilledAtOnce(t *testing.T) {
	f := start(t, fleet.Options{Routers: 1, Engines: 6})
	all := streams(t, f, 18, 300)
	eventually(t, "all streams run", func() bool {
		running := 0
		for _, e := range f.Engines() {
			running += e.Truth().Requests
		}
		return running == 18
	})
	f.KillEngines("engine-01", "engine-02", "engine-03", "engine-04", "engine-05")
	all.Wait()
}
