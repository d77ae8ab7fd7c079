package members

import (
	"slices"
	"time"

	"savoryfall/core/hashmix"
)

// maxSingleHubRouters is the largest fleet that is served by a single hub, if the hub's VM has the capacity. Each
// further level of hubs makes what routers know of each other older.
const maxSingleHubRouters = 100

// plannedShareNum/plannedShareDen is the fraction of a hub's capacity that is planned for, because hashing does
// not distribute routers evenly. maxPlannedFollowers is the upper limit of the planned followers.
const (
	plannedShareNum     = 2
	plannedShareDen     = 3
	maxPlannedFollowers = 42
)

// Hub returns the router that self follows; ok is false if self is the root, which follows no hub.
//
// A small fleet has one hub, the highest ranked router that answers. In a larger fleet that router serves one
// level of hubs in the failure domains, and each of these serves the routers of its domain that choose it. A
// router only follows routers ranked above it, so routers that disagree on who answers never follow each other in
// a cycle.
func (l *List) Hub(self string) (m Member, ok bool) {
	next := l.HubCandidates(self, 1)
	if len(next) == 0 {
		return Member{}, false
	}
	return next[0], true
}

// HubCandidates returns up to n hubs that self would follow, each one in case those before it do not answer.
func (l *List) HubCandidates(self string, n int) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidates(self, n, func(k *routerEntry) bool { return !k.suspect })
}

// DueRetries returns the failed routers that are due for a retry, among those that self would follow.
func (l *List) DueRetries(self string, n int, now time.Time) (due []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.candidates(self, n, func(k *routerEntry) bool { return !k.suspect || !now.Before(k.retryAt) }) {
		if !l.byName[m.Name].suspect {
			break
		}
		due = append(due, m)
	}
	return due
}

func (l *List) candidates(self string, n int, usable func(k *routerEntry) bool) (hubs []Member) {
	higherRanked := l.higherRanked(self, usable)
	for len(higherRanked) > 0 && len(hubs) < n {
		hub := l.chooseHub(l.byName[self], higherRanked)
		hubs = append(hubs, hub.member)
		i := slices.Index(higherRanked, hub)
		higherRanked = slices.Delete(higherRanked, i, i+1)
	}
	return hubs
}

// chooseHub returns the router to follow among those ranked above this one.
func (l *List) chooseHub(me *routerEntry, higherRanked []*routerEntry) *routerEntry {
	first := higherRanked[0]
	if me == nil || len(l.byName) <= min(maxSingleHubRouters, first.member.MaxFollowers()) {
		return first
	}
	hubs := l.domainHubs(me, higherRanked[1:])
	if len(hubs) == 0 {
		return first
	}
	return rendezvous(me, hubs)
}

// higherRanked returns the usable routers that are ranked above self.
func (l *List) higherRanked(self string, usable func(k *routerEntry) bool) (higherRanked []*routerEntry) {
	for _, k := range l.ranked {
		if k.member.Name == self {
			break
		}
		if usable(k) {
			higherRanked = append(higherRanked, k)
		}
	}
	return higherRanked
}

// domainHubs returns as many of the higher ranked routers in its own failure domain as are needed to serve the
// whole domain. It returns none if this router is needed as a hub itself.
func (l *List) domainHubs(me *routerEntry, higherRanked []*routerEntry) (hubs []*routerEntry) {
	unserved := 0
	for _, k := range l.ranked {
		if k.member.FailureDomain == me.member.FailureDomain {
			unserved++
		}
	}
	for _, k := range higherRanked {
		if k.member.FailureDomain != me.member.FailureDomain {
			continue
		}
		hubs = append(hubs, k)
		unserved -= min(k.member.MaxFollowers()*plannedShareNum/plannedShareDen, maxPlannedFollowers)
		if unserved <= 0 {
			return hubs
		}
	}
	return nil
}

// rendezvous chooses a hub by rendezvous hashing: the domain is divided evenly, and the loss of a hub moves only
// its own followers.
func rendezvous(me *routerEntry, hubs []*routerEntry) (best *routerEntry) {
	bestScore := uint64(0)
	for _, h := range hubs {
		if score := hashmix.Mix(me.hash ^ h.hash); best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}
