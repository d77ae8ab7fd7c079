package placement

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"

	"savoryfall/core/candidate"
	"savoryfall/core/hashmix"
)

func usableMembers(candidates []candidate.Candidate, members []int32) (list []int32) {
	for _, i := range members {
		if candidates[i].Usable() {
			list = append(list, i)
		}
	}
	return list
}

type randomPolicy struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (p *randomPolicy) Choose(_ Request, candidates []candidate.Candidate, members []int32) (int, Reason) {
	list := usableMembers(candidates, members)
	if len(list) == 0 {
		return NoCandidate, ReasonNoneUsable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(list[p.rng.IntN(len(list))]), ReasonRandom
}

type leastLoaded struct{}

func (leastLoaded) Choose(_ Request, candidates []candidate.Candidate, members []int32) (int, Reason) {
	best, least := NoCandidate, math.Inf(1)
	for _, i := range usableMembers(candidates, members) {
		if load := candidates[i].Tokens() / candidates[i].Weight(); load < least {
			best, least = int(i), load
		}
	}
	if best == NoCandidate {
		return NoCandidate, ReasonNoneUsable
	}
	return best, ReasonLeastLoaded
}

type twoChoices struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (p *twoChoices) Choose(_ Request, candidates []candidate.Candidate, members []int32) (int, Reason) {
	list := usableMembers(candidates, members)
	if len(list) == 0 {
		return NoCandidate, ReasonNoneUsable
	}
	p.mu.Lock()
	a, b := int(list[p.rng.IntN(len(list))]), int(list[p.rng.IntN(len(list))])
	p.mu.Unlock()
	if candidates[b].Tokens()/candidates[b].Weight() < candidates[a].Tokens()/candidates[a].Weight() {
		a = b
	}
	return a, ReasonLeastLoaded
}

type rendezvous struct{}

func (rendezvous) Choose(r Request, candidates []candidate.Candidate, members []int32) (int, Reason) {
	best, bestScore := NoCandidate, math.Inf(-1)
	for _, i := range usableMembers(candidates, members) {
		if score := weightedScore(toUnitInterval(hashmix.Mix(r.Key^candidates[i].Hash())), candidates[i].Weight()); score > bestScore {
			best, bestScore = int(i), score
		}
	}
	if best == NoCandidate {
		return NoCandidate, ReasonNoneUsable
	}
	return best, ReasonRank
}

const virtualNodes = 64

type point struct {
	position uint64
	index    int32
}

// ring is a consistent-hash ring with virtual nodes, rebuilt when the set of usable candidates changes.
type ring struct {
	mu          sync.Mutex
	membersHash uint64
	points      []point
}

func (p *ring) Choose(r Request, candidates []candidate.Candidate, members []int32) (int, Reason) {
	list := usableMembers(candidates, members)
	if len(list) == 0 {
		return NoCandidate, ReasonNoneUsable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rebuild(candidates, list)
	position := hashmix.Mix(r.Key)
	next := sort.Search(len(p.points), func(i int) bool { return p.points[i].position >= position })
	return int(p.points[next%len(p.points)].index), ReasonRank
}

func (p *ring) rebuild(candidates []candidate.Candidate, list []int32) {
	membersHash := uint64(len(list))
	for _, i := range list {
		membersHash = hashmix.Mix(membersHash ^ candidates[i].Hash())
	}
	if membersHash == p.membersHash && p.points != nil {
		return
	}
	p.membersHash, p.points = membersHash, nil
	for _, i := range list {
		for v := range uint64(virtualNodes) {
			p.points = append(p.points, point{position: hashmix.Mix(candidates[i].Hash() + v*0x9e3779b97f4a7c15), index: i})
		}
	}
	sort.Slice(p.points, func(a, b int) bool { return p.points[a].position < p.points[b].position })
}
