package accountshare_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/accountshare"
	"savoryfall/core/fleetstate"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

const service = 7

var (
	start = time.Unix(1000, 0)
	until = start.Add(2 * time.Second)
)

func observe(s *accountshare.Shares, account string, n int) {
	for range n {
		s.Observe(service, 1, account, start)
	}
}

// sum adds up the reports of routers, all accounts by name.
func sum(routers []*accountshare.Shares) (total []fleetstate.AccountDemand) {
	index := map[uint32]int{}
	for _, r := range routers {
		for _, a := range r.Own(start) {
			i, ok := index[a.Account]
			if !ok {
				i = len(total)
				index[a.Account] = i
				total = append(total, fleetstate.AccountDemand{Service: a.Service, Rank: a.Rank, Account: a.Account})
			}
			total[i].Arrivals += a.Arrivals
			total[i].Accounts += a.Accounts
		}
	}
	return total
}

func newFleet(n int) (routers []*accountshare.Shares) {
	for range n {
		routers = append(routers, &accountshare.Shares{})
	}
	return routers
}

func exchange(routers []*accountshare.Shares) {
	total := sum(routers)
	for _, r := range routers {
		r.SetFleet(total, r.Own(start), until)
	}
}

// An account sends 80 requests through one router, and eight others 10 each through all: the account must have the same probability as if
// it used all routers, and the others must lose nothing.
func TestShareIsTheSameThroughOneRouterAndAll(t *testing.T) {
	for name, share := range map[string]func(router int) int{
		"one": func(router int) int { return 80 * max(1-router, 0) },
		"all": func(int) int { return 8 },
	} {
		routers := newFleet(10)
		for i, r := range routers {
			observe(r, "large", share(i))
			if i < 8 {
				observe(r, fmt.Sprint("small", i), 5)
				observe(r, fmt.Sprint("small", (i+1)%8), 5)
			}
		}
		exchange(routers)
		p := routers[0].AdmitProbability(service, 1, "large", 0.75, start)
		assert.Assert(t, math.Abs(p-0.5) < 1e-6, "%s: %v", name, p)
		assert.Equal(t, routers[0].AdmitProbability(service, 1, "small0", 0.75, start), 1.0)
	}
}

// Without reports of the others, or with old ones, no account may get more than an equal part of what this router sees.
func TestWithoutFleetNobodyGetsMoreThanAnEqualPart(t *testing.T) {
	routers := newFleet(2)
	for _, r := range routers {
		observe(r, "large", 40)
		observe(r, "a", 5)
		observe(r, "b", 5)
	}
	assert.Assert(t, math.Abs(routers[0].AdmitProbability(service, 1, "large", 0.6, start)-10.0/40) < 1e-6)
	exchange(routers)
	assert.Assert(t, math.Abs(routers[0].AdmitProbability(service, 1, "large", 0.6, start)-20.0/40) < 1e-6)
	later := until.Add(time.Millisecond)
	assert.Assert(t, math.Abs(routers[0].AdmitProbability(service, 1, "large", 0.6, later)-10.0/40) < 1e-6)
}

// Old demand decays: an account that has been idle claims no part of the capacity.
func TestIdleAccountClaimsNothing(t *testing.T) {
	var s accountshare.Shares
	observe(&s, "idle", 100)
	now := start.Add(15 * time.Second)
	for range 20 {
		s.Observe(service, 1, "a", now)
	}
	assert.Equal(t, s.AdmitProbability(service, 1, "a", 0.5, now), 0.5)
	assert.Equal(t, len(s.Own(now)), 1)
}

// A router must not report more entries the more accounts there are: the largest eight and the others in one.
func TestReportIsBounded(t *testing.T) {
	var s accountshare.Shares
	for i := range 30 {
		observe(&s, fmt.Sprint(i), i+1)
	}
	list := s.Own(start)
	assert.Equal(t, len(list), 9)
	assert.Equal(t, list[0].Arrivals, float32(30))
	rest := list[8]
	assert.Equal(t, rest, fleetstate.AccountDemand{Service: service, Rank: 1, Accounts: 22, Arrivals: 22 * 23 / 2})
}

// Twenty equal accounts use all of forty routers, each of which names only eight of them. An account must not be treated better or worse
// because it is among those that are named, and the sum of what is let in must be what can be.
func TestSummedAccountsAreTreatedEvenly(t *testing.T) {
	routers := newFleet(40)
	for _, r := range routers {
		for i := range 20 {
			observe(r, fmt.Sprint(i), 5)
		}
	}
	exchange(routers)
	for i := range 20 {
		p := routers[3].AdmitProbability(service, 1, fmt.Sprint(i), 0.3, start)
		assert.Assert(t, p > 0.15 && p < 0.6, "%d: %v", i, p)
	}
}

