package fleetstate

import (
	"slices"
	"sync"
	"time"
)

// Limits bound what an aggregator keeps.
type Limits struct {
	// ReportTerm is how long a report counts, 2 s if it is 0.
	ReportTerm time.Duration
	// Accounts is how many accounts of each service the totals name, 32 if it is 0.
	Accounts int
}

const (
	// StateTerm is how long the state of an endpoint in an answer is kept.
	StateTerm = 30 * time.Second

	defaultReportTerm = 2 * time.Second
	defaultAccounts   = 32
	// maxReports bounds the number of routers that report.
	maxReports = 1 << 10
)

// Aggregator sums the reports of routers. The zero value is empty.
type Aggregator struct {
	mu     sync.Mutex
	limits Limits
	// startedAt is when the first report came, from which the slots of promised retries are numbered.
	startedAt time.Time
	reports   map[string]*contribution
	local     sums
	// remote are the sums of the routers that report to other hubs, as told by this hub's own hub at remoteAt.
	remote        sums
	remoteAt      time.Time
	remoteRouters int
	// accounts are the demands in the totals, computed at accountsAt.
	accounts   []AccountDemand
	accountsAt time.Time
}

// accountsMaxAge is how old the demands of accounts in the totals may be. To choose the largest accounts for each router that
// reports costs more than everything else, and the counts decay over a second.
const accountsMaxAge = 100 * time.Millisecond

// SetLimits sets how long reports count and how many accounts the totals name.
func (a *Aggregator) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limits != l {
		a.limits, a.accounts = l, nil
	}
}

// Add replaces the previous report of the router.
func (a *Aggregator) Add(router string, r Report, now time.Time) {
	a.AddTotals(router, Totals{Report: r, Routers: 1}, now)
}

// AddTotals replaces the previous report of a router that is a hub, which reports for several routers.
func (a *Aggregator) AddTotals(router string, t Totals, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begin(now)
	a.expire(now)
	old := a.reports[router]
	if old == nil && len(a.reports) >= maxReports {
		return
	}
	if old != nil {
		a.local.remove(old)
	}
	c := newContribution(&t.Report, min(max(t.Routers, 1), maxRequests), now, a.slot(now))
	a.reports[router] = c
	a.local.takeStates(t.Endpoints, now)
	a.local.add(c)
}

// SetFleet sets what this hub's own hub has sent: the totals of the fleet, which contain what this hub had reported.
func (a *Aggregator) SetFleet(t, own Totals, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begin(now)
	others := newContribution(&t.Report, t.Routers, now, a.slot(now))
	others.subtract(newContribution(&own.Report, own.Routers, now, a.slot(now)))
	a.remote = newSums()
	a.remote.takeStates(t.Endpoints, now)
	a.remote.add(others)
	a.remoteAt, a.remoteRouters, a.accounts = now, others.routers, nil
}

// ForgetFleet forgets what this hub's own hub has sent, because it has none any more.
func (a *Aggregator) ForgetFleet() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.remoteAt.IsZero() {
		a.remote, a.remoteAt, a.remoteRouters, a.accounts = newSums(), time.Time{}, 0, nil
	}
}

// Totals returns what all routers together know, as far as it is new enough.
func (a *Aggregator) Totals(now time.Time) Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begin(now)
	a.expire(now)
	parts, routers := []*sums{&a.local}, a.localRouters()
	if a.remoteKnown(now) {
		parts, routers = append(parts, &a.remote), routers+a.remoteRouters
	}
	if a.accounts == nil || now.Sub(a.accountsAt) >= accountsMaxAge {
		a.accounts, a.accountsAt = largestAccounts(a.namedAccounts(), parts...), now
	}
	return a.totals(routers, slices.Clone(a.accounts), now, parts...)
}

// LocalTotals returns what the routers that report to this hub know, this router included.
func (a *Aggregator) LocalTotals(now time.Time) Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begin(now)
	a.expire(now)
	return a.totals(a.localRouters(), largestAccounts(a.namedAccounts(), &a.local), now, &a.local)
}

// FleetKnown reports whether the totals of this hub's own hub are new enough to count.
func (a *Aggregator) FleetKnown(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remoteKnown(now)
}

// ReportTerm returns how long a report counts.
func (a *Aggregator) ReportTerm() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reportTerm()
}

func (a *Aggregator) remoteKnown(now time.Time) bool {
	return !a.remoteAt.IsZero() && now.Sub(a.remoteAt) <= a.reportTerm()
}

func (a *Aggregator) totals(routers int, accounts []AccountDemand, now time.Time, parts ...*sums) Totals {
	t := newTotal(parts...)
	r := t.report(now, a.slot(now))
	r.Accounts = accounts
	return Totals{Report: r, Routers: routers}
}

// namedAccounts returns how many accounts of each service are named.
func (a *Aggregator) namedAccounts() int {
	if a.limits.Accounts == 0 {
		return defaultAccounts
	}
	return a.limits.Accounts
}

func (a *Aggregator) begin(now time.Time) {
	if a.reports == nil {
		a.startedAt, a.reports, a.local = now, map[string]*contribution{}, newSums()
	}
}

// expire removes the reports and states that are too old.
func (a *Aggregator) expire(now time.Time) {
	for router, c := range a.reports {
		if now.Sub(c.receivedAt) > a.reportTerm() {
			a.local.remove(c)
			delete(a.reports, router)
		}
	}
	a.local.dropOld(now)
}

func (a *Aggregator) reportTerm() time.Duration {
	if a.limits.ReportTerm == 0 {
		return defaultReportTerm
	}
	return a.limits.ReportTerm
}

func (a *Aggregator) localRouters() (n int) {
	for _, c := range a.reports {
		n += c.routers
	}
	return n
}

// slot returns the number of the slot of promised retries at the time.
func (a *Aggregator) slot(now time.Time) int64 { return int64(now.Sub(a.startedAt) / RetrySlot) }
