package dispatch

import (
	"slices"
	"time"
)

const (
	// viewTerm is for how long means over a pool are kept, and largePool up to how many endpoints it holds. Beyond that it grows in
	// proportion, so that renewing takes no larger part of the time. Reports of other routers are older.
	viewTerm  = 10 * time.Millisecond
	largePool = 500
	// smallPool is up to how many endpoints all are compared for each request.
	smallPool = 16
	// leastSample is of how many endpoints the expected times are sorted, and leastRank which of them is the highest that counts as
	// one of the least. All routers see about the same ones, and send them no more than maxConcentration times their share if these
	// are half of the pool.
	leastSample = 64
	leastRank   = 31
)

// poolView is the endpoints of a service that may be chosen and what is known of them together. It is kept from one decision to the
// next.
type poolView struct {
	// scoring is the state that the decisions begin with.
	scoring     scoring
	pool        []*endpoint
	hashes      []uint64
	at          time.Time
	withdrawals uint64
	// least are the endpoints that were expected to begin with a request first.
	least []*endpoint
	// taken is the number of requests, slots the number of slots of all endpoints.
	taken, slots float64
	// freeShare is the share of the endpoints that have a free slot.
	freeShare float64
	// own is the number of this router's requests, and ownChange how many more it has since.
	own, ownChange int
	// exhausted has the ranks for which no endpoint of the pool was feasible.
	exhausted [maxRanks]bool
}

// expectedScoring returns the scoring of a request while overload control is active. It has all endpoints as its pool and compares
// none of them yet.
func (d *Dispatcher) expectedScoring(q Query, listed []*endpoint, now time.Time) *scoring {
	v := d.view(q.Service, listed, now)
	c := v.scoring
	c.view, c.q, c.now, c.pool = v, q, now, v.pool
	c.meanLoad += float64(v.ownChange) / float64(max(len(v.pool), 1))
	c.meanWithDraining += float64(v.ownChange) / float64(max(len(v.pool)+len(c.draining), 1))
	if q.Origin != nil {
		accepting, _ := d.split(listed, now)
		c.pool = q.withContinuing(v.pool, accepting)
	}
	return &c
}

// view returns the view of a service, which is renewed if it is old or an endpoint may have been withdrawn.
func (d *Dispatcher) view(service string, listed []*endpoint, now time.Time) *poolView {
	v := d.views[service]
	if v != nil && (v.scoring.engine || len(v.pool) > smallPool) && now.Sub(v.at) < v.term() && v.withdrawals == d.withdrawals.Load() {
		return v
	}
	v = d.newView(service, listed, now)
	if d.views == nil {
		d.views = map[string]*poolView{}
	}
	d.views[service] = v
	return v
}

// term returns for how long the view is kept.
func (v *poolView) term() time.Duration {
	return viewTerm * time.Duration(max(len(v.pool), largePool)) / largePool
}

func (d *Dispatcher) newView(service string, listed []*endpoint, now time.Time) *poolView {
	accepting, withdrawn := d.split(listed, now)
	v := &poolView{at: now, withdrawals: d.withdrawals.Load(), pool: withoutSilent(accepting, now)}
	c := &v.scoring
	*c = scoring{d: d, q: Query{Service: service}, pool: v.pool, now: now, view: v}
	c.draining = append(slices.Clip(withdrawn), d.departing(service, now)...)
	c.setService()
	c.computeMeans()
	c.estimateUnreported()
	slowdowns := c.reportedMeans()
	if c.brittle {
		c.projectLoad()
	}
	c.computeFailureRates()
	v.hashes = make([]uint64, len(v.pool))
	for i, e := range v.pool {
		v.hashes[i], e.view = e.hash, v
	}
	if len(v.pool) > smallPool {
		v.findLeast(slowdowns)
	}
	return v
}

// findLeast finds the endpoints that are expected to begin with a request first: those no worse than the better half of a sample.
// The time of a step is counted once more in proportion to the slots taken, so that of idle endpoints the one with most free slots is
// among the least.
func (v *poolView) findLeast(slowdowns []float64) {
	c := &v.scoring
	holdMs, perMs := inMs(c.expectation.holdTime), c.d.prefill.perMs()
	times := make([]float64, len(v.pool))
	for i, e := range v.pool {
		taken := c.loads[i] / float64(max(c.slotsOf(e), 1))
		times[i] = slowdowns[i] * (holdMs*max(taken-1, 0) + float64(e.backlog(c.now))/perMs + firstStepMs*(1+taken))
	}
	sample := make([]float64, 0, leastSample)
	for range leastSample {
		sample = append(sample, times[c.d.randomIndex(len(times))])
	}
	slices.Sort(sample)
	for i, e := range v.pool {
		if times[i] <= sample[leastRank] {
			v.least = append(v.least, e)
		}
	}
}

// home returns the endpoint that ranks first for the routing key, nil if there is none.
func (v *poolView) home(key uint64) (home *endpoint) {
	lowest := 1.0
	for i, h := range v.hashes {
		if r := unitFraction(key ^ h); r < lowest && !v.pool[i].replaced {
			home, lowest = v.pool[i], r
		}
	}
	return home
}

// randomIndex returns a random number from 0 to n-1.
func (d *Dispatcher) randomIndex(n int) int { return min(int(d.randomFloat()*float64(n)), n-1) }
