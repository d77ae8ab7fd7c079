package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/fleetstate"
	"savoryfall/core/prompt"
	"savoryfall/core/routetable"
)

const (
	testModels = "models"
	testPlain  = "plain"
	testSlots  = 8
	testEvent  = 30 * time.Millisecond
	testAnswer = 20 * time.Millisecond
)

var testStart = time.Unix(1000, 0)

// newStateDispatcher returns a dispatcher for four engines and four plain endpoints.
func newStateDispatcher() *Dispatcher {
	d := New("a")
	d.Seed(1)
	d.Configure(routetable.New(routetable.Config{Services: []routetable.Service{{Name: testModels, Engine: true, Slots: testSlots}, {Name: testPlain}}}))
	var entries []directory.Entry
	for i := range 4 {
		for _, service := range []string{testModels, testPlain} {
			entries = append(entries, directory.Entry{
				ID: fmt.Sprint(service, i), Service: service, Address: fmt.Sprint(service, i, ":1"), FailureDomain: "a", Slots: testSlots,
			})
		}
	}
	d.Update(entries, testStart)
	return d
}

// attemptAt begins an attempt at an endpoint.
func attemptAt(d *Dispatcher, id string, q Query, now time.Time) *Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.Service = d.byID[id].entry.Service
	c := d.scoring(q, d.pools[q.Service], now)
	if c.view != nil {
		c.compare(c.pool)
	}
	return d.begin(c, d.byID[id])
}

// engineRun is how an engine works and what it reports.
type engineRun struct{ factor, reported float64 }

// stream runs a stream of 20 events at an engine and returns when it has ended.
func stream(d *Dispatcher, id string, r engineRun, now time.Time) time.Time {
	a := attemptAt(d, id, Query{Prompt: prompt.Chain{{ID: 1, Tokens: 100}}}, now)
	for i := range 20 {
		if i > 0 {
			now = now.Add(time.Duration(r.factor * float64(testEvent)))
		} else {
			a.RecordFirstBytes(Load{Running: 1, Slots: testSlots, Slowdown: r.reported, Known: true}, now)
		}
		a.RecordEvents(1, now)
	}
	a.End(Served, now)
	return now
}

// plainAnswer has an answer from a plain endpoint, which waits there if all slots are taken.
func plainAnswer(d *Dispatcher, id string, took time.Duration, running int, now time.Time) {
	a := attemptAt(d, id, Query{}, now)
	now = now.Add(took)
	a.RecordFirstBytes(Load{Running: running, Slots: testSlots, Slowdown: 1, Known: true}, now)
	a.End(Served, now)
}

func slowdownOf(d *Dispatcher, id string, now time.Time) float64 {
	s, _ := d.EndpointSpeed(id, now)
	return s.Factor
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance, "got %.3f, want %.3f", got, want)
}

// runEngines has all engines work in turn and returns when they are done.
func runEngines(d *Dispatcher, rounds int, how func(i int) engineRun, now time.Time) time.Time {
	for range rounds {
		ended := now
		for i := range 4 {
			if end := stream(d, fmt.Sprint(testModels, i), how(i), now); end.After(ended) {
				ended = end
			}
		}
		now = ended
	}
	return now
}

// Guards against a router that does not learn which engines are slower for good, or what an event takes at the others.
func TestSpeedIsLearnedFromStreams(t *testing.T) {
	d := newStateDispatcher()
	now := runEngines(d, 30, func(i int) engineRun {
		if i == 3 {
			return engineRun{1.3, 1}
		}
		return engineRun{1, 1}
	}, testStart)
	for i, want := range []float64{1, 1, 1, 1.3} {
		assertNear(t, slowdownOf(d, fmt.Sprint(testModels, i), now), want, 0.08)
	}
	assertNear(t, float64(d.eventTime(testModels))/float64(testEvent), 1, 0.1)
}

// Guards against a slowdown of all engines that looks like the usual speed, since each is compared with the others.
func TestCommonSlowdownIsExpected(t *testing.T) {
	d := newStateDispatcher()
	now := runEngines(d, 30, func(int) engineRun { return engineRun{1, 1} }, testStart)
	now = runEngines(d, 60, func(int) engineRun { return engineRun{2.5, 2.5} }, now)
	for i := range 4 {
		id := fmt.Sprint(testModels, i)
		attemptAt(d, id, Query{}, now).RecordFirstBytes(Load{Running: 1, Slots: testSlots, Slowdown: 2.5, Known: true}, now)
		s, _ := d.EndpointSpeed(id, now)
		assertNear(t, s.Lasting, 1, 0.1)
		assertNear(t, s.Factor, 2.5, 0.3)
	}
	assertNear(t, float64(d.eventTime(testModels))/float64(testEvent), 1, 0.1)
}

