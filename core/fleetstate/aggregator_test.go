package fleetstate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetstate"
)

var start = time.Unix(1000, 0)

const service = 7

func answer(endpoint uint32, running int, age time.Duration) fleetstate.EndpointState {
	return fleetstate.EndpointState{Endpoint: endpoint, Running: running, Slots: 24, Age: age}
}

func demand(account uint32, arrivals float32) fleetstate.AccountDemand {
	return fleetstate.AccountDemand{Service: service, Account: account, Accounts: 1, Arrivals: arrivals}
}

// Guards against an older answer that replaces a newer one because its report arrived later.
func TestNewestAnswerOfAnyRouterWins(t *testing.T) {
	for _, swapped := range []bool{false, true} {
		var a fleetstate.Aggregator
		old := func() {
			a.Add("old", fleetstate.Report{Endpoints: []fleetstate.EndpointState{answer(1, 5, 900*time.Millisecond)}}, start)
		}
		if !swapped {
			old()
		}
		fresh := answer(1, 9, 300*time.Millisecond)
		fresh.Slowdown, fresh.Lasting = 2.5, 1.3
		a.Add("new", fleetstate.Report{Endpoints: []fleetstate.EndpointState{fresh}}, start)
		if swapped {
			old()
		}
		got := a.Totals(start.Add(100 * time.Millisecond))
		fresh.Age = 400 * time.Millisecond
		assert.DeepEqual(t, got.Endpoints, []fleetstate.EndpointState{fresh})
		assert.Equal(t, got.Routers, 2)
	}
}

// Guards against routers whose clocks differ: what a router reports is taken by its age, and that grows by the hub's clock.
func TestRoutersWithDifferentClocks(t *testing.T) {
	var early, late fleetstate.Aggregator
	r := fleetstate.Report{
		Endpoints: []fleetstate.EndpointState{answer(1, 5, 100*time.Millisecond)},
		Retries:   []fleetstate.PromisedRetries{{Service: service, Ahead: 4, Count: 3}},
	}
	early.Add("vm", r, start)
	late.Add("vm", r, start.Add(time.Hour))
	assert.DeepEqual(t, early.Totals(start.Add(time.Second)), late.Totals(start.Add(time.Hour+time.Second)))
}

// Guards against tokens, demands and answers of several routers that count once, or twice when a router reports again.
func TestReportsAreSummed(t *testing.T) {
	var a fleetstate.Aggregator
	r := fleetstate.Report{
		Endpoints: []fleetstate.EndpointState{{Endpoint: 1, HeldTokens: 1000}},
		Accounts:  []fleetstate.AccountDemand{demand(3, 2.5), {Service: service, Accounts: 4, Arrivals: 1}},
		Retries:   []fleetstate.PromisedRetries{{Service: service, Rank: 1, Ahead: 2, Count: 3}},
		Latencies: []fleetstate.ServiceLatency{{Service: service, Answers: 10, TotalMs: 500, Refusals: 1.5}},
	}
	for range 3 {
		for _, router := range []string{"x", "y"} {
			a.Add(router, r, start)
		}
	}
	got := a.Totals(start)
	assert.DeepEqual(t, got, fleetstate.Totals{Routers: 2, Report: fleetstate.Report{
		Endpoints: []fleetstate.EndpointState{{Endpoint: 1, HeldTokens: 2000}},
		Accounts:  []fleetstate.AccountDemand{{Service: service, Accounts: 8, Arrivals: 2}, demand(3, 5)},
		Retries:   []fleetstate.PromisedRetries{{Service: service, Rank: 1, Ahead: 2, Count: 6}},
		Latencies: []fleetstate.ServiceLatency{{Service: service, Answers: 20, TotalMs: 1000, Refusals: 3}},
	}})
}

// Guards against retries that stay as far ahead as when they were reported, and against slots that have passed.
func TestRetriesComeNearer(t *testing.T) {
	var a fleetstate.Aggregator
	a.Add("vm", fleetstate.Report{Retries: []fleetstate.PromisedRetries{
		{Service: service, Ahead: 1, Count: 5}, {Service: service, Ahead: 8, Count: 7},
	}}, start)
	assert.DeepEqual(t, a.Totals(start.Add(time.Second)).Retries, []fleetstate.PromisedRetries{{Service: service, Ahead: 4, Count: 7}})
}

