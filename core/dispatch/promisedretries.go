package dispatch

import (
	"time"

	"savoryfall/core/fleetstate"
	"savoryfall/core/retryschedule"
)

const (
	// maxRetryFraction bounds the delay before a retry as a part of the client's remaining time: the request must still be served
	// after it, and clients honour no longer delay.
	maxRetryFraction = 1.0 / 3
	// targetFraction is the part of the latency target that a client may spend on waiting for a retry: what is left is enough to serve
	// it on time.
	targetFraction = 0.5
	// promisedPart is the part of what becomes free that is promised. The rest makes up for errors of the estimate, and is used by new
	// requests, which can still be served within their latency target.
	promisedPart = 0.75
	// unpromisedSpread is the part of the longest delay over which retries without a promise are spread, as refusals that come together
	// would otherwise return together.
	unpromisedSpread = 0.25
)

// retries is what the dispatcher knows of clients that were told to retry.
type retries struct {
	schedule retryschedule.Schedule
	// returned counts the requests of clients that had tried before, served those of them that were sent to an endpoint.
	returned, served uint64
}

func (r *retries) recordReturn(served bool) {
	r.returned++
	if served {
		r.served++
	}
}

// RetryMetrics counts the promises to clients that were told when to retry, and what became of those that returned.
type RetryMetrics struct {
	// Promised is how many refused clients were given a time at which capacity is expected for them, Returned how many requests came
	// from clients that had tried before, and Served how many of those were sent to an endpoint.
	Promised, Returned, Served uint64
}

// RetryMetrics returns the current counts.
func (d *Dispatcher) RetryMetrics() RetryMetrics {
	d.mu.Lock()
	defer d.mu.Unlock()
	return RetryMetrics{Promised: d.retries.schedule.Promised(), Returned: d.retries.returned, Served: d.retries.served}
}

// RetryAfter returns after how long the client of a refused request should retry, by what becomes free in the whole fleet and what all
// routers have promised of that. ok is false if overload control is not active for the service.
func (d *Dispatcher) RetryAfter(q Query, now time.Time) (delay time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.overloadControl(q.Service, now) {
		return 0, false
	}
	most := time.Duration(maxRetryFraction * float64(max(q.TimeLeft, 0)))
	free := promisedPart * d.demand(q.Service).level(q.Rank).free.add(d.freeForRetries(q, now), now)
	// A retry that is not recognized has no precedence.
	least := max(time.Duration(targetFraction*float64(q.LatencyTarget)), q.RecognizedAfter)
	delay = most
	if !q.Retrying {
		d.retries.schedule.SetRouters(d.fleet.Size())
		delay = d.retries.schedule.Promise(serviceHash(q.Service), q.Rank, min(least, most), most, free, d.randomFloat(), now)
	}
	if delay >= most {
		delay = time.Duration(float64(most) * (1 - unpromisedSpread*d.randomFloat()))
	}
	return delay, true
}

// freeForRetries returns how many retries of the rank can be served in a second. New requests of accounts within their share and more urgent ones go before retries. What becomes free is the lesser of what the
// hold times let expect and of what was admitted lately: the first is too high while hold times vary.
func (d *Dispatcher) freeForRetries(q Query, now time.Time) (perSecond float64) {
	f := d.demand(q.Service).forecast(q.Rank, now)
	free := max(f.released-f.moreUrgent, 0)
	if admitted := d.demand(q.Service).level(q.Rank).fraction.or(1, now); admitted < 1 {
		free = min(free, admitted*f.sameRank)
	}
	if free >= f.sameRank {
		return free / f.horizon
	}
	_, granted := d.shares.Over(serviceHash(q.Service), q.Rank, free/f.sameRank, now)
	return granted * f.sameRank / f.horizon
}

func (d *Dispatcher) ownPromisedRetries(now time.Time) []fleetstate.PromisedRetries {
	return d.retries.schedule.Own(now)
}

func (d *Dispatcher) setPromisedRetries(total, own []fleetstate.PromisedRetries, now time.Time) {
	d.retries.schedule.SetFleet(total, own, now.Add(d.overload.reportTerm()), now)
}