// Guards against a report that is wrong by a factor of ten either way and changes what is expected of other engines, or is not found out.
func TestLyingReportChangesOnlyItsEndpoint(t *testing.T) {
	for _, lie := range []float64{0.1, 10} {
		d := newStateDispatcher()
		now := runEngines(d, 30, func(int) engineRun { return engineRun{1, 1} }, testStart)
		now = runEngines(d, 30, func(i int) engineRun {
			if i == 0 {
				return engineRun{1, lie}
			}
			return engineRun{1, 1}
		}, now)
		for i := range 4 {
			assertNear(t, slowdownOf(d, fmt.Sprint(testModels, i), now), 1, 0.15)
		}
		assertNear(t, float64(d.eventTime(testModels))/float64(testEvent), 1, 0.1)
		assert.Assert(t, d.CurrentMetrics(now).DistrustedReports > 0)
		notices := d.SpeedNotices(now)
		assert.Equal(t, len(notices), 1)
		assert.Equal(t, notices[0].Endpoint.ID, "models0")
		assert.Assert(t, notices[0].Distrusted)
	}
}

// Guards against an engine that lies from the router's first answer on and shifts the times with which all are compared.
func TestLieFromTheBeginning(t *testing.T) {
	for _, lie := range []float64{0.1, 10} {
		d := newStateDispatcher()
		now := runEngines(d, 60, func(i int) engineRun {
			if i == 0 {
				return engineRun{1, lie}
			}
			return engineRun{1, 1}
		}, testStart)
		for i := range 3 {
			assertNear(t, slowdownOf(d, fmt.Sprint(testModels, i+1), now), 1, 0.15)
		}
		assertNear(t, float64(d.eventTime(testModels))/float64(testEvent), 1, 0.1)
	}
}

// Guards against taking the time that a plain request waits at a full endpoint for slowness.
func TestQueueingIsNoSlowness(t *testing.T) {
	d := newStateDispatcher()
	now := testStart
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		for i := range 4 {
			id := fmt.Sprint(testPlain, i)
			switch i {
			case 0:
				plainAnswer(d, id, 5*testAnswer, testSlots, now)
			case 1:
				plainAnswer(d, id, 2*testAnswer, 2, now)
			default:
				plainAnswer(d, id, testAnswer, 2, now)
			}
		}
	}
	for i, want := range []float64{1, 2, 1, 1} {
		assertNear(t, slowdownOf(d, fmt.Sprint(testPlain, i), now), want, 0.15)
	}
	assertNear(t, float64(d.plainTime(testPlain))/float64(testAnswer), 1, 0.1)
	assert.Equal(t, d.CurrentMetrics(now).Slow, 1)
}

// Guards against taking the time in which this router wrote to a slow client for slowness of the engine.
func TestOwnDelayIsNoSlowness(t *testing.T) {
	d := newStateDispatcher()
	now := runEngines(d, 30, func(int) engineRun { return engineRun{1, 1} }, testStart)
	for range 30 {
		a := attemptAt(d, "models0", Query{Prompt: prompt.Chain{{ID: 1, Tokens: 100}}}, now)
		a.RecordFirstBytes(Load{Running: 1, Slots: testSlots, Slowdown: 1, Known: true}, now)
		for range 5 {
			a.RecordEvents(1, now)
			a.RecordDelay()
			now = now.Add(100 * time.Millisecond)
		}
		a.End(Served, now)
	}
	assertNear(t, slowdownOf(d, "models0", now), 1, 0.1)
}

