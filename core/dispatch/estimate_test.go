package dispatch_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetstate"
	"savoryfall/core/prompt"
)

// newControlled returns a dispatcher with overload control.
func newControlled(n int) *dispatch.Dispatcher {
	d, _ := newDispatcher(n)
	d.SetOverloadControl(dispatch.OverloadControl{Always: true, ExpectedTime: true})
	return d
}

// stateOf returns the state of an endpoint as another router reports it.
func stateOf(id string, s fleetstate.EndpointState) fleetstate.EndpointState {
	s.Endpoint = uint32(xxhash.Sum64String(id))
	return s
}

// Guards against plain calls that wait until they are late, or that are refused although they would be in time.
func TestPlainCallsAreRefusedWhenLate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		target time.Duration
		// most is how many calls two endpoints of six slots take, at 30 ms each.
		most int
	}{
		{"no time to wait", 30 * time.Millisecond, 12},
		{"a quarter of the target is a turn", 120 * time.Millisecond, 24},
		{"patient", time.Minute, 48},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newControlled(2)
			q := dispatch.Query{Service: plain, LatencyTarget: tc.target, TimeLeft: 2 * tc.target}
			sent, reason := 0, dispatch.Reason("")
			for range 100 {
				a, why := d.Choose(q, start)
				if a == nil {
					reason = why
					break
				}
				sent++
			}
			assert.Assert(t, sent >= tc.most*3/4 && sent <= tc.most, "%d", sent)
			assert.Assert(t, reason == dispatch.ReasonInfeasible || reason == dispatch.ReasonAllFull, "%s", reason)
		})
	}
}

// Guards against a stream that begins although its client will leave before its end.
func TestStreamThatOutlivesItsDeadlineIsInfeasible(t *testing.T) {
	d := newControlled(2)
	q := dispatch.Query{Service: models, Prompt: document(1, 1), LatencyTarget: time.Second, TimeLeft: 300 * time.Millisecond}
	_, reason := d.Choose(q, start)
	assert.Equal(t, reason, dispatch.ReasonInfeasible)
	e, ok := d.BestEstimate(q, start)
	assert.Assert(t, ok && e.Last > q.TimeLeft && e.First < q.LatencyTarget, "%v", e)
	q.TimeLeft = 5 * time.Second
	a := choose(t, d, q, start)
	expected, ok := a.Expected()
	assert.Assert(t, ok)
	assert.Equal(t, expected, e)
}

// Guards against engines that crash because the tokens they hold for all routers exceed their memory.
func TestEngineWithoutMemoryIsFull(t *testing.T) {
	d := newControlled(2)
	q := dispatch.Query{Service: models, Prompt: document(1, 1), LatencyTarget: time.Second, TimeLeft: 10 * time.Second}
	full := fleetstate.EndpointState{Running: 3, Slots: 32, HeldTokens: 695000}
	d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: []fleetstate.EndpointState{stateOf("models0", full)}}}, fleetstate.Report{}, start)
	for i := range uint64(6) {
		q.Prompt = document(i, i)
		assert.Equal(t, choose(t, d, q, start).Endpoint().ID, "models1")
	}
	both := []fleetstate.EndpointState{stateOf("models0", full), stateOf("models1", full)}
	d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: both}}, fleetstate.Report{}, start)
	_, reason := d.Choose(q, start)
	assert.Equal(t, reason, dispatch.ReasonInfeasible)
}

// Guards against requests that go on to an engine which another router was told is full, and against figures that count for longer
// than they are true.
func TestReportedLoadCountsWhileItIsNew(t *testing.T) {
	q := dispatch.Query{Service: models, Prompt: prompt.Chain{{ID: 7, Tokens: 100}}, LatencyTarget: 400 * time.Millisecond, TimeLeft: 10 * time.Second}
	full := []fleetstate.EndpointState{
		stateOf("models0", fleetstate.EndpointState{Running: 32, Waiting: 20, Slots: 32}), stateOf("models1", fleetstate.EndpointState{Running: 32, Waiting: 20, Slots: 32}),
	}
	d := newControlled(2)
	d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: full}}, fleetstate.Report{}, start)
	a, reason := d.Choose(q, start)
	assert.Assert(t, a == nil, "%s", reason)
	choose(t, d, q, start.Add(3*time.Second))
}

// Guards against a slow engine that gets as much as the others, and is late with it.
func TestSlowEngineGetsLess(t *testing.T) {
	const engines, requests = 9, 90
	d := newControlled(engines)
	slow := []fleetstate.EndpointState{stateOf("models0", fleetstate.EndpointState{Slots: 32, Slowdown: 5})}
	d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: slow}}, fleetstate.Report{}, start)
	at := map[string]int{}
	for i := range uint64(requests) {
		q := dispatch.Query{Service: models, Prompt: prompt.Chain{{ID: i, Tokens: 300}}, LatencyTarget: time.Second, TimeLeft: 20 * time.Second}
		at[choose(t, d, q, start).Endpoint().ID]++
	}
	assert.Assert(t, at["models0"] < requests/engines/2, "%v", at)
}
