package dispatch

import (
	"time"

	"savoryfall/core/completion"
	"savoryfall/core/directory"
)

// Attempt is one request at one endpoint, from the choice of the endpoint to the end of the request.
type Attempt struct {
	d             *Dispatcher
	e             *endpoint
	entry         directory.Entry
	q             Query
	began         time.Time
	missingTokens int
	unreadTokens  int
	fetchSource   string
	ended         bool
	// released is set once the endpoint no longer holds the request.
	released bool
	// limited is set while the attempt counts as unanswered at an endpoint that has just ended a pause.
	limited bool
	// controlled is set if overload control was active when the endpoint was chosen, expected is then when events were expected,
	// and slowdown by which factor the endpoint's work was expected to take longer.
	controlled bool
	expected   completion.Estimate
	slowdown   float64
	// withdrawals is the dispatcher's count when the endpoint was chosen.
	withdrawals uint64
	// heldTokens is what the attempt counts for in the endpoint's memory.
	heldTokens int
	// lastEventAt is when the newest events of a stream arrived, zero if the pause until the next ones is not to be measured.
	lastEventAt time.Time
	// freeSlots is set if the endpoint reported with the answer that it had free slots.
	freeSlots bool
}

// Load is the load that an endpoint reports in an answer.
type Load struct {
	// Slots is how many requests the endpoint runs at once, 0 if it does not say.
	Running, Waiting, Slots int
	// Slowdown is the factor by which work on the endpoint's VM takes longer than usual, 0 if it does not say.
	Slowdown float64
	Known    bool
	// At is when the header of the answer arrived, zero if it arrived with the first bytes of the body.
	At time.Time
}

// Verdict is how an attempt ended.
type Verdict int

// The verdicts. The last two are no evidence about the endpoint: the client left or the router stopped, or the request
// was not sent because the endpoint had been withdrawn.
const (
	Served Verdict = iota
	Refused
	Failed
	Broken
	Silent
	Unreachable
	Abandoned
	Withdrawn
)

var verdictNames = [...]string{
	Served: "served", Refused: "refused", Failed: "failed", Broken: "broken", Silent: "silent", Unreachable: "unreachable",
	Abandoned: "abandoned", Withdrawn: "withdrawn",
}

func (v Verdict) String() string { return verdictNames[v] }

// failureWeights is how much each verdict counts as a failure. The next request is certain to meet a refused
// connection or silence again; a refusal or a single broken answer may be a one-off.
var failureWeights = map[Verdict]float64{Refused: 0.7, Failed: 1, Broken: 1, Silent: 2, Unreachable: 3}

func (d *Dispatcher) begin(c *scoring, e *endpoint) *Attempt {
	q, now := c.q, c.now
	i := c.index(e)
	missingTokens, fetchSource := c.missingTokens(i), c.fetchSource(i)
	e.running++
	e.sentWeight, e.sentAt = e.recentlySent(now)+1, now
	e.breaker.onSend(now)
	if c.coldPerSecond > 0 {
		e.cold.countRequest(now)
	}
	d.demand(q.Service).began(q.Rank)
	a := &Attempt{d: d, e: e, entry: e.entry, q: q, began: now, missingTokens: missingTokens, unreadTokens: missingTokens, fetchSource: fetchSource, withdrawals: d.withdrawals.Load()}
	if c.view != nil {
		a.expect(c, i)
	}
	e.unreadTokens += a.unreadTokens
	a.countUnanswered()
	if c.engine && len(q.Prompt) > 0 {
		d.promptTokens += uint64(c.totalTokens)
		d.cachedTokens += uint64(c.totalTokens - missingTokens)
		d.recordRead(q, e)
	}
	if c.engine {
		a.holdTokens(now)
	}
	return a
}

// expect records what was expected of the endpoint. Parts that it fetches are not read.
func (a *Attempt) expect(c *scoring, i int) {
	w := c.expectation.works[i]
	a.controlled, a.expected, a.slowdown = true, c.expectation.estimates[i], w.Slowdown
	a.unreadTokens = max(w.MissingTokens-w.FetchedTokens, 0)
	a.e.history.add(1, c.now)
	c.view.ownChange++
}