// Guards against state that is learned, held or told where overload control is not active.
func TestNoStateWithoutOverloadControl(t *testing.T) {
	d := newStateDispatcher()
	now := runEngines(d, 30, func(i int) engineRun { return engineRun{1 + float64(i), 0} }, testStart)
	a := attemptAt(d, "models0", Query{Prompt: prompt.Chain{{ID: 1, Tokens: 100}}}, now)
	d.RecordOutput(Query{Service: testModels, Kind: "chat"}, 500, now)
	assert.Equal(t, a.heldTokens, 0)
	assert.Equal(t, len(d.OwnState(now).Endpoints), 0)
	d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: []fleetstate.EndpointState{
		{Endpoint: d.byID["models0"].shortHash(), Running: 5, Slots: testSlots, Slowdown: 5, Lasting: 2, HeldTokens: 1000},
	}}}, fleetstate.Report{}, now)
	_, ok := d.byID["models0"].reported(now)
	assert.Assert(t, !ok)
	for i := range 4 {
		assert.Equal(t, slowdownOf(d, fmt.Sprint(testModels, i), now), 1.0)
	}
	assert.Equal(t, d.eventTime(testModels), defaultEventTime)
	assert.Equal(t, d.eventTime(testPlain), defaultEventTime)
	assert.Equal(t, d.expectedEvents(Query{Kind: "chat"}), defaultEvents)
	assert.Equal(t, len(d.SpeedNotices(now)), 0)
	assert.Equal(t, d.CurrentMetrics(now).Slow, 0)
}

// Guards against an older report in place of a newer one, reports that are too old, and tokens of this router that count twice.
func TestStatesOfTheFleet(t *testing.T) {
	d := newStateDispatcher()
	d.SetOverloadControl(OverloadControl{Always: true, ReportTerm: time.Second})
	e := d.byID["models0"]
	a := attemptAt(d, "models0", Query{Prompt: prompt.Chain{{ID: 1, Tokens: 100}}, Kind: "chat"}, testStart)
	held := 100 + int(defaultEvents*defaultTokensPerEvent)
	own := d.OwnState(testStart).Endpoints
	assert.Equal(t, len(own), 1)
	assert.Equal(t, own[0].HeldTokens, held)
	assert.Assert(t, own[0].Age >= unknownAge)

	a.RecordFirstBytes(Load{Running: 3, Waiting: 1, Slots: testSlots, Slowdown: 2, Known: true}, testStart)
	now := testStart.Add(100 * time.Millisecond)
	own = d.OwnState(now).Endpoints
	assert.DeepEqual(t, own, []fleetstate.EndpointState{
		{Endpoint: e.shortHash(), Running: 3, Waiting: 1, Slots: testSlots, Age: 100 * time.Millisecond, Slowdown: 2, HeldTokens: held},
	})
	set := func(s fleetstate.EndpointState) (fleetstate.EndpointState, bool) {
		s.Endpoint = e.shortHash()
		d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: []fleetstate.EndpointState{s}}}, fleetstate.Report{Endpoints: own}, now)
		return e.reported(now)
	}
	s, ok := set(fleetstate.EndpointState{Running: 9, Slots: testSlots, Slowdown: 1, Age: 200 * time.Millisecond, HeldTokens: held + 1000})
	assert.Assert(t, ok)
	assert.Equal(t, s.Running, 3)
	assert.Equal(t, s.HeldTokens, held+1000)
	s, _ = set(fleetstate.EndpointState{Running: 9, Slots: testSlots, Slowdown: 5, Lasting: 1.3, Age: 50 * time.Millisecond, HeldTokens: held / 2})
	assert.Equal(t, s.Running, 9)
	assert.Equal(t, s.Age, 50*time.Millisecond)
	assert.Equal(t, s.HeldTokens, held)
	assertNear(t, e.slowdown(now), 5, 0.5)

	set(fleetstate.EndpointState{HeldTokens: held + 1000, Age: time.Hour})
	s, _ = e.reported(now.Add(1500 * time.Millisecond))
	assert.Equal(t, s.HeldTokens, held, "what other routers hold counts for the report term")
	_, ok = e.reported(now.Add(3 * time.Second))
	assert.Assert(t, !ok)
	assertNear(t, e.slowdown(now.Add(time.Minute)), 1, 0.1)
	a.End(Served, now)
	assert.Equal(t, e.state.heldTokens, 0)
	assert.Equal(t, len(d.OwnState(now).Endpoints), 0)
}

