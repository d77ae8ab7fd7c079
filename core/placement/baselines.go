package placement

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"

	"savoryfall/core/candidate"
	"savoryfall/core/scatter"
)

func usable(all []candidate.Candidate, members []int32) (list []int32) {
	for _, i := range members {
		if all[i].Usable() {
			list = append(list, i)
		}
	}
	return list
}

type uniform struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (p *uniform) Choose(_ Request, all []candidate.Candidate, members []int32) (int, Reason) {
	list := usable(all, members)
	if len(list) == 0 {
		return None, ReasonNone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(list[p.random.IntN(len(list))]), ReasonRandom
}

type leastLoaded struct{}

func (leastLoaded) Choose(_ Request, all []candidate.Candidate, members []int32) (int, Reason) {
	best, least := None, math.Inf(1)
	for _, i := range usable(all, members) {
		if load := all[i].Tokens() / all[i].Weight(); load < least {
			best, least = int(i), load
		}
	}
	if best == None {
		return None, ReasonNone
	}
	return best, ReasonLeast
}

type twoChoices struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (p *twoChoices) Choose(_ Request, all []candidate.Candidate, members []int32) (int, Reason) {
	list := usable(all, members)
	if len(list) == 0 {
		return None, ReasonNone
	}
	p.mu.Lock()
	a, b := int(list[p.random.IntN(len(list))]), int(list[p.random.IntN(len(list))])
	p.mu.Unlock()
	if all[b].Tokens()/all[b].Weight() < all[a].Tokens()/all[a].Weight() {
		a = b
	}
	return a, ReasonLeast
}

type rendezvous struct{}

func (rendezvous) Choose(r Request, all []candidate.Candidate, members []int32) (int, Reason) {
	best, bestScore := None, math.Inf(-1)
	for _, i := range usable(all, members) {
		if s := weighted(unit(scatter.Mix(r.Key^all[i].Hash())), all[i].Weight()); s > bestScore {
			best, bestScore = int(i), s
		}
	}
	if best == None {
		return None, ReasonNone
	}
	return best, ReasonRank
}

const pointsPerCandidate = 64

type point struct {
	at    uint64
	index int32
}

// ring is a hash ring with virtual nodes, rebuilt when the usable candidates change.
type ring struct {
	mu     sync.Mutex
	of     uint64
	points []point
}

func (p *ring) Choose(r Request, all []candidate.Candidate, members []int32) (int, Reason) {
	list := usable(all, members)
	if len(list) == 0 {
		return None, ReasonNone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build(all, list)
	at := scatter.Mix(r.Key)
	n := sort.Search(len(p.points), func(i int) bool { return p.points[i].at >= at })
	return int(p.points[n%len(p.points)].index), ReasonRank
}

func (p *ring) build(all []candidate.Candidate, list []int32) {
	of := uint64(len(list))
	for _, i := range list {
		of = scatter.Mix(of ^ all[i].Hash())
	}
	if of == p.of && p.points != nil {
		return
	}
	p.of, p.points = of, nil
	for _, i := range list {
		for v := range uint64(pointsPerCandidate) {
			p.points = append(p.points, point{at: scatter.Mix(all[i].Hash() + v*0x9e3779b97f4a7c15), index: i})
		}
	}
	sort.Slice(p.points, func(a, b int) bool { return p.points[a].at < p.points[b].at })
}
