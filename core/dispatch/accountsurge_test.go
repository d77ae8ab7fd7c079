package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
)

func eachFleet(t *testing.T, test func(t *testing.T, routers int)) {
	t.Parallel()
	for _, routers := range []int{6, 76} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			test(t, routers)
		})
	}
}

// All accounts send five times their usual, one of them fifty times, nearly twice what the service can do. With shares of each router
// alone, one of many sees too few requests of an account to know it, and accounts that ask for less than their share were refused.
func TestAccountsKeepTheirShareOfTheFleet(t *testing.T) {
	eachFleet(t, func(t *testing.T, routers int) {
		for _, impatient := range []bool{false, true} {
			var first [len(policies)]float64
			var served [len(policies)]int
			for p := range policy(len(policies)) {
				s := newAccountSurge(t, 1, routers, p)
				s.impatient = impatient
				s.runSurge(ratesOf(5*usualPart, 10))
				s.log(fmt.Sprintf("surge, impatient %v", impatient))
				_, first[p] = s.counts(0, smallAccounts).rates()
				served[p] = s.served
				if p == fleetShares {
					s.assertNoneStarves(t)
					small, _ := s.counts(0, smallAccounts).rates()
					assert.Assert(t, small > 0.95, "%.3f", small)
				}
			}
			assert.Assert(t, first[fleetShares] > first[firstCome]+0.1, "%.3f", first)
			assert.Assert(t, impatient || first[fleetShares] > first[ownShares], "%.3f", first)
			assert.Assert(t, served[fleetShares] > served[fixedLimits] && served[fleetShares] > served[ownShares]*98/100, "%v", served)
		}
	})
}

// One account sends ten times its usual, and the service is nearly full without it. It must lose its own surplus only, whichever routers
// it uses.
func TestSurplusOfOneAccountIsItsOwn(t *testing.T) {
	eachFleet(t, func(t *testing.T, routers int) {
		for name, routerOf := range map[string]func(s *accountSurge) int{
			"all routers": func(s *accountSurge) int { return s.random.IntN(routers) },
			"one router":  func(*accountSurge) int { return 1 },
			"changing":    func(s *accountSurge) int { return int(s.now.Sub(start)/time.Second) % routers },
		} {
			t.Run(name, func(t *testing.T) {
				s := newAccountSurge(t, 2, routers, fleetShares)
				s.routerOf = func(account int) int {
					if account == hotAccount {
						return routerOf(s)
					}
					return s.random.IntN(routers)
				}
				s.play(2*time.Second, ratesOf(0.8, 1))
				s.accounts = [surgeAccounts]accountCounts{}
				s.play(6*time.Second, ratesOf(0.8, 10))
				s.log("ten times its usual, " + name)
				others, first := s.counts(0, hotAccount).rates()
				hot := s.counts(hotAccount, surgeAccounts)
				assert.Assert(t, others > 0.97 && first > 0.9, "%.3f and %.3f", others, first)
				// What the others leave is a quarter of the capacity and more.
				assert.Assert(t, float64(hot.served) < 0.35*6*plainCapacity, "%v", hot)
				assert.Assert(t, hot.served > hot.asked/10, "%v", hot)
			})
		}
	})
}

// All send five times their usual, a quarter more than the service can do. Clients were told to return when the overload may have ended,
// all at about the same time, and met those that were new: every fourth was refused again.
func TestPromisedRetriesAreKept(t *testing.T) {
	eachFleet(t, func(t *testing.T, routers int) {
		var again, served [len(policies)]int
		for _, p := range []policy{ownShares, fleetShares} {
			for seed := range uint64(2) {
				s := newAccountSurge(t, seed, routers, p)
				s.runSurge(ratesOf(5*usualPart, 1))
				s.log("five times the load")
				again[p] += s.refusedAgain
				served[p] += s.served
			}
		}
		assert.Assert(t, 5*again[fleetShares] < again[ownShares], "%v", again)
		assert.Assert(t, served[fleetShares] > served[ownShares], "%v", served)
	})
}

