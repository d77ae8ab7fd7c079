package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetload"
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
	// refusedAgain counts the requests that were refused a second time, byTry the calls by try.
	refusedOnce, refusedAgain int
	served                    int
}

type accountCounts struct{ asked, served, first, firstServed int }

type pendingTotals struct {
	router  int
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
	counted  bool
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
		s.pending[i] = pendingTotals{i, sumStates(s.reports, s.now), own, s.now.Add(stateDelay)}
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
			s.accounts[c.account].first++
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
		Retrying: float64(left) < 0.8*float64(callTimeout),
	}
	if s.policy == firstCome || s.policy == fixedLimits {
		q.Account = ""
	}
	counts := &s.accounts[c.account]
	counts.asked++
	c.tries++
	ms := 15 * math.Exp(0.5*s.random.NormFloat64()-0.125)
	if s.withinLimit(i, c.account) && s.sendTo(d, q, time.Duration(ms*float64(time.Millisecond))) {
		s.served++
		counts.served++
		if c.tries == 1 {
			counts.firstServed++
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
	if s.impatient && c.tries < maxTries || c.tries < 2 {
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

// usualRates are the accounts' calls a second on a usual day, three tenths of the capacity in all. The first ones send half as much as
// the others.
func usualRates(factor, hot float64) (rates [surgeAccounts]float64) {
	unit := 0.3 * plainCapacity / (surgeAccounts - smallAccounts/2)
	for i := range rates {
		rates[i] = factor * unit
		if i < smallAccounts {
			rates[i] /= 2
		}
	}
	rates[surgeAccounts-1] *= hot
	return rates
}

func (s *accountSurge) rate(from, to int, first bool) float64 {
	asked, served := 0, 0
	for _, a := range s.accounts[from:to] {
		if first {
			asked, served = asked+a.first, served+a.firstServed
		} else {
			asked, served = asked+a.first, served+a.served
		}
	}
	return float64(served) / float64(max(asked, 1))
}

func TestTrialAccounts(t *testing.T) {
	for _, routers := range []int{6, 76} {
		for _, impatient := range []bool{false, true} {
			for p := firstCome; p <= fleetShares; p++ {
				s := newAccountSurge(t, 1, routers, p)
				s.impatient = impatient
				s.play(2*time.Second, usualRates(1, 1))
				before := s.served
				s.play(6*time.Second, usualRates(5, 10))
				thru := float64(s.served-before) / 6
				s.play(7*time.Second, usualRates(1, 1))
				t.Logf("%d routers impatient %v %-12v: small %.2f %.2f normal %.2f %.2f hot %.2f %.2f; refused %d again %d served %d (%.0f/s in surge)", routers, impatient, p,
					s.rate(0, smallAccounts, true), s.rate(0, smallAccounts, false), s.rate(smallAccounts, surgeAccounts-1, true), s.rate(smallAccounts, surgeAccounts-1, false),
					s.rate(surgeAccounts-1, surgeAccounts, true), s.rate(surgeAccounts-1, surgeAccounts, false), s.refusedOnce, s.refusedAgain, s.served, thru)
			}
		}
	}
}

var _ = fleetload.Workload{}