// Guards against totals that grow with the number of accounts, and against accounts that vanish from the sum.
func TestOnlyTheLargestAccountsAreNamed(t *testing.T) {
	var a fleetstate.Aggregator
	a.SetLimits(fleetstate.Limits{Accounts: 2})
	for i := range 3 {
		a.Add(fmt.Sprint("vm", i), fleetstate.Report{Accounts: []fleetstate.AccountDemand{
			demand(1, 1), demand(2, 10), demand(3, 4),
			{Service: service, Rank: 1, Account: 3, Accounts: 1, Arrivals: 4},
			demand(4, 5),
			{Service: service + 1, Account: 1, Accounts: 1, Arrivals: 1},
		}}, start)
	}
	assert.DeepEqual(t, a.Totals(start).Accounts, []fleetstate.AccountDemand{
		{Service: service, Accounts: 2, Arrivals: 18},
		demand(2, 30), demand(3, 12),
		{Service: service, Rank: 1, Account: 3, Accounts: 1, Arrivals: 12},
		{Service: service + 1, Account: 1, Accounts: 1, Arrivals: 3},
	})
}

// Guards against figures of routers that have left: half of them stop reporting, and only what endpoints have said stays, with
// its age.
func TestReportsOfRoutersThatLeftDoNotCount(t *testing.T) {
	var a fleetstate.Aggregator
	report := func(n int, now time.Time) {
		for i := range n {
			state := answer(uint32(1+i%10), i, 0)
			state.HeldTokens = 100
			a.Add(fmt.Sprint("vm", i), fleetstate.Report{Endpoints: []fleetstate.EndpointState{state}, Accounts: []fleetstate.AccountDemand{demand(1, 1)}}, now)
		}
	}
	report(76, start)
	report(38, start.Add(time.Second))
	got := a.Totals(start.Add(1900 * time.Millisecond))
	assert.Equal(t, got.Routers, 76)
	assert.Equal(t, got.Accounts[0].Arrivals, float32(76))
	got = a.Totals(start.Add(2100 * time.Millisecond))
	assert.Equal(t, got.Routers, 38)
	assert.Equal(t, got.Accounts[0].Arrivals, float32(38))
	held := 0
	for _, e := range got.Endpoints {
		held += e.HeldTokens
	}
	assert.Equal(t, held, 3800)
	got = a.Totals(start.Add(3100 * time.Millisecond))
	assert.Equal(t, got.Routers, 0)
	assert.Equal(t, len(got.Accounts), 0)
	assert.Equal(t, len(got.Endpoints), 10)
	assert.Equal(t, got.Endpoints[0].Age, 2100*time.Millisecond)
	got = a.Totals(start.Add(time.Second + fleetstate.StateTerm + time.Millisecond))
	assert.Equal(t, len(got.Endpoints), 0)
}

// Guards against one router whose impossible figures outweigh or break what the others report.
func TestImpossibleFiguresAreIgnored(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	var bad fleetstate.Report
	for _, e := range []fleetstate.EndpointState{
		{Running: -1, Slots: 1},
		{Running: math.MaxInt, Slots: 1},
		{Waiting: -5, Slots: 1},
		{Slots: -1, Running: 1},
		{Slots: 1, Slowdown: nan},
		{Slots: 1, Slowdown: -2},
		{Slots: 1, Slowdown: inf},
		{Slots: 1, Lasting: nan},
		{Slots: 1, Age: -time.Hour},
		{Slots: 1, Age: math.MaxInt64},
		{HeldTokens: -1},
		{HeldTokens: math.MaxInt},
	} {
		e.Endpoint = 1
		bad.Endpoints = append(bad.Endpoints, e)
	}
	bad.Accounts = []fleetstate.AccountDemand{
		demand(1, nan), demand(1, inf), demand(1, -1),
		{Service: service, Rank: -1, Accounts: 1, Arrivals: 1},
		{Service: service, Rank: 1 << 40, Accounts: 1, Arrivals: 1},
		{Service: service, Account: 1, Accounts: 1 << 40, Arrivals: 1},
		{Service: service, Account: 1, Accounts: -1, Arrivals: 1},
		{Service: service, Arrivals: 1},
	}
	bad.Retries = []fleetstate.PromisedRetries{
		{Service: service, Ahead: -1, Count: 1},
		{Service: service, Ahead: 1 << 40, Count: 1},
		{Service: service, Ahead: 1, Count: -9},
		{Service: service, Ahead: 1, Count: math.MaxInt},
		{Service: service, Rank: -1, Ahead: 1, Count: 1},
	}
	bad.Latencies = []fleetstate.ServiceLatency{
		{Service: service, Answers: nan}, {Service: service, TotalMs: -1}, {Service: service, Refusals: inf}, {Service: service, Answers: math.MaxFloat32},
	}
	good := fleetstate.Report{
		Endpoints: []fleetstate.EndpointState{answer(1, 5, time.Second)}, Accounts: []fleetstate.AccountDemand{demand(1, 2)},
		Retries:   []fleetstate.PromisedRetries{{Service: service, Ahead: 1, Count: 1}},
		Latencies: []fleetstate.ServiceLatency{{Service: service, Answers: 1, TotalMs: 20}},
	}
	var a fleetstate.Aggregator
	a.Add("good", good, start)
	want := a.Totals(start)
	a.AddTotals("bad", fleetstate.Totals{Report: bad, Routers: -5}, start)
	got := a.Totals(start)
	assert.Equal(t, got.Routers, 2)
	assert.DeepEqual(t, got.Report, want.Report)
	a.SetFleet(fleetstate.Totals{Report: bad, Routers: -1}, fleetstate.Totals{Report: bad}, start)
	got = a.Totals(start)
	assert.Equal(t, got.Routers, 2)
	assert.DeepEqual(t, got.Report, want.Report)
}

