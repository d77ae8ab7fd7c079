package dispatch

import (
	"time"

	"savoryfall/core/directory"
)

// Attempt is one request at one endpoint, from the choice to its end.
type Attempt struct {
	d       *Dispatcher
	e       *endpoint
	entry   directory.Entry
	q       Query
	began   time.Time
	missing int
	unread  int
	donor   string
	ended   bool
}

// Load is what an endpoint says of its load in an answer.
type Load struct {
	Running, Waiting int
	Known            bool
}

// Verdict is how an attempt ended.
type Verdict int

// The verdicts. Abandoned says nothing of the endpoint: the client left, or the router stopped.
const (
	Served Verdict = iota
	Refused
	Failed
	Broken
	Silent
	Unreachable
	Abandoned
)

var verdicts = [...]string{
	Served: "served", Refused: "refused", Failed: "failed", Broken: "broken", Silent: "silent", Unreachable: "unreachable",
	Abandoned: "abandoned",
}

func (v Verdict) String() string { return verdicts[v] }

// weights are how much a verdict counts as a failure. A refused connection or silence is sure to be met again by the
// next request; a refusal or a single broken answer may be chance.
var weights = map[Verdict]float64{Refused: 0.7, Failed: 1, Broken: 1, Silent: 2, Unreachable: 3}

func (d *Dispatcher) begin(c *contest, e *endpoint) *Attempt {
	q, now := c.q, c.now
	i := c.index(e)
	missing, donor := c.missing(i), c.donor(i)
	e.running++
	e.sent, e.sentAt = e.sentLately(now)+1, now
	e.breaker.try(now)
	if c.coldPerSecond > 0 {
		e.cold.note(now)
	}
	d.demand(q.Service).began(q.Rank)
	a := &Attempt{d: d, e: e, entry: e.entry, q: q, began: now, missing: missing, unread: missing, donor: donor}
	e.unread += missing
	if c.engine && len(q.Prompt) > 0 {
		d.promptTokens += uint64(c.total)
		d.warmTokens += uint64(c.total - missing)
		d.place(q, e)
	}
	return a
}

// Endpoint is where the attempt goes, as it was listed when the attempt began.
func (a *Attempt) Endpoint() directory.Entry { return a.entry }

// Donor is the address of an endpoint that holds parts of the prompt which this one lacks, empty for none.
func (a *Attempt) Donor() string { return a.donor }

// Missing is how many tokens of the prompt the endpoint is believed to have to read.
func (a *Attempt) Missing() int { return a.missing }

// Answered notes the first bytes of the answer, and the load that they told of.
func (a *Attempt) Answered(l Load, now time.Time) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	e := a.e
	e.heardAt = now
	if e.breaker.strikes > 0 {
		// Its process may be another one, which the list does not name yet.
		e.cold.assume(a.d.coldFor(e), now)
	}
	e.breaker.reset()
	if l.Known {
		e.told(l, now)
	}
	a.read()
	took := now.Sub(a.began)
	if len(a.q.Prompt) == 0 {
		return
	}
	a.d.prefill.saw(a.missing, took, now)
}

// read takes the prompt off the tokens that the endpoint has still to read.
func (a *Attempt) read() {
	a.e.unread -= a.unread
	a.unread = 0
}

// Progress notes further bytes of a stream.
func (a *Attempt) Progress(now time.Time) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.e.heardAt = now
}

// SilentFor is how long the endpoint has sent this router nothing on any of its requests.
func (a *Attempt) SilentFor(now time.Time) time.Duration {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	since := a.e.heardAt
	if since.Before(a.began) {
		since = a.began
	}
	return now.Sub(since)
}

// ToRead is how many prompt tokens the endpoint has still to read, of all requests that routers know of.
func (a *Attempt) ToRead(now time.Time) int {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return a.e.toRead(now)
}

// End ends the attempt, and tells how long it took; only the first call counts.
func (a *Attempt) End(v Verdict, now time.Time) (took time.Duration, first bool) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.ended {
		return 0, false
	}
	took = now.Sub(a.began)
	a.ended = true
	a.e.running--
	a.d.demand(a.q.Service).ended(a.q.Rank, v, took, now)
	a.read()
	if v == Abandoned {
		return took, true
	}
	if v == Silent || v == Unreachable {
		a.e.breaker.trip(now)
	}
	a.e.failures.add(weights[v], max(weights[v], 1), now)
	if v == Served && len(a.q.Prompt) == 0 {
		a.e.latency.add(float64(took)/float64(time.Millisecond), now)
	}
	return took, true
}
