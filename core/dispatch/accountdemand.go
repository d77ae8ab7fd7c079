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

// OverShare returns the accounts furthest beyond their share of the service, at most n of each rank that has refused requests lately.
func (d *Dispatcher) OverShare(service string, n int, now time.Time) (list []accountshare.Account) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hash := serviceHash(service)
	for _, a := range d.shares.Top(n, now) {
		if a.Service == hash {
			list = append(list, a)
		}
	}
	return list
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
	returning := 0.0
	if q.Retrying {
		returning = 1
	}
	d.demand(q.Service).level(q.Rank).returning.add(returning, now)
}

// controlled reports whether overload control is active for the service.
func (c *scoring) controlled() bool { return c.d.overloadControl(c.q.Service, c.now) }

// admitsShare decides on a request when left is what requests of its rank may take.
//
// Within what an account gets, clients that return go before new ones, which get what is left. Between accounts it makes no difference:
// if returning clients went before those of all accounts, an account that is refused often would take the shares of the others by
// retrying.
func (c *scoring) admitsShare(left float64, expected forecast) bool {
	fraction := 1.0
	if left < expected.sameRank {
		fraction = max(left, 0) / expected.sameRank
	}
	l := c.d.demand(c.q.Service).level(c.q.Rank)
	steady := l.fraction.add(fraction, c.now)
	if fraction >= 1 {
		return true
	}
	if fraction <= 0 {
		return false
	}
	return c.d.randomFloat() < c.accountProbability(fraction, steady, expected)
}

// accountProbability returns the probability of admitting the request while only a fraction of the requests of its rank can be admitted.
//
// Who is beyond its share follows the steady fraction, and new requests of these accounts alone bear what the present one differs by: it
// varies much from one decision to the next, and with shares that follow it, accounts within theirs and clients that come back as they were
// told are refused at its lows.
func (c *scoring) accountProbability(fraction, steady float64, expected forecast) (probability float64) {
	service, shares := serviceHash(c.q.Service), &c.d.shares
	sent, granted := shares.Over(service, c.q.Rank, steady, c.now)
	if granted <= 0 {
		return shares.AdmitProbability(service, c.q.Rank, c.q.Account, fraction, c.now)
	}
	probability = shares.AdmitProbability(service, c.q.Rank, c.q.Account, steady, c.now)
	within := 1 - sent
	if probability >= 1 {
		return min(fraction/max(within, minDecayedWeight), 1)
	}
	returning := c.returningPart(sent, expected)
	returningProbability := 1.0
	if returning > 0 {
		returningProbability = min(probability/returning, 1)
	}
	if c.q.Retrying {
		return returningProbability
	}
	left := probability*max(fraction-within, 0)/max(steady-within, minDecayedWeight) - returning*returningProbability
	return max(left, 0) / max(1-returning, minDecayedWeight)
}

// returningPart estimates which part of the requests of accounts beyond their share are retries, from those that came lately and from
// those that were promised for now. sent is the part of all requests that these accounts send.
func (c *scoring) returningPart(sent float64, expected forecast) float64 {
	came := c.d.demand(c.q.Service).level(c.q.Rank).returning.or(0, c.now)
	promised := c.d.retries.schedule.Expected(serviceHash(c.q.Service), c.q.Rank, c.now) * expected.horizon / max(expected.sameRank, minDecayedWeight)
	return min(max(came, promised)/sent, 1)
}
