package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/routetable"
)

// newTwoDomains returns a dispatcher for three engines in each of two failure domains, which can take 16 requests a
// second while they are cold.
func newTwoDomains(routers ...uint64) (d *dispatch.Dispatcher, entries []directory.Entry) {
	d, entries = newDispatcher(6)
	d.Configure(routetable.New(routetable.Config{Services: []routetable.Service{
		{Name: models, Engine: true, Slots: 32, CacheTokens: 700000, ColdFor: 3 * time.Second, ColdPerSecond: 16}, {Name: plain},
	}}))
	for i := range entries {
		if i >= 6 {
			entries[i].FailureDomain = "b"
		}
	}
	d.Update(entries, start)
	d.SetColdBound(coldlimit.Bound{RateFactor: 1.5, Slack: 5})
	if len(routers) > 0 {
		d.SetFleet(coldlimit.New(routers[0], routers))
	}
	return d, entries
}

// Guards against requests, retries and fetches that use a drained domain.
func TestDrainedDomainGetsNothing(t *testing.T) {
	d, _ := newTwoDomains(1)
	for i := range uint64(100) {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(i%20, i)}, start)
		a.RecordFirstBytes(dispatch.Load{}, start)
		a.End(dispatch.Served, start)
	}
	d.SetDrainFetchTerm(time.Second)
	d.SetDrained([]string{"b"}, start.Add(-2*time.Second))
	assert.Equal(t, d.CountInDomain("b"), 6)
	for i := range uint64(100) {
		q := dispatch.Query{Service: models, Prompt: document(i%20, i)}
		a := choose(t, d, q, start)
		assert.Equal(t, a.Endpoint().FailureDomain, "a")
		assert.Assert(t, a.FetchSource() == "" || a.FetchSource() < "10.0.0.3", a.FetchSource())
		a.End(dispatch.Broken, start)
		q.Tried = []string{a.Endpoint().ID}
		a = choose(t, d, q, start)
		assert.Equal(t, a.Endpoint().FailureDomain, "a")
		a.End(dispatch.Served, start)
	}
	d.SetDrained([]string{"a", "b"}, start)
	a, why := d.Choose(dispatch.Query{Service: models}, start)
	assert.Assert(t, a == nil)
	assert.Equal(t, why, dispatch.ReasonNoEndpoint)
	assert.Assert(t, !d.HasCapacityElsewhere(dispatch.Query{Service: models}, start))
}

// Guards against prompts that are read again because only engines of a domain that was just drained have them cached.
func TestPromptsAreFetchedFromDrainedEngines(t *testing.T) {
	d, _ := newTwoDomains(1)
	held := map[uint64]string{}
	for i := range uint64(40) {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(i, i)}, start)
		if a.Endpoint().FailureDomain == "b" {
			held[i] = a.Endpoint().Address
		}
		a.RecordFirstBytes(dispatch.Load{}, start)
		a.End(dispatch.Served, start)
	}
	assert.Assert(t, len(held) > 5)
	d.SetDrainFetchTerm(2500 * time.Millisecond)
	d.SetDrained([]string{"b"}, start)
	for i, address := range held {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(i, i+100)}, start.Add(time.Second))
		assert.Equal(t, a.Endpoint().FailureDomain, "a")
		assert.Equal(t, a.FetchSource(), address)
		a.End(dispatch.Served, start)
	}
}

// maxSentInB sends 900 requests, one a millisecond, and returns the highest number sent to any endpoint of failure
// domain b.
func maxSentInB(d *dispatch.Dispatcher, now time.Time) (most int) {
	at := map[string]int{}
	for i := range uint64(900) {
		a, _ := d.Choose(dispatch.Query{Service: models, Prompt: document(i, i)}, now.Add(time.Duration(i)*time.Millisecond))
		if a == nil {
			continue
		}
		if a.Endpoint().FailureDomain == "b" {
			at[a.Endpoint().ID]++
			most = max(most, at[a.Endpoint().ID])
		}
		a.End(dispatch.Served, now)
	}
	return most
}

// Guards against engines that fail because they get the load of a warm engine when their domain is used again. A
// single router may send nine tenths of what an engine can take.
func TestEnginesOfReturnedDomainAreCold(t *testing.T) {
	d, _ := newTwoDomains(1)
	now := start.Add(time.Minute)
	d.SetDrained([]string{"b"}, now)
	d.SetDrained(nil, now)
	assert.Equal(t, maxSentInB(d, now), 26)
	now = now.Add(4 * time.Second)
	assert.Assert(t, maxSentInB(d, now) > 29)
}

// Guards against an engine that fails because it is sent more than it can take while its entry says that it is cold.
func TestColdEngineIsSentItsShare(t *testing.T) {
	for _, tt := range []struct {
		routers []uint64
		want    int
	}{{[]uint64{1}, 26}, {[]uint64{1, 2}, 13}, {nil, 0}} {
		d, entries := newTwoDomains(tt.routers...)
		for i := range entries {
			if entries[i].FailureDomain == "b" {
				entries[i].Born, entries[i].Cold = 7, 2*time.Second
			}
		}
		d.Update(entries, start)
		assert.Equal(t, maxSentInB(d, start), tt.want)
		// A new entry with the same remaining time must not restart the cold period.
		entries[0].Sequence++
		d.Update(entries, start.Add(time.Second))
		assert.Assert(t, maxSentInB(d, start.Add(2100*time.Millisecond)) > 29)
	}
}

// Guards against a router that refuses nothing when only cold engines are left, so that they fail.
func TestOnlyColdEnginesAreLeft(t *testing.T) {
	d, entries := newTwoDomains(1)
	for i := range entries {
		entries[i].Born, entries[i].Cold = 7, 2*time.Second
	}
	d.Update(entries, start)
	served := 0
	for i := range uint64(500) {
		a, why := d.Choose(dispatch.Query{Service: models}, start.Add(time.Duration(i)*time.Millisecond))
		if a != nil {
			served++
			a.End(dispatch.Served, start)
			continue
		}
		assert.Equal(t, why, dispatch.ReasonAllFull)
	}
	assert.Equal(t, served, 6*26)
}

// Guards against an engine that restarts with the same id, answers, and is treated as the warm one that was lost.
func TestEngineThatAnswersAgainCountsAsCold(t *testing.T) {
	d, _ := newTwoDomains(1)
	now := start
	for range 4 {
		failAt(t, d, "models4", dispatch.Unreachable, 20, now)
		now = now.Add(600 * time.Millisecond)
	}
	now = now.Add(3 * time.Second)
	sent := 0
	for i := range uint64(900) {
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(i, i)}, now.Add(time.Duration(i)*time.Millisecond))
		if a.Endpoint().ID == "models4" {
			sent++
		}
		a.RecordFirstBytes(dispatch.Load{}, now)
		a.End(dispatch.Served, now)
	}
	assert.Assert(t, sent >= 10 && sent <= 26, "%d", sent)
}
