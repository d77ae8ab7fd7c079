package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetstate"
	"savoryfall/core/retryafter"
)

const (
	// hubNamed is how many accounts of a service and rank the hub names, and hubTerm how long a report counts there.
	hubNamed = 32
	hubTerm  = 2 * time.Second
	// stateInterval is how often a router reports, and stateDelay how late it gets the sums.
	stateInterval = 400 * time.Millisecond
	stateDelay    = 100 * time.Millisecond
)

// stateReport is what a router has reported to the hub.
type stateReport struct {
	own fleetstate.Report
	at  time.Time
}

// sumStates returns the account demands and promised retries of all reports.
func sumStates(reports []stateReport, now time.Time) (t fleetstate.Totals) {
	type account struct {
		service uint32
		rank    int
		account uint32
	}
	accounts, retries := map[account]fleetstate.AccountDemand{}, map[account]fleetstate.PromisedRetries{}
	for _, r := range reports {
		age := now.Sub(r.at)
		if r.at.IsZero() || age > hubTerm {
			continue
		}
		t.Routers++
		for _, a := range r.own.Accounts {
			k := account{a.Service, a.Rank, a.Account}
			a.Arrivals += accounts[k].Arrivals
			a.Accounts += accounts[k].Accounts
			if a.Account != 0 {
				a.Accounts = 1
			}
			accounts[k] = a
		}
		for _, p := range r.own.Retries {
			p.Ahead -= int(age / fleetstate.RetrySlot)
			if p.Ahead < 0 {
				continue
			}
			k := account{p.Service, p.Rank, uint32(p.Ahead)}
			p.Count += retries[k].Count
			retries[k] = p
		}
	}
	named := map[account]int{}
	var list []fleetstate.AccountDemand
	for _, a := range accounts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b fleetstate.AccountDemand) int {
		return cmp.Or(-cmp.Compare(a.Arrivals, b.Arrivals), cmp.Compare(a.Account, b.Account))
	})
	rest := map[account]fleetstate.AccountDemand{}
	for _, a := range list {
		k := account{a.Service, a.Rank, 0}
		if a.Account != 0 && named[k] < hubNamed {
			named[k]++
			t.Accounts = append(t.Accounts, a)
			continue
		}
		rest[k] = fleetstate.AccountDemand{
			Service: a.Service, Rank: a.Rank, Accounts: rest[k].Accounts + a.Accounts, Arrivals: rest[k].Arrivals + a.Arrivals,
		}
	}
	for _, a := range rest {
		t.Accounts = append(t.Accounts, a)
	}
	for _, p := range retries {
		t.Retries = append(t.Retries, p)
	}
	return t
}

// policy is how requests are shared between accounts.
type policy int

const (
	firstCome policy = iota
	ownShares
	fixedLimits
	fleetShares
)

var policies = [...]string{firstCome: "first come", ownShares: "own shares", fixedLimits: "fixed limits", fleetShares: "fleet shares"}

func (p policy) String() string { return policies[p] }

const (
	surgeAccounts, smallAccounts = 24, 6
	// plainCapacity is how many calls a second three endpoints of six slots can do.
	plainCapacity = 18 / 0.015
	// callTarget is the latency target of a call, and callTimeout the most that its client waits.
	callTarget  = 150 * time.Millisecond
	callTimeout = 10 * time.Second
	maxTries    = 8
)

// accountSurge is a surge of calls by several accounts, whose clients retry.
type accountSurge struct {
	*surge
	policy policy
	// impatient clients retry at once and often, others honour Retry-After and retry once.
	impatient bool
	// noRetries makes no client retry.
	noRetries bool
	// routerOf returns the router to which a request goes.
	routerOf func(account int) int
	reports  []stateReport
	pending  []pendingTotals
	lastDue  []int
	// cutOff are the routers that neither report nor get sums, gone those that get no requests either.
	cutOff, gone []bool
	retries      []call
	// limits holds, for each router and account, the calls that a fixed limit still allows.
	limits   [][]bucket
	accounts [surgeAccounts]accountCounts
	// refusedOnce counts the requests that were refused, refusedAgain those of them that were refused a second time.
	refusedOnce, refusedAgain int
	served                    int
}

// accountCounts are the requests of an account, those of them that were served, and those that were served at their first try.
type accountCounts struct{ asked, served, servedFirst int }