// Guards against reports without end: of one router, and of many names.
func TestReportsAreBounded(t *testing.T) {
	var huge fleetstate.Report
	for i := range 40000 {
		huge.Endpoints = append(huge.Endpoints, fleetstate.EndpointState{Endpoint: uint32(i), Slots: 1, HeldTokens: 1})
		huge.Accounts = append(huge.Accounts, demand(uint32(1+i), 1))
		huge.Retries = append(huge.Retries, fleetstate.PromisedRetries{Service: uint32(i), Count: 1})
		huge.Latencies = append(huge.Latencies, fleetstate.ServiceLatency{Service: uint32(i), Answers: 1})
	}
	var a fleetstate.Aggregator
	a.Add("huge", huge, start)
	got := a.Totals(start)
	assert.Assert(t, len(got.Endpoints) <= 1<<13 && len(got.Retries) <= 1<<12 && len(got.Latencies) <= 1<<10)
	assert.Equal(t, len(got.Accounts), 33)
	for i := range 1100 {
		a.Add(fmt.Sprint("name", i), fleetstate.Report{}, start)
	}
	assert.Assert(t, a.Totals(start).Routers <= 1<<10)
}

// Guards against routers that count twice, or not at all, where hubs report to a hub, and against totals of a lost hub.
func TestHubLevelsCountEachRouterOnce(t *testing.T) {
	var root fleetstate.Aggregator
	hubs := []*fleetstate.Aggregator{{}, {}, {}}
	for i, h := range hubs {
		h.SetLimits(fleetstate.Limits{Accounts: 1})
		for j := range 4 {
			h.Add(fmt.Sprint("vm", j), fleetstate.Report{
				Endpoints: []fleetstate.EndpointState{{Endpoint: 1, Running: i, Slots: 24, HeldTokens: 10, Age: time.Duration(1+i+j) * time.Millisecond}},
				Accounts:  []fleetstate.AccountDemand{demand(uint32(1+i), 10), demand(9, 1)},
				Retries:   []fleetstate.PromisedRetries{{Service: service, Ahead: 2, Count: 1}},
				Latencies: []fleetstate.ServiceLatency{{Service: service, Answers: 1, TotalMs: 10}},
			}, start)
		}
	}
	now := start
	for range 2 {
		now = now.Add(100 * time.Millisecond)
		for i, h := range hubs {
			local := h.LocalTotals(now)
			root.AddTotals(fmt.Sprint("hub", i), local, now)
			h.SetFleet(root.Totals(now), local, now)
		}
	}
	for _, h := range hubs {
		assert.Assert(t, h.FleetKnown(now))
		got := h.Totals(now)
		assert.Equal(t, got.Routers, 12)
		assert.DeepEqual(t, got.Endpoints, []fleetstate.EndpointState{{Endpoint: 1, Slots: 24, HeldTokens: 120, Age: 201 * time.Millisecond}})
		assert.DeepEqual(t, got.Retries, []fleetstate.PromisedRetries{{Service: service, Ahead: 2, Count: 12}})
		assert.DeepEqual(t, got.Latencies, []fleetstate.ServiceLatency{{Service: service, Answers: 12, TotalMs: 120}})
		arrivals := float32(0)
		for _, d := range got.Accounts {
			arrivals += d.Arrivals
		}
		assert.Equal(t, arrivals, float32(132))
		h.Add("vm0", fleetstate.Report{}, start.Add(1500*time.Millisecond))
		got = h.Totals(start.Add(2300 * time.Millisecond))
		assert.Equal(t, got.Routers, 1)
		assert.Assert(t, !h.FleetKnown(start.Add(2300*time.Millisecond)))
	}
	hubs[0].ForgetFleet()
	assert.Assert(t, !hubs[0].FleetKnown(now))
}