// Guards against figures of other routers that are none.
func TestNonsenseFromOtherRouters(t *testing.T) {
	d := newStateDispatcher()
	d.SetOverloadControl(OverloadControl{Always: true})
	e := d.byID["models0"]
	for _, f := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1} {
		d.SetFleetState(fleetstate.Totals{Report: fleetstate.Report{Endpoints: []fleetstate.EndpointState{
			{Endpoint: e.shortHash(), Running: -1, Waiting: -1, Slots: -1, Slowdown: f, Lasting: f, Age: -time.Hour, HeldTokens: -1},
			{Endpoint: 12345, Running: 1},
		}}}, fleetstate.Report{Endpoints: []fleetstate.EndpointState{{Endpoint: 12345, HeldTokens: 1}}}, testStart)
	}
	s, ok := e.reported(testStart)
	assert.Assert(t, ok)
	assert.DeepEqual(t, s, fleetstate.EndpointState{Endpoint: e.shortHash()})
	assert.Equal(t, e.slowdown(testStart), 1.0)
	now := testStart.Add(time.Second)
	attemptAt(d, "models0", Query{}, now).RecordFirstBytes(Load{Running: 3, Slots: testSlots, Known: true}, now)
	s, _ = e.reported(now)
	assert.Equal(t, s.Running, 3, "a report from the future must not be in the way of newer ones")
}

// Guards against a report that is as old as the header of its answer and counts as new when the first event arrives.
func TestReportIsAsOldAsItsHeader(t *testing.T) {
	d := newStateDispatcher()
	a := attemptAt(d, "models0", Query{}, testStart)
	now := testStart.Add(time.Second)
	a.RecordFirstBytes(Load{Running: 3, Slots: testSlots, Slowdown: 5, Known: true, At: testStart}, now)
	s, ok := d.byID["models0"].reported(now)
	assert.Assert(t, ok)
	assert.Equal(t, s.Age, time.Second)
	assert.Assert(t, d.byID["models0"].slowdown(now) < 2)
}

// Guards against a log that one endpoint or a change of all of them fills.
func TestSpeedNoticesAreBounded(t *testing.T) {
	d := newStateDispatcher()
	now := testStart
	lines := 0
	for i := range 30 {
		factor := 1 + 3*float64(i/3%2)
		now = runEngines(d, 10, func(i int) engineRun {
			if i == 0 {
				return engineRun{factor, 1}
			}
			return engineRun{1, 1}
		}, now)
		lines += len(d.SpeedNotices(now))
		assert.Equal(t, len(d.SpeedNotices(now)), 0)
	}
	assert.Assert(t, lines >= 1 && lines <= int(now.Sub(testStart)/noticePeriod)+1, "%d lines in %v", lines, now.Sub(testStart))
}

// Guards against an expected length that ignores what was served, and one learned of another service's terms.
func TestExpectedEvents(t *testing.T) {
	d := newStateDispatcher()
	d.SetOverloadControl(OverloadControl{Always: true})
	q := Query{Service: testModels, Kind: "chat"}
	assert.Equal(t, d.expectedEvents(q), defaultEvents)
	for i := range 200 {
		q.LengthHint = 8 * (i%50 + 10)
		d.RecordOutput(q, i%50+10, testStart)
	}
	q.LengthHint = 240
	assertNear(t, d.expectedEvents(q), 30, 4)
	assertNear(t, d.expectedOutputTokens(q), 240, 30)
}

func BenchmarkRecordEvents(b *testing.B) {
	d := newStateDispatcher()
	now := runEngines(d, 10, func(int) engineRun { return engineRun{1, 1} }, testStart)
	a := attemptAt(d, "models0", Query{Prompt: prompt.Chain{{ID: 1, Tokens: 100}}}, now)
	a.RecordFirstBytes(Load{Running: 1, Slots: testSlots, Slowdown: 1, Known: true}, now)
	for i := range b.N {
		a.RecordEvents(1, now.Add(time.Duration(i%20)*testEvent))
	}
}

func BenchmarkOwnEndpointStates(b *testing.B) {
	d := newStateDispatcher()
	d.SetOverloadControl(OverloadControl{Always: true})
	var entries []directory.Entry
	for i := range 2500 {
		entries = append(entries, directory.Entry{ID: fmt.Sprint(testModels, i), Service: testModels, Address: fmt.Sprint(i), Slots: testSlots})
	}
	d.Update(entries, testStart)
	for _, e := range d.byID {
		e.running = 1
	}
	for range b.N {
		own := d.ownEndpointStates(testStart)
		d.setEndpointStates(own, own, testStart)
	}
}
