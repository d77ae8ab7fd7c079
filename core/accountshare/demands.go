package accountshare

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"savoryfall/core/fleetstate"
)

const (
	// halfLife is the time in which a request loses half its weight. A surge is recognized within about a second and no longer held
	// against the account a few seconds after it ends.
	halfLife = time.Second
	// minDemand is the demand below which an account is dropped, so that only recently active accounts are kept.
	minDemand = 0.05
	// maxNamed is how many accounts of a service and rank a router reports by name.
	maxNamed = 8
	// viewTerm is how long a sorted list of demands is used. Within it, demands change by a few hundredths.
	viewTerm = 50 * time.Millisecond
	// maxEpoch bounds the age of the time that weights are relative to, so that they stay within the range of a number.
	maxEpoch = 100 * halfLife
)

// rate returns the requests a second that lead to a decayed count.
func rate(count float64) float64 { return count * math.Ln2 / halfLife.Seconds() }

// demands is the demand for a service at a rank.
type demands struct {
	// own are the accounts whose requests came to this router, index where they are by hash. Their weights are relative to epoch, so
	// that a decision does not have to decay each of them.
	own    []account
	index  map[uint32]int
	epoch  time.Time
	others others
	// fraction is what could be admitted at the last decision, at fractionAt.
	fraction   float64
	fractionAt time.Time

	// The rest is the view of all demand that build computes.

	built time.Time
	// fleet tells whether the demand of the other routers is in it.
	fleet bool
	// elsewhere is the estimated demand of each account at the other routers.
	elsewhere map[uint32]float64
	// sorted are the demands in rising order, each of a number of accounts. sums[i] sums those before sorted[i].
	sorted, sums    []portion
	total, accounts float64
}

type account struct {
	name   string
	hash   uint32
	weight float64
}

// portion is the demand of a number of accounts; demand is that of each of them, but in sums that of all.
type portion struct{ demand, accounts float64 }

// others is the demand at the other routers.
type others struct {
	named map[uint32]float64
	// rest is the demand of all accounts that are not named, restAccounts their number, each counted once for each router.
	rest, restAccounts float64
}

func (o *others) add(a fleetstate.AccountDemand, sign float64) {
	if a.Account == 0 {
		o.rest += sign * float64(a.Arrivals)
		o.restAccounts += sign * float64(a.Accounts)
		return
	}
	if o.named == nil {
		o.named = map[uint32]float64{}
	}
	o.named[a.Account] += sign * float64(a.Arrivals)
}

// clean drops what is left by rounding, and what this router has reported of accounts that the hub does not name.
func (o *others) clean() {
	for account, n := range o.named {
		if n < minDemand {
			o.rest += min(n, 0)
			delete(o.named, account)
		}
	}
	o.rest, o.restAccounts = max(o.rest, 0), max(o.restAccounts, 0)
	if o.rest < minDemand {
		o.rest, o.restAccounts = 0, 0
	}
}

func (d *demands) observe(name string, now time.Time) {
	if now.Sub(d.epoch) > maxEpoch {
		d.rebase(now)
	}
	h := hash(name)
	i, known := d.index[h]
	if !known {
		if d.index == nil {
			d.index = map[uint32]int{}
		}
		i = len(d.own)
		d.index[h] = i
		d.own = append(d.own, account{name: name, hash: h})
	}
	d.own[i].weight += 1 / d.decay(now)
}

// decay returns by what a weight is multiplied to get the demand now.
func (d *demands) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(d.epoch)) / float64(halfLife))
}

// rebase makes the weights relative to now, and drops the accounts that have not been active lately.
func (d *demands) rebase(now time.Time) {
	f := d.decay(now)
	kept := d.own[:0]
	for _, a := range d.own {
		a.weight *= f
		if a.weight < minDemand {
			delete(d.index, a.hash)
			continue
		}
		d.index[a.hash] = len(kept)
		kept = append(kept, a)
	}
	clear(d.own[len(kept):])
	d.own, d.epoch = kept, now
}

func (d *demands) ownDemand(hash uint32, now time.Time) float64 {
	i, known := d.index[hash]
	if !known {
		return 0
	}
	return d.own[i].weight * d.decay(now)
}

// demand returns the account's demand at all routers, as far as the view contains them.
func (d *demands) demand(hash uint32, now time.Time) float64 {
	return d.ownDemand(hash, now) + d.elsewhere[hash]
}

func (d *demands) report(c class, now time.Time) (list []fleetstate.AccountDemand) {
	d.rebase(now)
	sorted := slices.Clone(d.own)
	slices.SortFunc(sorted, func(a, b account) int {
		return cmp.Or(-cmp.Compare(a.weight, b.weight), cmp.Compare(a.hash, b.hash))
	})
	rest := fleetstate.AccountDemand{Service: c.service, Rank: c.rank}
	for i, a := range sorted {
		if i < maxNamed {
			list = append(list, fleetstate.AccountDemand{Service: c.service, Rank: c.rank, Account: a.hash, Accounts: 1, Arrivals: float32(a.weight)})
			continue
		}
		rest.Accounts++
		rest.Arrivals += float32(a.weight)
	}
	if rest.Accounts > 0 {
		list = append(list, rest)
	}
	return list
}

