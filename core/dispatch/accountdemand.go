package dispatch

import (
	"time"

	"savoryfall/core/accountshare"
	"savoryfall/core/fleetstate"
)

// defaultReportTerm is how long reports of other routers count where nothing is set.
const defaultReportTerm = 2 * time.Second

func (c OverloadControl) reportTerm() time.Duration {
	if c.ReportTerm <= 0 {
		return defaultReportTerm
	}
	return c.ReportTerm
}

// AccountDeficit returns how far the account of the request is under its fair share of the service, from 0, at its share or
// beyond, to 1.
func (d *Dispatcher) AccountDeficit(q Query, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares.Deficit(serviceHash(q.Service), q.Rank, q.Account, now)
}

// AccountRates returns the demand of the request's account at all routers, and its share of the service while that refuses requests and
// overload control is active, both in requests a second.
func (d *Dispatcher) AccountRates(q Query, now time.Time) (demand, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares.Rates(serviceHash(q.Service), q.Rank, q.Account, now)
}

// OverShare returns the accounts furthest beyond their share, at most n of each service and rank that has refused requests lately.
func (d *Dispatcher) OverShare(n int, now time.Time) []accountshare.Account {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares.Top(n, now)
}

func (d *Dispatcher) ownAccountDemands(now time.Time) []fleetstate.AccountDemand {
	return d.shares.Own(now)
}

func (d *Dispatcher) setAccountDemands(total, own []fleetstate.AccountDemand, now time.Time) {
	d.shares.SetFleet(total, own, now.Add(d.overload.reportTerm()))
}

// recordDemand records a request. controlled is set if overload control is active for its service.
func (d *Dispatcher) recordDemand(q Query, controlled bool, now time.Time) {
	if !controlled {
		d.demand(q.Service).level(q.Rank).shares.Observe(q.Account, now)
		return
	}
	d.shares.Observe(serviceHash(q.Service), q.Rank, q.Account, now)
	if q.Retrying {
		d.demand(q.Service).level(q.Rank).retrying++
	}
}

// admitProbability returns the probability of admitting the request when only a fraction of those of its rank can be admitted.
//
// Within what an account gets, clients that return go before new ones, which get what is left. Between accounts it makes no difference:
// if returning clients went before those of all accounts, an account that is refused often would take the shares of the others by
// retrying.
func (c *scoring) admitProbability(fraction float64, expected forecast) float64 {
	d, q, service := c.d, c.q, serviceHash(c.q.Service)
	if !d.overloadControl(q.Service, c.now) {
		return d.demand(q.Service).level(q.Rank).shares.AdmitProbability(q.Account, fraction, c.now)
	}
	share := d.shares.AdmitProbability(service, q.Rank, q.Account, fraction, c.now)
	returning := c.returningPart(fraction, expected)
	switch {
	case share >= 1 || returning <= 0:
		return share
	case q.Retrying:
		return min(share/returning, 1)
	}
	return max(share-returning, 0) / max(1-returning, minDecayedWeight)
}

// returningPart estimates which part of the requests of accounts beyond their share are retries, from those that came lately and from
// those that were promised for now.
func (c *scoring) returningPart(fraction float64, expected forecast) float64 {
	service := serviceHash(c.q.Service)
	sent, _ := c.d.shares.Over(service, c.q.Rank, fraction, c.now)
	if sent <= 0 || expected.sameRank <= 0 {
		return 0
	}
	l := c.d.demand(c.q.Service).level(c.q.Rank)
	came := l.retrying / max(l.arrivals, 1)
	promised := c.d.retries.schedule.Expected(service, c.q.Rank, c.now) * expected.horizon / expected.sameRank
	return min(max(came, promised)/sent, 1)
}