type pendingTotals struct {
	totals  fleetstate.Totals
	own     fleetstate.Report
	arrives time.Time
}

type bucket struct {
	left float64
	at   time.Time
}

// call is one request of a client, over all its tries.
type call struct {
	account  int
	deadline time.Time
	timeout  time.Duration
	tries    int
	at       time.Time
}

func newAccountSurge(t *testing.T, seed uint64, routers int, p policy) *accountSurge {
	s := &accountSurge{
		surge: newSurge(t, seed, routers, plain, 3, 6), policy: p, reports: make([]stateReport, routers), pending: make([]pendingTotals, routers),
		lastDue: make([]int, routers), cutOff: make([]bool, routers), gone: make([]bool, routers), limits: make([][]bucket, routers),
	}
	s.routerOf = func(int) int { return s.random.IntN(routers) }
	for i, d := range s.routers {
		d.SetOverloadControl(dispatch.OverloadControl{Always: p == fleetShares, Never: p != fleetShares})
		s.limits[i] = make([]bucket, surgeAccounts)
	}
	return s
}

// exchangeStates lets the routers report and receive the sums of all in turn.
func (s *accountSurge) exchangeStates() {
	for i, d := range s.routers {
		if s.cutOff[i] || s.gone[i] {
			continue
		}
		if p := &s.pending[i]; !p.arrives.IsZero() && !p.arrives.After(s.now) {
			d.SetFleetState(p.totals, p.own, s.now)
			p.arrives = time.Time{}
		}
		due := int((s.now.Sub(start) + stateInterval*time.Duration(i)/time.Duration(len(s.routers))) / stateInterval)
		if due == s.lastDue[i] {
			continue
		}
		s.lastDue[i] = due
		own := d.OwnState(s.now)
		s.reports[i] = stateReport{own, s.now}
		s.pending[i] = pendingTotals{sumStates(s.reports, s.now), own, s.now.Add(stateDelay)}
		load := d.OwnWorkload(s.now)
		s.aggregator.AddReport(fmt.Sprint(i), load, d.TakeReads(), s.now)
		total, _ := s.aggregator.Totals(s.now)
		d.SetFleetWorkload(total, load, s.now)
	}
}

// play sends calls at the accounts' rates for some time.
func (s *accountSurge) play(d time.Duration, rates [surgeAccounts]float64) {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	next := func() time.Time {
		return s.now.Add(time.Duration(s.random.ExpFloat64() / total * float64(time.Second)))
	}
	arrival := next()
	for end := s.now.Add(d); s.now.Before(end); {
		c := call{at: arrival}
		if len(s.retries) > 0 && s.retries[0].at.Before(arrival) {
			c, s.retries = s.retries[0], s.retries[1:]
		}
		s.now = c.at
		for _, v := range s.servers {
			v.advance(s.now)
		}
		s.exchangeStates()
		if c.tries == 0 {
			arrival = next()
			u := s.random.Float64() * total
			for c.account = 0; c.account < surgeAccounts-1 && u >= rates[c.account]; c.account++ {
				u -= rates[c.account]
			}
			c.timeout = time.Duration((0.85 + 0.15*s.random.Float64()) * float64(callTimeout))
			c.deadline = s.now.Add(c.timeout)
			s.accounts[c.account].asked++
		}
		s.try(c)
	}
}

func (s *accountSurge) try(c call) {
	i := s.routerOf(c.account)
	for s.gone[i] {
		i = (i + 1) % len(s.routers)
	}
	d := s.routers[i]
	left := c.deadline.Sub(s.now)
	q := dispatch.Query{
		Service: plain, Account: fmt.Sprint(c.account), LatencyTarget: callTarget, TimeLeft: left,
		Retrying: float64(left) < 0.8*float64(callTimeout), RecognizedAfter: left - 8*callTimeout/10,
	}
	if s.policy == firstCome || s.policy == fixedLimits {
		q.Account = ""
	}
	counts := &s.accounts[c.account]
	c.tries++
	ms := 15 * math.Exp(0.5*s.random.NormFloat64()-0.125)
	if s.withinLimit(i, c.account) && s.sendTo(d, q, time.Duration(ms*float64(time.Millisecond))) {
		s.served++
		counts.served++
		if c.tries == 1 {
			counts.servedFirst++
		}
		return
	}
	switch c.tries {
	case 1:
		s.refusedOnce++
	case 2:
		s.refusedAgain++
	}
	c.at = s.now.Add(time.Duration((0.02 + 0.06*s.random.Float64()) * float64(time.Second)))
	if !s.impatient {
		delay, ok := d.RetryAfter(q, s.now)
		if !ok {
			delay = retryafter.Delay(d.FullFor(plain, 0, s.now), callTarget, left, s.random.Float64())
		}
		c.at = s.now.Add(delay)
	}
	if !s.noRetries && (s.impatient && c.tries < maxTries || c.tries < 2) {
		at, _ := slices.BinarySearchFunc(s.retries, c.at, func(o call, t time.Time) int { return o.at.Compare(t) })
		s.retries = slices.Insert(s.retries, at, c)
	}
}

