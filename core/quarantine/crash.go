package quarantine

import (
	"slices"
	"time"
)

// severalAccounts is the account of a crash at which requests of several accounts had the part.
const severalAccounts = 0

// severalRequests is the request of a crash at which several requests had the part.
const severalRequests = 0

// crash is the end of an endpoint's process while a request with the part was there.
type crash struct {
	process uint64
	// account is the client account of the requests that had the part, severalAccounts if there were several.
	account uint64
	at      time.Time
	// request is the hash of the request that had the part, severalRequests if there were several or it is not known.
	request uint64
	// sent is when the oldest of these requests was sent to the endpoint.
	sent time.Time
	// cleared is set once an answer to a request with the part began after the crash and went well.
	cleared bool
	// silent is set if all that shows the end is that nothing came from the process any more.
	silent bool
}

const (
	// maxCrashes limits the crashes that are kept of a part, the newest ones.
	maxCrashes = 16
	// sameEvent is the time within which processes end together: with their failure domain, and not each by a request.
	sameEvent = 100 * time.Millisecond
)

// crashes are ordered by their time.
type crashes []crash

// minCorrection is by how much a time must be earlier than the known one to be worth a report to other routers.
const minCorrection = 20 * time.Millisecond

// add adds a crash and reports whether that changed anything: one that is older than all that are kept does not.
func (c *crashes) add(n crash) (changed bool) {
	defer c.sort()
	i := slices.IndexFunc(*c, func(k crash) bool { return k.process == n.process })
	if i < 0 {
		*c = append(*c, n)
		c.sort()
		return c.has(n.process)
	}
	known := &(*c)[i]
	changed = known.at.Sub(n.at) > minCorrection || known.sent.Sub(n.sent) > minCorrection
	// What another router reports looks later than it was, so that the earlier times are right.
	known.at, known.sent = earlier(known.at, n.at), earlier(known.sent, n.sent)
	if known.account != n.account && known.account != severalAccounts {
		known.account, changed = severalAccounts, true
	}
	if known.request != n.request && known.request != severalRequests {
		known.request, changed = severalRequests, true
	}
	if n.cleared && !known.cleared {
		known.cleared, changed = true, true
	}
	if !n.silent && known.silent {
		known.silent, changed = false, true
	}
	return changed
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// clear clears the crashes that no longer count, and reports whether that changed anything.
func (c crashes) clear(disproved func(c crash) bool) (changed bool) {
	for i := range c {
		if !c[i].cleared && disproved(c[i]) {
			c[i].cleared, changed = true, true
		}
	}
	return changed
}

// counted returns the crashes that are not cleared.
func (c crashes) counted() (rest crashes) {
	for _, k := range c {
		if !k.cleared {
			rest = append(rest, k)
		}
	}
	return rest
}

func (c *crashes) sort() {
	slices.SortStableFunc(*c, func(a, b crash) int { return a.at.Compare(b.at) })
	if n := len(*c) - maxCrashes; n > 0 {
		*c = slices.Delete(*c, 0, n)
	}
}

// oneRequest reports whether no two crashes are known at which different requests had the part alone.
func (c crashes) oneRequest() bool {
	var only uint64
	for _, k := range c {
		if k.request != severalRequests && only != 0 && k.request != only {
			return false
		}
		if k.request != severalRequests {
			only = k.request
		}
	}
	return true
}

// without returns the crashes that are not among the others.
func (c crashes) without(others crashes) (rest crashes) {
	for _, k := range c {
		if !others.has(k.process) {
			rest = append(rest, k)
		}
	}
	return rest
}

func (c crashes) has(process uint64) bool {
	return slices.ContainsFunc(c, func(k crash) bool { return k.process == process })
}

// events returns the number of crashes, with those that happened together counted once. A crash under a request that was sent
// after the one before is another event.
func (c crashes) events() (n int) {
	var last time.Time
	for i, k := range c {
		if i == 0 || k.at.Sub(last) > sameEvent || k.sent.After(last) {
			n++
			last = k.at
		}
	}
	return n
}

// outweigh reports whether the part of these crashes is the likelier cause where it was at the others too: it was at more, or at
// the same ones.
func (c crashes) outweigh(others crashes) bool {
	if len(c) != len(others) {
		return len(c) > len(others)
	}
	return !slices.ContainsFunc(others, func(k crash) bool { return !c.has(k.process) })
}

// maxSharedEvents is the number of events from which crashes count although requests of several accounts had the part at each
// of them.
const maxSharedEvents = 5

// concern reports whether the crashes say something of requests of the account. An account that crashes endpoints with
// requests that have the parts of another one must not have the requests of that one refused.
func (c crashes) concern(account uint64) bool {
	var only uint64
	for _, k := range c {
		switch {
		case k.account == severalAccounts || k.account == only:
		case only != 0:
			return true
		default:
			only = k.account
		}
	}
	if only == 0 {
		return c.events() >= maxSharedEvents
	}
	return only == account
}