// randomReport returns a report of a router that uses some of the endpoints.
func randomReport(random *rand.Rand, endpoints, accounts int) (r fleetstate.Report) {
	for e := range endpoints {
		r.Endpoints = append(r.Endpoints, fleetstate.EndpointState{
			Endpoint: uint32(e+1) * 2654435761, Running: 12 + random.IntN(20), Waiting: random.IntN(4), Slots: 24, Age: time.Duration(random.IntN(400)) * time.Millisecond,
			Slowdown: 1 + float32(random.IntN(4))/2, Lasting: 1 + float32(random.IntN(300))/1000, HeldTokens: random.IntN(4) * 1500,
		})
	}
	for s := range uint32(4) {
		for rank := range 3 {
			for i := range accounts {
				r.Accounts = append(r.Accounts, fleetstate.AccountDemand{
					Service: s * 2654435769, Rank: rank, Account: uint32(i+random.IntN(40)) * 2246822519, Accounts: 1, Arrivals: random.Float32() * 10,
				})
			}
			for ahead := range 8 {
				r.Retries = append(r.Retries, fleetstate.PromisedRetries{Service: s * 2654435769, Rank: rank, Ahead: ahead, Count: 1 + random.IntN(5)})
			}
		}
		r.Latencies = append(r.Latencies, fleetstate.ServiceLatency{Service: s * 2654435769, Answers: random.Float32() * 20, TotalMs: random.Float32() * 9000, Refusals: random.Float32()})
	}
	return r
}

// Guards against sums that drift as reports replace each other, and against totals that depend on the order of reports.
func TestReplacedReportsLeaveNothingBehind(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var long fleetstate.Aggregator
	reports := map[string]fleetstate.Report{}
	for range 500 {
		router := fmt.Sprint("vm", random.IntN(20))
		reports[router] = randomReport(random, random.IntN(30), random.IntN(8))
		long.Add(router, reports[router], start)
	}
	got := long.Totals(start)
	for range 5 {
		var fresh fleetstate.Aggregator
		for router, r := range reports {
			fresh.Add(router, r, start)
		}
		want := fresh.Totals(start)
		assert.DeepEqual(t, got.Accounts, want.Accounts)
		assert.DeepEqual(t, got.Retries, want.Retries)
		assert.DeepEqual(t, got.Latencies, want.Latencies)
		held := map[uint32]int{}
		for _, e := range want.Endpoints {
			held[e.Endpoint] = e.HeldTokens
		}
		for _, e := range got.Endpoints {
			assert.Equal(t, e.HeldTokens, held[e.Endpoint])
		}
	}
}

// BenchmarkReport is the work of a hub for one report: each figure of a router has changed, and the reply has all totals.
func BenchmarkReport(b *testing.B) {
	for _, fleet := range []struct{ routers, endpoints int }{{6, 6}, {76, 70}, {300, 240}} {
		b.Run(fmt.Sprint(fleet.routers), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			reports := make([]fleetstate.Report, fleet.routers)
			var a fleetstate.Aggregator
			for i := range reports {
				reports[i] = randomReport(random, fleet.endpoints, 8)
				a.Add(fmt.Sprint("vm", i), reports[i], start)
			}
			var l fleetstate.Ledger
			b.ReportAllocs()
			b.ResetTimer()
			i, now := 0, start
			began := processorTime(b)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				a.Add(fmt.Sprint("vm", i%fleet.routers), reports[i%fleet.routers], now)
				t := a.Totals(now)
				l.Update(t.Endpoints, now)
				l.Since(0, now)
				i++
			}
			b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// processorTime returns the processor time of this process: on a busy machine it differs from the time that passes.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