func (s *accountSurge) sendTo(d *dispatch.Dispatcher, q dispatch.Query, work time.Duration) bool {
	for range 2 {
		a, _ := d.Choose(q, s.now)
		if a == nil {
			return false
		}
		v := s.byID[a.Endpoint().ID]
		if v.accept(job{attempt: a, q: q, work: work}, s.now) {
			return true
		}
		a.End(dispatch.Refused, s.now)
		q.Tried = append(q.Tried, v.id)
	}
	return false
}

// withinLimit reports whether a fixed limit for each account, its part of the capacity at each router, allows a call.
func (s *accountSurge) withinLimit(router, account int) bool {
	if s.policy != fixedLimits {
		return true
	}
	perSecond := plainCapacity / surgeAccounts / float64(len(s.routers))
	b := &s.limits[router][account]
	b.left = min(b.left+perSecond*s.now.Sub(b.at).Seconds(), max(perSecond, 1))
	b.at = s.now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// ratesOf returns the accounts' calls a second. In all they are a part of the capacity, but that the last account sends hot times its usual.
// The first ones send half as much as the others.
func ratesOf(part, hot float64) (rates [surgeAccounts]float64) {
	unit := part * plainCapacity / (surgeAccounts - smallAccounts/2)
	for i := range rates {
		rates[i] = unit
		if i < smallAccounts {
			rates[i] /= 2
		}
	}
	rates[surgeAccounts-1] *= hot
	return rates
}

// counts sums the counts of some accounts.
func (s *accountSurge) counts(from, to int) (n accountCounts) {
	for _, a := range s.accounts[from:to] {
		n.asked, n.served, n.servedFirst = n.asked+a.asked, n.served+a.served, n.servedFirst+a.servedFirst
	}
	return n
}

// rates returns the share of requests served, in the end and at the first try.
func (n accountCounts) rates() (served, first float64) {
	return float64(n.served) / float64(max(n.asked, 1)), float64(n.servedFirst) / float64(max(n.asked, 1))
}

const hotAccount = surgeAccounts - 1

func (s *accountSurge) log(name string) {
	small, smallFirst := s.counts(0, smallAccounts).rates()
	others, othersFirst := s.counts(smallAccounts, hotAccount).rates()
	hot, hotFirst := s.counts(hotAccount, surgeAccounts).rates()
	s.t.Logf("%s, %d routers, %v: served %.2f (at once %.2f) of small accounts, %.2f (%.2f) of others, %.2f (%.2f) of the last; %d served, %d refused, %d again",
		name, len(s.routers), s.policy, small, smallFirst, others, othersFirst, hot, hotFirst, s.served, s.refusedOnce, s.refusedAgain)
}

const usualPart = 0.25

// runSurge plays a usual load, a surge of six seconds and a usual load again.
func (s *accountSurge) runSurge(surge [surgeAccounts]float64) {
	s.play(2*time.Second, ratesOf(usualPart, 1))
	s.accounts = [surgeAccounts]accountCounts{}
	s.play(6*time.Second, surge)
	s.play(6*time.Second, ratesOf(usualPart, 1))
}

// assertNoneStarves fails if an account that asks for less than its share is served less than half as often as the mean of these.
func (s *accountSurge) assertNoneStarves(t *testing.T) {
	mean, meanFirst := s.counts(0, smallAccounts).rates()
	for i := range smallAccounts {
		served, first := s.counts(i, i+1).rates()
		assert.Assert(t, served >= mean/2 && first >= meanFirst/2, "%v", s.accounts[:smallAccounts])
	}
}
