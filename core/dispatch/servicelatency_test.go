package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetstate"
)

// newLimited returns a dispatcher of two engines of 32 slots whose limit follows what waits at them.
func newLimited() *dispatch.Dispatcher {
	d, _ := newDispatcher(2)
	d.SetOverloadControl(dispatch.OverloadControl{Always: true, LatencyLimit: true})
	return d
}

// report tells the dispatcher for some time what both engines report.
func report(d *dispatch.Dispatcher, running, waiting int, from time.Time, times int) (now time.Time) {
	s := fleetstate.EndpointState{Running: running, Waiting: waiting, Slots: 32}
	for i := range times {
		now = from.Add(time.Duration(i+1) * 400 * time.Millisecond)
		states := []fleetstate.EndpointState{stateOf("models0", s), stateOf("models1", s)}
		d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: states}}, fleetstate.Report{}, now)
	}
	return now
}

// Guards against engines that are kept full while requests wait at them, where these can be neither reordered nor refused.
func TestLimitFollowsWhatWaits(t *testing.T) {
	d := newLimited()
	now := report(d, 32, 0, start, 10)
	full := d.LimitFactor(models, now)
	assert.Assert(t, full > 0.9, "%.2f", full)
	now = report(d, 32, 20, now, 10)
	waiting := d.LimitFactor(models, now)
	assert.Assert(t, waiting < 0.8*full, "%.2f after %.2f", waiting, full)
	now = report(d, 30, 0, now, 20)
	assert.Assert(t, d.LimitFactor(models, now) > 0.9, "%.2f", d.LimitFactor(models, now))
}

// Guards against a limit that rises, or falls without need, at a router that hears nothing.
func TestLimitWithoutReports(t *testing.T) {
	d := newLimited()
	assert.Equal(t, d.LimitFactor(models, start), 1.0)
	now := report(d, 32, 20, start, 10)
	before := d.LimitFactor(models, now)
	assert.Assert(t, d.LimitFactor(models, now.Add(time.Minute)) <= before)
	d.SetOverloadControl(dispatch.OverloadControl{Always: true})
	assert.Equal(t, d.LimitFactor(models, now), 1.0)
}

// Guards against a limit that takes a single refusal for a service that refuses everything, because answers of streams are not counted.
func TestAnswersOfStreamsCountBesideRefusals(t *testing.T) {
	d := newLimited()
	for i := range 10 {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(uint64(i), uint64(i))}, start)
		verdict := dispatch.Served
		if i == 0 {
			verdict = dispatch.Refused
		}
		a.End(verdict, start)
	}
	latencies := d.OwnState(start).Latencies
	assert.Equal(t, len(latencies), 1)
	assert.Equal(t, latencies[0].Answers, float32(9))
	assert.Equal(t, latencies[0].Refusals, float32(1))
}
