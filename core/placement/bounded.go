package placement

import (
	"math"

	"savoryfall/core/candidate"
)

// Bounded is weighted rendezvous hashing with a bounded load: among the candidates under the bound, the one that
// ranks highest for the key. Every router ranks alike without a message, so two routers that find the first
// choice full spill a chat to the same second choice, where it is warm the next time.
//
// A new chat has nothing to lose, so it spills at a lower bound than a returning one. An endpoint that has just come
// is passed over for returning chats: by rank some of them would be its own now, but they are warm where they were.
type Bounded struct {
	bound    float64
	newBound float64
}

// NewBounded bounds the load of an endpoint at bound times the mean for returning chats, at newBound for new ones.
func NewBounded(bound, newBound float64) *Bounded { return &Bounded{bound: bound, newBound: newBound} }

// Choose takes the warm candidate while it is under the bound, else the highest ranked one under it.
func (b *Bounded) Choose(r Request, all []candidate.Candidate, members []int32) (index int, reason Reason) {
	l := b.limits(r, all, members)
	if r.Warm != None && all[r.Warm].Usable() && l.allow(&all[r.Warm]) {
		return r.Warm, ReasonWarm
	}
	passYoung := r.Returning
	best, bestAny := None, None
	bestScore, bestAnyScore := math.Inf(-1), math.Inf(-1)
	for _, i := range members {
		c := &all[i]
		if !c.Usable() || passYoung && c.Young() {
			continue
		}
		s := l.score(r.Key, c)
		if s > bestAnyScore {
			bestAny, bestAnyScore = int(i), s
		}
		if s > bestScore && l.allow(c) {
			best, bestScore = int(i), s
		}
	}
	return b.settle(best, bestAny, all, members, l)
}

func (b *Bounded) settle(best, bestAny int, all []candidate.Candidate, members []int32, l limits) (int, Reason) {
	if best == None {
		best = l.lightest(all, members)
		if best == None {
			return None, ReasonNone
		}
		return best, ReasonLeast
	}
	if best != bestAny {
		return best, ReasonSpilled
	}
	return best, ReasonRank
}

// limits are the loads that a candidate of weight one may have: requests with the new one, tokens without it.
type limits struct {
	requests float64
	tokens   float64
	uneven   bool
}

func (b *Bounded) limits(r Request, all []candidate.Candidate, members []int32) (l limits) {
	requests, tokens, weight := 1.0, r.Tokens, 0.0
	for _, i := range members {
		c := &all[i]
		if !c.Usable() {
			continue
		}
		requests += c.Requests()
		tokens += c.Tokens()
		weight += c.Weight()
	}
	l.uneven = uneven(all, members)
	// Rounded up, and for tokens compared before the request is added: with few requests an engine, one alone is
	// over any multiple of the mean, and nothing could be placed.
	bound := b.newBound
	if r.Returning {
		bound = b.bound
	}
	l.requests = math.Ceil(bound * requests / weight)
	l.tokens = bound * tokens / weight
	return l
}

func (l limits) allow(c *candidate.Candidate) bool {
	return c.Requests()+1 <= l.requests*c.Weight() && c.Tokens() <= l.tokens*c.Weight()
}

func (l limits) lightest(all []candidate.Candidate, members []int32) int {
	best, least := None, math.Inf(1)
	for _, i := range members {
		c := &all[i]
		full := max(c.Requests()/l.requests, c.Tokens()/l.tokens) / c.Weight()
		if c.Usable() && full < least {
			best, least = int(i), full
		}
	}
	return best
}

// score ranks a candidate for a key. With even weights the order of the hashes is the order of the scores, and
// the logarithm, which costs more than all the rest, is left out.
func (l limits) score(key uint64, c *candidate.Candidate) float64 {
	u := unit(mix(key ^ c.Hash()))
	if !l.uneven {
		return u
	}
	return -c.Weight() / math.Log(u)
}

// mix is the finalizer of SplitMix64, which spreads a difference in any bit over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit is a number above 0 and below 1.
func unit(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// First is the candidate that ranks highest for the key among those that have not just come, whatever their load:
// where any router looks first for a chat that it knows nothing about.
func First(key uint64, all []candidate.Candidate, members []int32) (index int) {
	l := limits{uneven: uneven(all, members)}
	index, best := None, math.Inf(-1)
	for _, i := range members {
		c := &all[i]
		if !c.Usable() || c.Young() {
			continue
		}
		if s := l.score(key, c); s > best {
			index, best = int(i), s
		}
	}
	return index
}

func uneven(all []candidate.Candidate, members []int32) bool {
	for _, i := range members {
		if all[i].Weight() != all[members[0]].Weight() {
			return true
		}
	}
	return false
}
