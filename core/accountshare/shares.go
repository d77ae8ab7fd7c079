package accountshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/fleetstate"
)

// maxRanks bounds the ranks that are distinguished; the less urgent ones share one.
const maxRanks = 32

// Shares computes the max-min fair shares of accounts from their demand at all routers. The zero value is empty; it is not safe for
// concurrent use.
type Shares struct {
	classes map[class]*demands
	// fleetUntil is until when the demand of the other routers counts.
	fleetUntil time.Time
}

// class is the requests that compete for the same capacity.
type class struct {
	service uint32
	rank    int
}

func newClass(service uint32, rank int) class { return class{service, min(max(rank, 0), maxRanks-1)} }

// hash identifies an account between routers. It is never 0, which stands for all accounts that are not listed.
func hash(account string) uint32 { return max(uint32(xxhash.Sum64String(account)), 1) }

func (s *Shares) demands(c class) *demands {
	d := s.classes[c]
	if d == nil {
		if s.classes == nil {
			s.classes = map[class]*demands{}
		}
		d = &demands{}
		s.classes[c] = d
	}
	return d
}

// Observe counts a request of the account.
func (s *Shares) Observe(service uint32, rank int, account string, now time.Time) {
	s.demands(newClass(service, rank)).observe(account, now)
}

// Own returns this router's demand by service and rank: the largest accounts by name, and the others in one entry.
func (s *Shares) Own(now time.Time) (list []fleetstate.AccountDemand) {
	for _, c := range s.sortedClasses() {
		list = append(list, s.classes[c].report(c, now)...)
	}
	return list
}

// SetFleet sets the demand of all routers, of which own is what this router had reported. It counts until the given time.
func (s *Shares) SetFleet(total, own []fleetstate.AccountDemand, until time.Time) {
	s.fleetUntil = until
	for _, d := range s.classes {
		d.others = others{}
		d.built = time.Time{}
	}
	for _, a := range total {
		s.demands(newClass(a.Service, a.Rank)).others.add(a, 1)
	}
	for _, a := range own {
		s.demands(newClass(a.Service, a.Rank)).others.add(a, -1)
	}
	for c, d := range s.classes {
		d.others.clean()
		if len(d.own) == 0 && len(d.others.named) == 0 && d.others.rest == 0 {
			delete(s.classes, c)
		}
	}
}

func (s *Shares) sortedClasses() (list []class) {
	for c := range s.classes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b class) int {
		if a.service != b.service {
			return int(int64(a.service) - int64(b.service))
		}
		return a.rank - b.rank
	})
	return list
}

// view returns the demand of a service at a rank by all that is known now.
func (s *Shares) view(service uint32, rank int, now time.Time) *demands {
	d := s.demands(newClass(service, rank))
	d.build(now.Before(s.fleetUntil), now)
	return d
}

// AdmitProbability returns the probability, from 0 to 1, of admitting a request of the account when only a fraction of all requests of
// its service and rank can be admitted. The shares are max-min fair over the fleet: an account gets the same share through one router as
// through all of them, and one that asks for less than an equal share loses nothing.
//
// Without recent demand of the other routers, this router's own decides, and no account gets more than an equal part: what an account
// leaves here may be in use elsewhere.
func (s *Shares) AdmitProbability(service uint32, rank int, account string, fraction float64, now time.Time) float64 {
	d := s.view(service, rank, now)
	d.fraction, d.fractionAt = min(fraction, 1), now
	demand := d.demand(hash(account), now)
	if fraction >= 1 || demand <= 0 {
		return min(fraction, 1)
	}
	return min(d.share(fraction)/demand, 1)
}

// Over returns the parts of all requests of the service and rank that accounts beyond their share send, and that they get, when only a
// fraction of all requests can be admitted.
func (s *Shares) Over(service uint32, rank int, fraction float64, now time.Time) (sent, granted float64) {
	d := s.view(service, rank, now)
	if fraction >= 1 || d.total <= 0 {
		return 0, 0
	}
	share := d.share(fraction)
	i := d.firstOver(share)
	return (d.total - d.sums[i].demand) / d.total, share * (d.accounts - d.sums[i].accounts) / d.total
}

// refusalTerm is how long after a request was last refused for its share shares count in Deficit and Top.
const refusalTerm = time.Second

// Deficit returns how far the account's demand is under its share, from 0, at its share or beyond, to 1. It is 0 while the service
// refuses nothing.
func (s *Shares) Deficit(service uint32, rank int, account string, now time.Time) float64 {
	d := s.view(service, rank, now)
	share := d.lastShare(now)
	if share <= 0 {
		return 0
	}
	return min(max(1-d.demand(hash(account), now)/share, 0), 1)
}

// Account is the demand of an account that is beyond its share.
type Account struct {
	Service uint32
	Rank    int
	// Name is empty if no request of the account has come to this router lately.
	Name string
	// Hash identifies the account between routers.
	Hash uint32
	// Demand and Share are in requests a second.
	Demand, Share float64
}

// Top returns the accounts furthest beyond their share, at most n of each service and rank that has refused requests lately.
func (s *Shares) Top(n int, now time.Time) (list []Account) {
	for _, c := range s.sortedClasses() {
		d := s.view(c.service, c.rank, now)
		share := d.lastShare(now)
		if share <= 0 {
			continue
		}
		over := d.over(share, now)
		for _, a := range over[:min(n, len(over))] {
			list = append(list, Account{
				Service: c.service, Rank: c.rank, Name: a.name, Hash: a.hash, Demand: rate(a.demand), Share: rate(share),
			})
		}
	}
	return list
}

// Rates returns the demand of the account, and its share while the service refuses requests, both in requests a second. The share is 0 while
// it does not.
func (s *Shares) Rates(service uint32, rank int, account string, now time.Time) (demand, share float64) {
	d := s.view(service, rank, now)
	return rate(d.demand(hash(account), now)), rate(d.lastShare(now))
}
