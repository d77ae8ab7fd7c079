package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetload"
	"savoryfall/core/fleetstate"
)

// capacityEvents counts the capacity events of a service and the places that became free.
type capacityEvents struct{ events, freed int }

func (e *capacityEvents) take() (events, freed int) {
	events, freed = e.events, e.freed
	e.events, e.freed = 0, 0
	return events, freed
}

func observeCapacity(d *dispatch.Dispatcher) *capacityEvents {
	e := &capacityEvents{}
	d.SetOnCapacity(func(service string, freed int) {
		if service == plain {
			// This would block if the dispatcher's lock were held.
			d.Occupancy(service, start)
			e.events++
			e.freed += freed
		}
	})
	return e
}

// Guards against requests that wait for a place and do not learn that one is free, or that no endpoint is left.
func TestCapacityEvents(t *testing.T) {
	d, entries := newDispatcher(2)
	d.SetOverloadControl(dispatch.OverloadControl{Always: true})
	e := observeCapacity(d)
	end := func(v dispatch.Verdict) (events, freed int) {
		a := choose(t, d, dispatch.Query{Service: plain}, start)
		a.End(v, start)
		a.End(v, start)
		return e.take()
	}
	for _, v := range []dispatch.Verdict{dispatch.Served, dispatch.Failed, dispatch.Broken, dispatch.Abandoned} {
		events, freed := end(v)
		assert.Assert(t, events == 1 && freed == 1, "%s: %d events, %d places", v, events, freed)
	}
	for _, v := range []dispatch.Verdict{dispatch.Refused, dispatch.Withdrawn} {
		events, _ := end(v)
		assert.Equal(t, events, 0, "%s left no place", v)
	}
	for name, change := range map[string]func(){
		"fleet state": func() { d.SetFleetState(fleetstate.Totals{}, fleetstate.Report{}, start) },
		"workload":    func() { d.SetFleetWorkload(fleetload.Workload{}, fleetload.Workload{}, start) },
		"endpoints":   func() { d.Update(entries, start) },
		"drain":       func() { d.SetDrained(nil, start) },
	} {
		change()
		events, freed := e.take()
		assert.Assert(t, events == 1 && freed == 0, "%s: %d events, %d places", name, events, freed)
	}
	d.Update(entries[:2], start)
	e.take()
	a := choose(t, d, dispatch.Query{Service: plain}, start)
	a.Pause(time.Second, start)
	a.End(dispatch.Refused, start)
	events, freed := e.take()
	assert.Assert(t, events == 1 && freed == 0, "the last endpoint asks for a pause: %d events, %d places", events, freed)
}

// Guards against any effect where overload control is not active.
func TestNoCapacityEventsWithoutOverloadControl(t *testing.T) {
	d, entries := newDispatcher(2)
	e := observeCapacity(d)
	choose(t, d, dispatch.Query{Service: plain}, start).End(dispatch.Served, start)
	d.Update(entries, start)
	d.SetFleetState(fleetstate.Totals{}, fleetstate.Report{}, start)
	events, _ := e.take()
	assert.Equal(t, events, 0)
}

// Guards against a request that waited and counts as several: in the demand by which capacity is planned and shared, and in the
// refusals by which clients are told when to come back.
func TestWaitingRequestCountsOnce(t *testing.T) {
	came := func(d *dispatch.Dispatcher) (n float32) {
		for _, m := range d.OwnWorkload(start).Demands {
			n += m.Came
		}
		return n
	}
	d, _ := newDispatcher(1)
	q := dispatch.Query{Service: plain}
	n := 0
	var held *dispatch.Attempt
	for {
		a, _ := d.Choose(q, start)
		n++
		if a == nil {
			break
		}
		held = a
	}
	q.Waited = true
	for range 20 {
		a, _ := d.Choose(q, start)
		assert.Assert(t, a == nil)
	}
	assert.Equal(t, came(d), float32(n))
	assert.Equal(t, d.FullFor(plain, 0, start.Add(time.Millisecond)), time.Duration(0))
	for range 50 {
		held.End(dispatch.Served, start)
		for held = nil; held == nil; {
			held, _ = d.Choose(q, start)
		}
		assert.Equal(t, came(d), float32(n))
		a, _ := d.Choose(dispatch.Query{Service: plain}, start)
		assert.Assert(t, a == nil)
		n++
	}
	assert.Equal(t, d.FullFor(plain, 0, start.Add(time.Millisecond)), time.Duration(0), "requests that waited and were served count as refused")
}
