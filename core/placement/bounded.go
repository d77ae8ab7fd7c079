package placement

import (
	"math"

	"savoryfall/core/candidate"
	"savoryfall/core/scatter"
)

// Bounded is weighted rendezvous hashing with a bounded load: among the candidates under the bound, the one that
// ranks highest for the key. Every router ranks alike without a message, so two routers that find the first
// choice full spill a chat to the same second choice, where it is warm the next time.
//
// A new chat has nothing to lose, so it spills at a lower bound than a returning one, and a returning one at a bound
// that rises with the prefix it would lose: what has to move is then what costs least to move. An endpoint that has
// just come is passed over for returning chats: by rank some of them would be its own now, but they are warm where they
// were.
type Bounded struct {
	bound    float64
	newBound float64
}

// NewBounded bounds the load of an endpoint at bound times the mean for chats that are worth most where they are,
// at newBound for those that are worth nothing.
func NewBounded(bound, newBound float64) *Bounded { return &Bounded{bound: bound, newBound: newBound} }

// Choose takes the warm candidate while it is under the bound; without one, a returning chat's highest ranked one. A
// chat that is cold wherever it goes takes the lighter of the two highest ranked ones under the bound: two, because
// all routers see the same lightest one between two digests, and would all send there.
func (b *Bounded) Choose(r Request, all []candidate.Candidate, members []int32) (index int, reason Reason) {
	l := b.limits(r)
	if r.Warm != None && all[r.Warm].Usable() && l.allow(&all[r.Warm]) {
		return r.Warm, ReasonWarm
	}
	top := l.rank(r.Key, all, members)
	if r.Returning && r.Warm == None && top.mature != None && l.allow(&all[top.mature]) {
		return top.mature, ReasonRank
	}
	if top.first == None {
		return l.settleOver(all, members)
	}
	chosen := top.first
	if top.second != None && l.full(&all[top.second]) < l.full(&all[top.first]) {
		chosen = top.second
	}
	if chosen != top.mature {
		return chosen, ReasonSpilled
	}
	return chosen, ReasonRank
}

// ranked are the two highest ranked candidates under the bound, and the highest of those that have not just come,
// whatever its load.
type ranked struct {
	first, second, mature int
}

func (l limits) rank(key uint64, all []candidate.Candidate, members []int32) (top ranked) {
	top = ranked{first: None, second: None, mature: None}
	first, second, mature := math.Inf(-1), math.Inf(-1), math.Inf(-1)
	for _, i := range members {
		c := &all[i]
		if !c.Usable() {
			continue
		}
		s := unit(scatter.Mix(key ^ c.Hash()))
		if l.uneven {
			s = weighted(s, c.Weight())
		}
		if s > mature && !c.Young() {
			top.mature, mature = int(i), s
		}
		if s <= second || !l.allow(c) {
			continue
		}
		if s <= first {
			top.second, second = int(i), s
			continue
		}
		top.second, second = top.first, first
		top.first, first = int(i), s
	}
	return top
}

// settleOver takes the lightest when all are over the bound.
func (l limits) settleOver(all []candidate.Candidate, members []int32) (index int, reason Reason) {
	index = l.lightest(all, members)
	if index == None {
		return None, ReasonNone
	}
	return index, ReasonLeast
}

// limits are the loads that a candidate of weight one may have: requests with the new one, tokens without it.
type limits struct {
	requests float64
	tokens   float64
	uneven   bool
}

func (b *Bounded) limits(r Request) (l limits) {
	bound := b.newBound + (b.bound-b.newBound)*r.Worth
	// Rounded up, and for tokens compared before the request is added: with few requests an engine, one alone is
	// over any multiple of the mean, and nothing could be placed.
	l.requests = math.Ceil(bound * (r.Totals.Requests + 1) / r.Totals.Weight)
	l.tokens = (bound + tokenSlack) * (r.Totals.Tokens + r.Tokens) / r.Totals.Weight
	l.uneven = r.Totals.Uneven
	return l
}

// tokenSlack widens the bound on tokens. Nobody knows how long an answer will be, so the expected tokens of an engine
// are off by a fifth and more; held to the bound of the requests, they sent chats away from where they are warm
// without making the true load more even.
const tokenSlack = 0.4

func (l limits) allow(c *candidate.Candidate) bool {
	return c.Requests()+1 <= l.requests*c.Weight() && c.Tokens() <= l.tokens*c.Weight()
}

// full is how much of what it may have a candidate has.
func (l limits) full(c *candidate.Candidate) float64 {
	return max(c.Requests()/l.requests, c.Tokens()/max(l.tokens, 1)) / c.Weight()
}

func (l limits) lightest(all []candidate.Candidate, members []int32) int {
	best, least := None, math.Inf(1)
	for _, i := range members {
		c := &all[i]
		if c.Usable() && l.full(c) < least {
			best, least = int(i), l.full(c)
		}
	}
	return best
}

// weighted is the score of weighted rendezvous hashing. With even weights the order of the hashes is the order of the
// scores, and the logarithm, which costs more than all the rest, is left out.
func weighted(u, weight float64) float64 {
	return -weight / math.Log(u)
}

// unit is a number above 0 and below 1.
func unit(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// First is the candidate that ranks highest for the key among those that have not just come, whatever their load:
// where any router looks first for a chat that it knows nothing about.
func First(key uint64, t Totals, all []candidate.Candidate, members []int32) (index int) {
	return limits{uneven: t.Uneven}.rank(key, all, members).mature
}