// Guards against routers that are greedy when they know little: one that starts in the surge, one that is cut off from the hub and one
// after the other that leaves.
func TestSharesSurviveFailures(t *testing.T) {
	eachFleet(t, func(t *testing.T, routers int) {
		surge := ratesOf(5*usualPart, 10)
		for name, fail := range map[string]func(s *accountSurge){
			"starts": func(s *accountSurge) {
				fresh := newAccountSurge(t, 9, routers, fleetShares).routers[0]
				s.routers[0], s.reports[0], s.pending[0] = fresh, stateReport{}, pendingTotals{}
			},
			"cut off": func(s *accountSurge) { s.cutOff[0] = true },
			"all cut off": func(s *accountSurge) {
				for i := range s.cutOff {
					s.cutOff[i] = true
				}
			},
			"half leave": func(s *accountSurge) {
				for i := range routers / 2 {
					s.gone[i] = true
				}
			},
			"ends and comes again": func(s *accountSurge) {
				s.play(3*time.Second, ratesOf(usualPart, 1))
			},
		} {
			t.Run(name, func(t *testing.T) {
				s := newAccountSurge(t, 3, routers, fleetShares)
				s.play(2*time.Second, ratesOf(usualPart, 1))
				s.accounts = [surgeAccounts]accountCounts{}
				s.play(3*time.Second, surge)
				fail(s)
				before := s.served
				s.play(4*time.Second, surge)
				s.log(name)
				s.assertNoneStarves(t)
				small, first := s.counts(0, smallAccounts).rates()
				served := float64(s.served-before) / 4
				t.Logf("%.0f a second, small %.2f %.2f", served, small, first)
				if name == "all cut off" {
					// Each router sees a part of the demand only, and nobody knows the load.
					assert.Assert(t, small > 0.5 && served > 0.6*plainCapacity, "%.3f, %.0f a second", small, served)
					return
				}
				assert.Assert(t, small > 0.9 && first > 0.7, "%.3f and %.3f", small, first)
				assert.Assert(t, served > 0.85*plainCapacity && served < 1.1*plainCapacity, "%.0f a second", served)
			})
		}
	})
}

// A router that is cut off from its hub must not let in more of an account than an equal part, though its own view says that the others
// ask for less.
func TestCutOffRouterKeepsToEqualParts(t *testing.T) {
	s := newAccountSurge(t, 1, 6, fleetShares)
	s.runSurge(ratesOf(5*usualPart, 10))
	d, q := s.routers[0], dispatch.Query{Service: plain, Account: fmt.Sprint(hotAccount)}
	s.play(time.Second, ratesOf(5*usualPart, 10))
	_, fleet := d.AccountRates(q, s.now)
	s.cutOff[0] = true
	s.play(3*time.Second, ratesOf(5*usualPart, 10))
	_, alone := d.AccountRates(q, s.now)
	t.Logf("share of an account %.1f a second, cut off %.1f at one of 6 routers", fleet, alone)
	assert.Assert(t, fleet > 0 && alone > 0 && alone < fleet/3, "%.1f and %.1f", fleet, alone)
}

// All accounts send five times their usual, and then half of them nothing. What these leave must be used at once by the others, who send a
// little less than the service can do. Clients do not return as they were told to, which must hold back others no longer than promised.
func TestIdleAccountsClaimNothing(t *testing.T) {
	s := newAccountSurge(t, 1, 6, fleetShares)
	s.noRetries = true
	rates := ratesOf(5*usualPart, 1)
	idle := rates
	for i := 1; i < surgeAccounts/2; i++ {
		idle[i] = 0
	}
	s.play(4*time.Second, rates)
	s.play(4*time.Second, idle)
	s.accounts = [surgeAccounts]accountCounts{}
	s.play(2*time.Second, idle)
	_, first := s.counts(0, surgeAccounts).rates()
	assert.Assert(t, first > 0.97, "%.3f", first)
}

// Without overload control, requests of clients that retry are decided as any other, and no delay is promised.
func TestNothingIsPromisedWithoutOverloadControl(t *testing.T) {
	d, _ := newDispatcher(1)
	q := dispatch.Query{Service: plain, Account: "a", TimeLeft: time.Second, Retrying: true}
	for range 40 {
		d.Choose(q, start)
	}
	_, ok := d.RetryAfter(q, start)
	assert.Assert(t, !ok)
	assert.Equal(t, len(d.OwnState(start).Accounts), 0)
	assert.Equal(t, d.RetryMetrics(), dispatch.RetryMetrics{})
}

// BenchmarkDecisionByShares measures a decision at an overloaded service.
func BenchmarkDecisionByShares(b *testing.B) {
	for _, accounts := range []int{24, 1000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d, _ := newDispatcher(3)
			d.SetOverloadControl(dispatch.OverloadControl{Always: true})
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				_, _ = d.Choose(dispatch.Query{Service: plain, Account: names[i*7%accounts]}, now)
				if i%400 == 0 {
					own := d.OwnState(now)
					d.SetFleetState(sumStates([]stateReport{{own, now}, {own, now}}, now), own, now)
				}
			}
		})
	}
}
