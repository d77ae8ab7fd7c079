package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
)

// pauseAt has the endpoint with the id ask for a pause.
func pauseAt(t *testing.T, d *dispatch.Dispatcher, id string, asked time.Duration, now time.Time) {
	t.Helper()
	a := chooseAt(t, d, id, now)
	a.Pause(asked, now)
	a.RecordFirstBytes(dispatch.Load{}, now)
	a.End(dispatch.Refused, now)
}

// chooseAt begins an attempt at the plain endpoint with the id.
func chooseAt(t *testing.T, d *dispatch.Dispatcher, id string, now time.Time) *dispatch.Attempt {
	t.Helper()
	var tried []string
	for {
		a := choose(t, d, dispatch.Query{Service: plain, Tried: tried}, now)
		if a.Endpoint().ID == id {
			return a
		}
		tried = append(tried, a.Endpoint().ID)
		a.End(dispatch.Abandoned, now)
	}
}

// isUsed reports whether the plain endpoint with the id may get requests.
func isUsed(d *dispatch.Dispatcher, id string, now time.Time) bool {
	var tried []string
	for {
		a, _ := d.Choose(dispatch.Query{Service: plain, Tried: tried}, now)
		if a == nil {
			return false
		}
		a.End(dispatch.Abandoned, now)
		if a.Endpoint().ID == id {
			return true
		}
		tried = append(tried, a.Endpoint().ID)
	}
}

// Guards against a pause that is shortened by a later refusal or ended by a served answer.
func TestLatestEndOfSeveralPausesHolds(t *testing.T) {
	d, _ := newDispatcher(2)
	inFlight := []*dispatch.Attempt{chooseAt(t, d, "plain0", start), chooseAt(t, d, "plain0", start)}
	pauseAt(t, d, "plain0", 3*time.Second, start)
	inFlight[0].Pause(time.Second, start.Add(100*time.Millisecond))
	inFlight[0].End(dispatch.Refused, start.Add(100*time.Millisecond))
	inFlight[1].RecordFirstBytes(dispatch.Load{}, start.Add(200*time.Millisecond))
	inFlight[1].End(dispatch.Served, start.Add(200*time.Millisecond))
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		assert.Assert(t, !isUsed(d, "plain0", start.Add(at)), "%v", at)
	}
	assert.Assert(t, isUsed(d, "plain0", start.Add(4*time.Second)))
}

// Guards against requests at endpoints that have all asked for a pause, and against a retry delay that is not its end.
func TestPauseOfAllEndpointsIsRefusedUntilTheFirstEnds(t *testing.T) {
	d, _ := newDispatcher(2)
	pauseAt(t, d, "plain0", 3*time.Second, start)
	pauseAt(t, d, "plain1", 2*time.Second, start)
	a, reason := d.Choose(dispatch.Query{Service: plain}, start.Add(time.Second))
	assert.Assert(t, a == nil)
	assert.Equal(t, reason, dispatch.ReasonPaused)
	after := d.PausedFor(plain, start.Add(time.Second))
	assert.Assert(t, after >= time.Second && after <= 1500*time.Millisecond, "%v", after)
	choose(t, d, dispatch.Query{Service: plain}, start.Add(time.Second+after))
	assert.Equal(t, d.PausedFor(plain, start.Add(time.Second+after)), time.Duration(0))
}

// Guards against a burst at an endpoint whose pause has ended: it is empty, and would refuse again.
func TestRequestsReturnSlowlyAfterPause(t *testing.T) {
	d, _ := newDispatcher(1)
	pauseAt(t, d, "plain0", time.Second, start)
	now := start.Add(2 * time.Second)
	for _, want := range []int{1, 2, 4} {
		var sent []*dispatch.Attempt
		for {
			a, _ := d.Choose(dispatch.Query{Service: plain}, now)
			if a == nil {
				break
			}
			sent = append(sent, a)
		}
		assert.Equal(t, len(sent), want)
		now = now.Add(20 * time.Millisecond)
		sent[0].RecordFirstBytes(dispatch.Load{}, now)
		for _, a := range sent {
			a.End(dispatch.Served, now)
		}
	}
	a := choose(t, d, dispatch.Query{Service: plain}, now)
	a.RecordFirstBytes(dispatch.Load{}, now)
	a.End(dispatch.Refused, now)
	choose(t, d, dispatch.Query{Service: plain}, now)
	next, _ := d.Choose(dispatch.Query{Service: plain}, now)
	assert.Assert(t, next == nil, "a refusal must limit the endpoint to one request again")
}

