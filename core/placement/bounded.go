package placement

import (
	"math"

	"savoryfall/core/candidate"
	"savoryfall/core/hashmix"
)

// Bounded is weighted rendezvous hashing with bounded loads: it chooses the highest-ranked candidate for the
// key whose load is within the bound. All routers compute the same ranking without coordination, so two routers that
// find the first choice full move a chat to the same second choice, where its prefix is then cached for the next
// request.
//
// A new chat has no cached prefix to lose, so it overflows at a lower bound than a returning one. The bound for a
// returning chat rises with the value of its cached prefix, so the chats that are cheapest to move overflow first. A
// recently started endpoint is skipped for returning chats: some would now rank highest there, but their prefixes are
// cached on the endpoints that served them before.
type Bounded struct {
	bound    float64
	newBound float64
}

// NewBounded limits the load of an endpoint to bound times the mean for chats with the highest cache value,
// and to newBound times the mean for chats with none.
func NewBounded(bound, newBound float64) *Bounded { return &Bounded{bound: bound, newBound: newBound} }

// Choose returns the warm candidate while it is within the bound, or, if none is known, the highest-ranked established
// candidate for a returning chat. A chat with no usable cache goes to the less utilized of the two highest-ranked
// candidates within the bound. It is not simply sent to the least utilized candidate of all, because every router sees
// the same one until the next load digest, and all would send there.
func (b *Bounded) Choose(r Request, candidates []candidate.Candidate, members []int32) (index int, reason Reason) {
	limits := b.loadLimits(r)
	if r.WarmEndpoint != NoCandidate && candidates[r.WarmEndpoint].Usable() && limits.allow(&candidates[r.WarmEndpoint]) {
		return r.WarmEndpoint, ReasonWarm
	}
	top := limits.rank(r.Key, candidates, members)
	if r.Returning && r.WarmEndpoint == NoCandidate && top.mature != NoCandidate && limits.allow(&candidates[top.mature]) {
		return top.mature, ReasonRank
	}
	if top.first == NoCandidate {
		return limits.chooseOverloaded(candidates, members)
	}
	chosen := top.first
	if top.second != NoCandidate && limits.utilization(&candidates[top.second]) < limits.utilization(&candidates[top.first]) {
		chosen = top.second
	}
	if chosen != top.mature {
		return chosen, ReasonSpilled
	}
	return chosen, ReasonRank
}

// topRanked holds the two highest-ranked candidates within the bound, and the highest-ranked one that has not recently
// started, regardless of load.
type topRanked struct {
	first, second, mature int
}

func (l loadLimits) rank(key uint64, candidates []candidate.Candidate, members []int32) (top topRanked) {
	top = topRanked{first: NoCandidate, second: NoCandidate, mature: NoCandidate}
	first, second, mature := math.Inf(-1), math.Inf(-1), math.Inf(-1)
	for _, i := range members {
		c := &candidates[i]
		if !c.Usable() {
			continue
		}
		score := toUnitInterval(hashmix.Mix(key ^ c.Hash()))
		if l.unevenWeights {
			score = weightedScore(score, c.Weight())
		}
		if score > mature && !c.RecentlyStarted() {
			top.mature, mature = int(i), score
		}
		if score <= second || !l.allow(c) {
			continue
		}
		if score <= first {
			top.second, second = int(i), score
			continue
		}
		top.second, second = top.first, first
		top.first, first = int(i), score
	}
	return top
}

// chooseOverloaded returns the least utilized candidate when all are over the bound.
func (l loadLimits) chooseOverloaded(candidates []candidate.Candidate, members []int32) (index int, reason Reason) {
	index = l.leastUtilized(candidates, members)
	if index == NoCandidate {
		return NoCandidate, ReasonNoneUsable
	}
	return index, ReasonLeastLoaded
}

// loadLimits are the limits for a candidate of weight 1. The request limit includes the new request; the token limit
// does not.
type loadLimits struct {
	requests      float64
	tokens        float64
	unevenWeights bool
}

func (b *Bounded) loadLimits(r Request) (l loadLimits) {
	bound := b.newBound + (b.bound-b.newBound)*r.CacheValue
	// The request limit is rounded up, and the token limit is compared before adding the request. With few requests in
	// the pool, a single one puts an endpoint over any multiple of the mean, and nothing could be placed.
	l.requests = math.Ceil(bound * (r.Totals.Requests + 1) / r.Totals.Weight)
	l.tokens = (bound + tokenSlack) * (r.Totals.Tokens + r.Tokens) / r.Totals.Weight
	l.unevenWeights = r.Totals.UnevenWeights
	return l
}

// tokenSlack widens the bound on tokens. Answer lengths are unknown in advance, so the expected tokens of an endpoint
// are off by a fifth or more. With the same bound as for requests, chats were moved away from their cached prefixes
// without making the actual load more even.
const tokenSlack = 0.4

func (l loadLimits) allow(c *candidate.Candidate) bool {
	return c.Requests()+1 <= l.requests*c.Weight() && c.Tokens() <= l.tokens*c.Weight()
}

// utilization is the load of a candidate as a fraction of its limit.
func (l loadLimits) utilization(c *candidate.Candidate) float64 {
	return max(c.Requests()/l.requests, c.Tokens()/max(l.tokens, 1)) / c.Weight()
}

func (l loadLimits) leastUtilized(candidates []candidate.Candidate, members []int32) int {
	best, least := NoCandidate, math.Inf(1)
	for _, i := range members {
		c := &candidates[i]
		if c.Usable() && l.utilization(c) < least {
			best, least = int(i), l.utilization(c)
		}
	}
	return best
}

// weightedScore is the score in weighted rendezvous hashing. With equal weights the hashes sort in the same order as
// the scores, so callers skip the logarithm, which costs more than the rest of the ranking.
func weightedScore(uniform, weight float64) float64 {
	return -weight / math.Log(uniform)
}

// toUnitInterval maps x to a number strictly between 0 and 1.
func toUnitInterval(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// HighestRanked returns the highest-ranked candidate for the key that has not recently started, regardless of load.
// Routers without other information look for the chat there first.
func HighestRanked(key uint64, totals Totals, candidates []candidate.Candidate, members []int32) (index int) {
	return loadLimits{unevenWeights: totals.UnevenWeights}.rank(key, candidates, members).mature
}
