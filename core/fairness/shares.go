package fairness

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which a request loses half its weight. A surge is recognized within about a second and no
	// longer held against the account a few seconds after it ends.
	halfLife = time.Second
	// minDemand is the demand below which an account is dropped, so that only recently active accounts are kept.
	minDemand = 0.05
)

// Shares tracks the recent demand of each account. The zero value is empty; it is not safe for concurrent use.
type Shares struct {
	demandByAccount map[string]float64
	updatedAt       time.Time
}

// Observe counts a request of the account.
func (s *Shares) Observe(account string, now time.Time) {
	s.decay(now)
	if s.demandByAccount == nil {
		s.demandByAccount = map[string]float64{}
	}
	s.demandByAccount[account]++
}

func (s *Shares) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(halfLife))
	s.updatedAt = now
	for account, n := range s.demandByAccount {
		n *= factor
		if n < minDemand {
			delete(s.demandByAccount, account)
			continue
		}
		s.demandByAccount[account] = n
	}
}

// AdmitProbability returns the probability, from 0 to 1, of admitting a request of the account when only a fraction of
// all requests can be admitted. The shares are max-min fair: an account that sends many times its usual load is cut
// down to what the others leave, and accounts that demand less than an equal share lose nothing. With the same
// probability for everyone, the surge of one account turned away just as large a fraction of all other accounts'
// requests.
func (s *Shares) AdmitProbability(account string, fraction float64, now time.Time) float64 {
	s.decay(now)
	demand := s.demandByAccount[account]
	if fraction >= 1 || demand <= 0 || len(s.demandByAccount) < 2 {
		return min(fraction, 1)
	}
	return min(s.fairShare(fraction)/demand, 1)
}

// fairShare returns the most that one account gets, such that all accounts together get the given fraction of their
// demand.
func (s *Shares) fairShare(fraction float64) (fairShare float64) {
	demands, total := make([]float64, 0, len(s.demandByAccount)), 0.0
	for _, n := range s.demandByAccount {
		demands = append(demands, n)
	}
	slices.Sort(demands)
	// Summed in sorted order: in map order, rounding would give the same requests a different probability from call to
	// call.
	for _, n := range demands {
		total += n
	}
	remaining := fraction * total
	for i, n := range demands {
		fairShare = remaining / float64(len(demands)-i)
		if n >= fairShare {
			return fairShare
		}
		remaining -= n
	}
	return fairShare
}