// Guards against routers that were refused together and all return in the same millisecond.
func TestRoutersReturnAtDifferentTimes(t *testing.T) {
	var returns []time.Duration
	for seed := range uint64(20) {
		d, _ := newDispatcher(2)
		d.Seed(seed)
		pauseAt(t, d, "plain0", 3*time.Second, start)
		at := 3 * time.Second
		for !isUsed(d, "plain0", start.Add(at)) {
			at += 10 * time.Millisecond
		}
		returns = append(returns, at)
	}
	slices.Sort(returns)
	assert.Assert(t, returns[0] >= 3*time.Second && returns[19] <= 3750*time.Millisecond, "%v", returns)
	assert.Assert(t, returns[15]-returns[4] >= 200*time.Millisecond, "%v", returns)
}

// Guards against a pause that is forgotten because the entry of its endpoint lapsed for a while.
func TestPauseOutlastsLapsedEntry(t *testing.T) {
	d, entries := newDispatcher(2)
	pauseAt(t, d, "plain0", 20*time.Second, start)
	d.Update(without(entries, "plain0"), start.Add(time.Second))
	d.Update(without(entries, "plain0"), start.Add(9*time.Second))
	d.Update(entries, start.Add(10*time.Second))
	assert.Assert(t, !isUsed(d, "plain0", start.Add(19*time.Second)))
	assert.Assert(t, isUsed(d, "plain0", start.Add(25*time.Second)))
}

// Guards against a process that is kept out by the pause or the leaving mark of the one before it.
func TestSuccessorInheritsNoPauseOrMark(t *testing.T) {
	d, entries := newDispatcher(3)
	pauseAt(t, d, "plain0", 20*time.Second, start)
	assert.Assert(t, chooseAt(t, d, "plain1", start).MarkLeaving())
	assert.Assert(t, !isUsed(d, "plain0", start) && !isUsed(d, "plain1", start))
	restarted := slices.Clone(entries)
	for i := range restarted {
		restarted[i].Born++
	}
	d.Update(restarted, start)
	assert.Assert(t, isUsed(d, "plain0", start) && isUsed(d, "plain1", start))
}

func TestEndedPauses(t *testing.T) {
	d, entries := newDispatcher(2)
	pauseAt(t, d, "plain0", 2*time.Second, start)
	assert.Equal(t, d.CurrentMetrics(start.Add(time.Second)).Paused, 1)
	assert.Equal(t, len(d.EndedPauses(start.Add(time.Second))), 0)
	ended := d.EndedPauses(start.Add(3 * time.Second))
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Refusals, 1)
	i := slices.IndexFunc(entries, func(e directory.Entry) bool { return e.ID == "plain0" })
	assert.DeepEqual(t, ended[0].Endpoint, entries[i])
	assert.Equal(t, len(d.EndedPauses(start.Add(4*time.Second))), 0)
}

// Guards against a refusal that names the end of a pause at which no endpoint returns, because its failure domain is drained.
func TestPauseInDrainedDomainIsNoReasonToRetryAtItsEnd(t *testing.T) {
	d, _ := newDispatcher(1)
	pauseAt(t, d, "plain0", 3*time.Second, start)
	d.SetDrained([]string{"a"}, start)
	_, reason := d.Choose(dispatch.Query{Service: plain}, start)
	assert.Equal(t, reason, dispatch.ReasonNoEndpoint)
	assert.Equal(t, d.PausedFor(plain, start), time.Duration(0))
}
