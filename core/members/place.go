package members

import (
	"slices"
	"time"

	"savoryfall/core/scatter"
)

// oneHubMost is up to how many routers a single hub serves all, where its VM can: one level more makes what they know of
// each other older.
const oneHubMost = 100

// plannedNum of plannedDen is the part of what a hub can serve that is planned for, since hashing does not share evenly, and
// plannedMost the most of it.
const (
	plannedNum  = 2
	plannedDen  = 3
	plannedMost = 42
)

// Hub is whom a router follows; ok is false when it is the one that follows nobody.
//
// A small fleet has one hub, the first in the list's order that answers. In a larger one that router serves the hubs of the
// failure domains, and each of them serves the routers of its domain that choose it. A router only ever follows one that is
// before it in the order, so that routers which disagree on who answers still never follow each other in a circle.
func (l *List) Hub(self string) (m Member, ok bool) {
	next := l.Next(self, 1)
	if len(next) == 0 {
		return Member{}, false
	}
	return next[0], true
}

// Next are whom the router follows if each before did not answer.
func (l *List) Next(self string, n int) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next(self, n, func(k *known) bool { return !k.suspect })
}

// Retry are those of the routers that failed which it is time to try again, because this one would follow them.
func (l *List) Retry(self string, n int, now time.Time) (due []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.next(self, n, func(k *known) bool { return !k.suspect || !now.Before(k.retryAt) }) {
		if !l.by[m.Name].suspect {
			break
		}
		due = append(due, m)
	}
	return due
}

func (l *List) next(self string, n int, answers func(k *known) bool) (all []Member) {
	ahead := l.ahead(self, answers)
	for len(ahead) > 0 && len(all) < n {
		hub := l.choose(l.by[self], ahead)
		all = append(all, hub.member)
		i := slices.Index(ahead, hub)
		ahead = slices.Delete(ahead, i, i+1)
	}
	return all
}

// choose is the hub among those ahead.
func (l *List) choose(me *known, ahead []*known) *known {
	first := ahead[0]
	if me == nil || len(l.by) <= min(oneHubMost, first.member.Followers()) {
		return first
	}
	hubs := l.domainHubs(me, ahead[1:])
	if len(hubs) == 0 {
		return first
	}
	return nearest(me, hubs)
}

// ahead are the routers before this one in the order that answer.
func (l *List) ahead(self string, answers func(k *known) bool) (ahead []*known) {
	for _, k := range l.order {
		if k.member.Name == self {
			break
		}
		if answers(k) {
			ahead = append(ahead, k)
		}
	}
	return ahead
}

// domainHubs are as many of the routers ahead in its own domain as it takes to serve the whole domain; none when this router
// is needed as one of them.
func (l *List) domainHubs(me *known, ahead []*known) (hubs []*known) {
	left := 0
	for _, k := range l.order {
		if k.member.FailureDomain == me.member.FailureDomain {
			left++
		}
	}
	for _, k := range ahead {
		if k.member.FailureDomain != me.member.FailureDomain {
			continue
		}
		hubs = append(hubs, k)
		left -= min(k.member.Followers()*plannedNum/plannedDen, plannedMost)
		if left <= 0 {
			return hubs
		}
	}
	return nil
}

// nearest chooses one of the hubs by rendezvous hashing: each gets an even part of the domain, and the loss of one moves only
// those that followed it.
func nearest(me *known, hubs []*known) (best *known) {
	most := uint64(0)
	for _, h := range hubs {
		if score := scatter.Mix(me.hash ^ h.hash); best == nil || score > most {
			best, most = h, score
		}
	}
	return best
}
