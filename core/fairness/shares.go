package fairness

import (
	"math"
	"slices"
	"time"
)

const (
	// half is the time in which a request loses half its weight: an account that surges is known within about a second,
	// and forgiven some seconds after.
	half = time.Second
	// forgotten is the weight below which an account is dropped, so that only those that ask lately are kept.
	forgotten = 0.05
)

// Shares counts what each account asked for lately. The zero value has seen nothing; it is not safe for concurrent use.
type Shares struct {
	by map[string]float64
	at time.Time
}

// Saw counts a request of the account.
func (s *Shares) Saw(account string, now time.Time) {
	s.fade(now)
	if s.by == nil {
		s.by = map[string]float64{}
	}
	s.by[account]++
}

func (s *Shares) fade(now time.Time) {
	f := math.Exp2(-float64(now.Sub(s.at)) / float64(half))
	s.at = now
	for account, n := range s.by {
		n *= f
		if n < forgotten {
			delete(s.by, account)
			continue
		}
		s.by[account] = n
	}
}

// Chance is how likely a request of the account is to be let in, from 0 to 1, when a part of all requests can be. The
// fewest are turned away of those who ask least (max-min fairness): an account that sends many times its usual is cut
// down to what the others leave, and those who ask for less than an equal share lose nothing. With one chance for all,
// one account's surge turned away as large a part of everybody else's requests.
func (s *Shares) Chance(account string, part float64, now time.Time) float64 {
	s.fade(now)
	asked := s.by[account]
	if part >= 1 || asked <= 0 || len(s.by) < 2 {
		return min(part, 1)
	}
	return min(s.level(part)/asked, 1)
}

// level is the most that an account gets, so that all together get the part of what they asked for.
func (s *Shares) level(part float64) (level float64) {
	asked, total := make([]float64, 0, len(s.by)), 0.0
	for _, n := range s.by {
		asked = append(asked, n)
	}
	slices.Sort(asked)
	// Added up in the order of the map, the same requests would not always give the same chance.
	for _, n := range asked {
		total += n
	}
	left := part * total
	for i, n := range asked {
		level = left / float64(len(asked)-i)
		if n >= level {
			return level
		}
		left -= n
	}
	return level
}