// Endpoint returns the endpoint's directory entry as it was when the attempt began.
func (a *Attempt) Endpoint() directory.Entry { return a.entry }

// Began returns when the endpoint was chosen.
func (a *Attempt) Began() time.Time { return a.began }

// FetchSource returns the address of an endpoint that caches parts of the prompt which this one lacks, or "" if there
// is none.
func (a *Attempt) FetchSource() string { return a.fetchSource }

// MissingTokens returns how many tokens of the prompt the endpoint is estimated not to have cached.
func (a *Attempt) MissingTokens() int { return a.missingTokens }

// Expected returns when the endpoint was expected to send its first and last event, measured from the choice. ok is false if
// overload control was not active.
func (a *Attempt) Expected() (e completion.Estimate, ok bool) { return a.expected, a.controlled }

// RecordFirstBytes records the first bytes of the answer, and the load that the answer reported.
func (a *Attempt) RecordFirstBytes(l Load, now time.Time) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	e := a.e
	e.lastBytesAt = now
	if e.breaker.trips > 0 {
		// The endpoint may have restarted, and the directory may not list the new process yet.
		e.cold.assume(a.d.coldFor(e), now)
	}
	e.breaker.reset()
	a.answered()
	e.pause.grow(now)
	if l.Known {
		e.recordLoad(l, now)
	}
	if l.Known && l.Slowdown > 0 {
		a.d.recordSpeedReport(a.q.Service, now)
	}
	a.recordReport(l, now)
	a.finishReading()
	took := now.Sub(a.began)
	if len(a.q.Prompt) == 0 {
		return
	}
	if a.controlled {
		took = time.Duration(float64(took) / a.slowdown)
	}
	a.d.prefill.observe(a.missingTokens, took, now)
}

// finishReading removes the prompt from the tokens that the endpoint still has to read.
func (a *Attempt) finishReading() {
	a.e.unreadTokens -= a.unreadTokens
	a.unreadTokens = 0
}

// SilentFor returns how long the endpoint has sent this router nothing on any of its requests.
func (a *Attempt) SilentFor(now time.Time) time.Duration {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	since := a.e.lastBytesAt
	if since.Before(a.began) {
		since = a.began
	}
	return now.Sub(since)
}

// UnreadPromptTokens returns how many prompt tokens the endpoint still has to read, for all requests that the routers
// know of.
func (a *Attempt) UnreadPromptTokens(now time.Time) int {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.e.backlog(now)
}

// RecordSent records that the endpoint has sent the whole answer, which the client may not have read yet.
func (a *Attempt) RecordSent(now time.Time) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.release(Served, now)
}

// release gives the endpoint's slot back.
func (a *Attempt) release(v Verdict, now time.Time) {
	if a.released {
		return
	}
	a.released = true
	a.e.running--
	if a.controlled {
		a.e.history.add(-1, now)
		if v := a.d.views[a.q.Service]; v != nil && a.e.view == v {
			v.ownChange--
		}
	}
	a.releaseTokens()
	a.d.demand(a.q.Service).ended(a.q.Rank, v, now.Sub(a.began), now)
}

// End ends the attempt and returns how long it took. Only the first call has an effect.
func (a *Attempt) End(v Verdict, now time.Time) (took time.Duration, first bool) {
	defer func() { a.reportEnd(first, v, now) }()
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.ended {
		return 0, false
	}
	took = now.Sub(a.began)
	a.ended = true
	a.answered()
	if v == Refused {
		a.e.pause.shrink()
		a.e.refusedAt = now
	}
	a.recordAnswer(v, took, now)
	a.release(v, now)
	a.finishReading()
	if v == Abandoned || v == Withdrawn {
		return took, true
	}
	if v == Silent || v == Unreachable {
		a.e.breaker.trip(now)
	}
	a.e.failures.add(failureWeights[v], max(failureWeights[v], 1), now)
	if v == Served && len(a.q.Prompt) == 0 {
		a.e.latency.add(float64(took)/float64(time.Millisecond), now)
		a.observeAnswer(took, now)
	}
	return took, true
}