// build computes the view, unless a recent one of the same kind exists.
func (d *demands) build(fleet bool, now time.Time) {
	if age := now.Sub(d.built); !d.built.IsZero() && age >= 0 && age < viewTerm && d.fleet == fleet {
		return
	}
	d.rebase(now)
	d.built, d.fleet, d.elsewhere = now, fleet, nil
	list := d.sorted[:0]
	if fleet {
		list = d.addElsewhere(list)
	}
	for _, a := range d.own {
		list = append(list, portion{a.weight + d.elsewhere[a.hash], 1})
	}
	slices.SortFunc(list, func(a, b portion) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.accounts, b.accounts))
	})
	// Summed in sorted order, so that rounding is the same for the same requests.
	d.sums = d.sums[:0]
	sum := portion{}
	for _, p := range list {
		d.sums = append(d.sums, sum)
		sum.demand += p.demand * p.accounts
		sum.accounts += p.accounts
	}
	d.sums = append(d.sums, sum)
	d.sorted, d.total, d.accounts = list, sum.demand, sum.accounts
}

// addElsewhere estimates the demand of each account at the other routers, and appends the portions of accounts that have sent nothing to
// this one.
//
// What others report only in sum belongs to accounts that this router knows or to strangers, in the same proportion as the accounts that
// they name. The known ones get an even part of it, on top of what is named of them. A stranger has requests at as many routers as a
// named account, and was counted once at each.
func (d *demands) addElsewhere(list []portion) []portion {
	o := &d.others
	d.elsewhere = make(map[uint32]float64, len(o.named)+len(d.own))
	own, named, seen := 0.0, 0.0, 0.0
	for _, a := range d.own {
		own += a.weight
		d.elsewhere[a.hash] = o.named[a.hash]
		if o.named[a.hash] > 0 {
			seen++
		}
	}
	names := o.sortedNames()
	for _, hash := range names {
		named += o.named[hash]
		d.elsewhere[hash] = o.named[hash]
	}
	knownPart := seen / max(float64(len(names)), 1)
	evenPart := knownPart * o.rest / max(float64(len(d.elsewhere)), 1)
	for hash := range d.elsewhere {
		d.elsewhere[hash] += evenPart
	}
	for _, hash := range names {
		if _, ok := d.index[hash]; !ok {
			list = append(list, portion{d.elsewhere[hash], 1})
		}
	}
	left := (1 - knownPart) * o.rest
	if left < minDemand {
		return list
	}
	ownPart := own / (own + named + o.rest)
	routersOfEach := max(knownPart/max(ownPart, minDemand/o.rest), 1)
	strangers := max(o.restAccounts*(1-knownPart)/routersOfEach, 1)
	return append(list, portion{left / strangers, strangers})
}

func (o *others) sortedNames() (list []uint32) {
	for hash := range o.named {
		list = append(list, hash)
	}
	slices.Sort(list)
	return list
}

// share returns the most that one account gets when a fraction of all requests can be admitted.
func (d *demands) share(fraction float64) float64 {
	if d.accounts == 0 {
		return 0
	}
	admitted := max(fraction, 0) * d.total
	if !d.fleet {
		return admitted / d.accounts
	}
	i := sort.Search(len(d.sorted), func(i int) bool {
		return d.sorted[i].demand*(d.accounts-d.sums[i].accounts) >= admitted-d.sums[i].demand
	})
	if i == len(d.sorted) {
		return d.sorted[i-1].demand
	}
	return (admitted - d.sums[i].demand) / (d.accounts - d.sums[i].accounts)
}

// firstOver returns the index of the first demand beyond the share.
func (d *demands) firstOver(share float64) int {
	return sort.Search(len(d.sorted), func(i int) bool { return d.sorted[i].demand > share })
}

// lastShare returns the share at the last decision, 0 if nothing was refused lately.
func (d *demands) lastShare(now time.Time) float64 {
	if d.fraction >= 1 || d.fractionAt.IsZero() || now.Sub(d.fractionAt) > refusalTerm {
		return 0
	}
	return d.share(d.fraction)
}

type overAccount struct {
	account
	demand float64
}

// over returns the accounts beyond the share, the largest first.
func (d *demands) over(share float64, now time.Time) (list []overAccount) {
	for _, a := range d.own {
		list = append(list, overAccount{a, d.demand(a.hash, now)})
	}
	for _, hash := range d.others.sortedNames() {
		if _, ok := d.index[hash]; !ok && d.elsewhere != nil {
			list = append(list, overAccount{account{hash: hash}, d.elsewhere[hash]})
		}
	}
	list = slices.DeleteFunc(list, func(a overAccount) bool { return a.demand <= share })
	slices.SortFunc(list, func(a, b overAccount) int {
		return cmp.Or(-cmp.Compare(a.demand, b.demand), cmp.Compare(a.hash, b.hash))
	})
	return list
}
