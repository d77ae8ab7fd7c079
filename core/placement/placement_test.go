package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/candidate"
	"savoryfall/core/placement"
)

func pool(n int) (candidates []candidate.Candidate, members []int32) {
	for i := range n {
		candidates = append(candidates, candidate.New(fmt.Sprint("e", i), 1))
		members = append(members, int32(i))
	}
	return candidates, members
}

func choose(p placement.Policy, r placement.Request, candidates []candidate.Candidate, members []int32) int {
	r.Totals = placement.SumUsable(candidates, members)
	i, _ := p.Choose(r, candidates, members)
	return i
}

func place(p placement.Policy, key uint64, returning bool, candidates []candidate.Candidate, members []int32) int {
	return choose(p, placement.Request{Key: key << 20, WarmEndpoint: placement.NoCandidate, Returning: returning, CacheValue: cacheValue(returning), Tokens: 10}, candidates, members)
}

func cacheValue(returning bool) float64 {
	if returning {
		return 1
	}
	return 0
}

// With exact loads, no candidate exceeds the bound, whatever the keys.
func TestBoundHolds(t *testing.T) {
	candidates, members := pool(10)
	p := placement.NewBounded(1.25, 1)
	for key := range uint64(2000) {
		i := place(p, key%40, key%3 > 0, candidates, members)
		candidates[i].SetLoad(candidates[i].Requests()+1, candidates[i].Tokens()+10)
	}
	for i := range candidates {
		assert.Assert(t, candidates[i].Requests() <= 1.25*200+1, "%d has %v", i, candidates[i].Requests())
	}
}

// When an endpoint is lost, only its own chats move, and they move back when it returns.
func TestEndpointLossMovesOnlyItsChats(t *testing.T) {
	candidates, members := pool(10)
	p := placement.NewBounded(1.25, 1)
	before := map[uint64]int{}
	for key := range uint64(500) {
		before[key] = place(p, key, true, candidates, members)
	}
	candidates[3].SetUsable(false)
	for key, i := range before {
		now := place(p, key, true, candidates, members)
		assert.Assert(t, now == i || i == 3)
		assert.Assert(t, now != 3)
	}
	candidates[3].SetUsable(true)
	for key, i := range before {
		assert.Equal(t, place(p, key, true, candidates, members), i)
	}
}

// A recently started endpoint gets new chats, but no returning chats, whose prefixes are cached elsewhere.
func TestNewEndpointGetsOnlyNewChats(t *testing.T) {
	candidates, members := pool(10)
	p := placement.NewBounded(1.25, 1)
	candidates[3].SetRecentlyStarted(true)
	newChats := 0
	for key := range uint64(500) {
		assert.Assert(t, place(p, key, true, candidates, members) != 3)
		if place(p, key, false, candidates, members) == 3 {
			newChats++
		}
	}
	assert.Assert(t, newChats > 20, "%d", newChats)
}

// The warm candidate is chosen while it is within the bound, and never when it is unusable.
func TestWarmCandidateIsPreferredWithinBound(t *testing.T) {
	candidates, members := pool(4)
	p := placement.NewBounded(1.25, 1)
	for i := range candidates {
		candidates[i].SetLoad(20, 200)
	}
	r := placement.Request{Key: 1, WarmEndpoint: 2, Returning: true, CacheValue: 1, Tokens: 10}
	assert.Equal(t, choose(p, r, candidates, members), 2)
	candidates[2].SetLoad(60, 200)
	assert.Assert(t, choose(p, r, candidates, members) != 2)
	candidates[2].SetLoad(0, 0)
	candidates[2].SetUsable(false)
	assert.Assert(t, choose(p, r, candidates, members) != 2)
}

// Every policy chooses usable members only, and no candidate when there are none.
func TestPoliciesChooseUsableMembers(t *testing.T) {
	for _, name := range placement.Names() {
		p, ok := placement.New(name, 1.25, 1, 7)
		assert.Assert(t, ok)
		candidates, members := pool(6)
		for i := range 5 {
			candidates[i].SetUsable(false)
		}
		for key := range uint64(20) {
			assert.Equal(t, place(p, key, false, candidates, members), 5, name)
		}
		candidates[5].SetUsable(false)
		assert.Equal(t, place(p, 1, false, candidates, members), placement.NoCandidate, name)
	}
	_, ok := placement.New("nonsense", 1, 1, 7)
	assert.Assert(t, !ok)
}

// An endpoint gets keys in proportion to its weight.
func TestWeights(t *testing.T) {
	candidates, members := pool(5)
	candidates[0].SetWeight(4)
	p := placement.NewBounded(100, 100)
	n := 0
	for key := range uint64(4000) {
		if place(p, key, true, candidates, members) == 0 {
			n++
		}
	}
	assert.Assert(t, n > 1800 && n < 2200, "%d of 4000, half expected", n)
}

// Of two returning chats on a loaded endpoint, the one with the lower cache value moves.
func TestLowValueChatsMoveFirst(t *testing.T) {
	candidates, members := pool(4)
	for i := range candidates {
		candidates[i].SetLoad(20, 200)
	}
	candidates[2].SetLoad(24, 200)
	p := placement.NewBounded(1.3, 1)
	r := placement.Request{Key: 1, WarmEndpoint: 2, Returning: true, Tokens: 10, CacheValue: 1}
	assert.Equal(t, choose(p, r, candidates, members), 2)
	r.CacheValue = 0.2
	assert.Assert(t, choose(p, r, candidates, members) != 2)
}

// A chat that can't go to the highest-ranked endpoint for its key is reported with ReasonSpilled, even though it goes
// to the highest-ranked endpoint within the bound. Other routers would look for it at the first one.
func TestSecondRankedIsReportedAsSpilled(t *testing.T) {
	candidates, members := pool(6)
	for i := range candidates {
		candidates[i].SetLoad(20, 200)
	}
	p := placement.NewBounded(1.3, 1.2)
	for key := range uint64(50) {
		r := placement.Request{Key: key << 20, WarmEndpoint: placement.NoCandidate, Returning: true, CacheValue: 1, Tokens: 10}
		r.Totals = placement.SumUsable(candidates, members)
		first, reason := p.Choose(r, candidates, members)
		assert.Equal(t, reason, placement.ReasonRank)
		candidates[first].SetLoad(60, 600)
		r.Totals = placement.SumUsable(candidates, members)
		_, reason = p.Choose(r, candidates, members)
		assert.Equal(t, reason, placement.ReasonSpilled)
		candidates[first].SetLoad(20, 200)
	}
}