// Every router has accounts of its own, and only the eight largest of each are named: the others must not lose to them, nor the fleet let
// in much less than it can.
func TestAccountsOfOneRouterAreStrangersToOthers(t *testing.T) {
	routers := newFleet(20)
	for j, r := range routers {
		for i := range 12 {
			observe(r, fmt.Sprint(j, "/", i), 10)
		}
	}
	exchange(routers)
	admitted := 0.0
	for j, r := range routers {
		for i := range 12 {
			admitted += 10 * r.AdmitProbability(service, 1, fmt.Sprint(j, "/", i), 0.4, start)
		}
	}
	assert.Assert(t, admitted > 0.35*2400 && admitted < 0.45*2400, "%v", admitted)
}

// Guards against a deficit that grows with an account's demand, or that shows where nothing is refused.
func TestDeficit(t *testing.T) {
	routers := newFleet(2)
	for _, r := range routers {
		observe(r, "large", 40)
		observe(r, "small", 2)
		observe(r, "medium", 8)
	}
	exchange(routers)
	s := routers[0]
	assert.Equal(t, s.Deficit(service, 1, "small", start), 0.0)
	s.AdmitProbability(service, 1, "large", 0.5, start)
	small, medium := s.Deficit(service, 1, "small", start), s.Deficit(service, 1, "medium", start)
	assert.Assert(t, small > medium && medium > 0 && small < 1, "%v and %v", small, medium)
	assert.Equal(t, s.Deficit(service, 1, "large", start), 0.0)
	assert.Equal(t, s.Deficit(service, 1, "unknown", start), 1.0)
	top := s.Top(3, start)
	assert.Equal(t, len(top), 1)
	assert.Equal(t, top[0].Name, "large")
	assert.Assert(t, math.Abs(top[0].Demand/top[0].Share-80.0/30) < 1e-6, "%+v", top)
	assert.Equal(t, len(s.Top(3, start.Add(2*time.Second))), 0)
}

// Rounding must not depend on the order of a map: a run would end differently in spite of the same input.
func TestSameRequestsGiveTheSameProbability(t *testing.T) {
	probability := func() float64 {
		routers := newFleet(5)
		for j, r := range routers {
			for i := range 60 {
				r.Observe(service, 1, fmt.Sprint(i%20), start.Add(time.Duration(7*i+j)*time.Millisecond))
			}
		}
		exchange(routers)
		return routers[2].AdmitProbability(service, 1, "7", 0.3, start.Add(time.Second))
	}
	want := probability()
	for range 20 {
		assert.Equal(t, probability(), want)
	}
}

// For any demand at any routers, no probability is above 1, an account with lower demand never has a lower one, and what is let in over
// the fleet is what can be.
func TestAdmittedFractionIsUsedAndSharedFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := newFleet(rapid.IntRange(1, 5).Draw(t, "routers"))
		accounts := rapid.IntRange(2, 8).Draw(t, "accounts")
		demand := make([]int, accounts)
		total := 0
		for _, r := range routers {
			for i := range accounts {
				n := rapid.IntRange(0, 30).Draw(t, "requests")
				observe(r, fmt.Sprint(i), n)
				demand[i] += n
				total += n
			}
		}
		exchange(routers)
		fraction := rapid.Float64Range(0.05, 0.95).Draw(t, "fraction")
		admitted := 0.0
		for i := range accounts {
			p := routers[0].AdmitProbability(service, 1, fmt.Sprint(i), fraction, start)
			assert.Assert(t, p >= 0 && p <= 1)
			admitted += p * float64(demand[i])
			for j := range accounts {
				other := routers[0].AdmitProbability(service, 1, fmt.Sprint(j), fraction, start)
				assert.Assert(t, demand[i] == 0 || demand[j] == 0 || demand[j] > demand[i] || other >= p-1e-6)
			}
		}
		assert.Assert(t, math.Abs(admitted-fraction*float64(total)) < 0.01*float64(total)+0.1, "%v of %v", admitted, fraction*float64(total))
	})
}

func BenchmarkAdmitProbability(b *testing.B) {
	for _, accounts := range []int{24, 1000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			routers := newFleet(3)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account", i)
				for _, r := range routers {
					observe(r, names[i], 1+i%7)
				}
			}
			total := sum(routers)
			s, now := routers[0], start
			own := s.Own(now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				if i%400 == 0 {
					s.SetFleet(total, own, now.Add(2*time.Second))
				}
				s.Observe(service, 1, names[i*7%accounts], now)
				s.AdmitProbability(service, 1, names[i*7%accounts], 0.4, now)
			}
		})
	}
}
