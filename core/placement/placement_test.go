package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/candidate"
	"savoryfall/core/placement"
)

func pool(n int) (all []candidate.Candidate, members []int32) {
	for i := range n {
		all = append(all, candidate.New(fmt.Sprint("e", i), 1))
		members = append(members, int32(i))
	}
	return all, members
}

func choose(p placement.Policy, r placement.Request, all []candidate.Candidate, members []int32) int {
	r.Totals = placement.Sum(all, members)
	i, _ := p.Choose(r, all, members)
	return i
}

func place(p placement.Policy, key uint64, returning bool, all []candidate.Candidate, members []int32) int {
	return choose(p, placement.Request{Key: key << 20, Warm: placement.None, Returning: returning, Worth: worth(returning), Tokens: 10}, all, members)
}

func worth(returning bool) float64 {
	if returning {
		return 1
	}
	return 0
}

// No candidate is loaded beyond the bound, whatever the keys, as long as the loads are known.
func TestBoundHolds(t *testing.T) {
	all, members := pool(10)
	p := placement.NewBounded(1.25, 1)
	for key := range uint64(2000) {
		i := place(p, key%40, key%3 > 0, all, members)
		all[i].SetLoad(all[i].Requests()+1, all[i].Tokens()+10)
	}
	for i := range all {
		assert.Assert(t, all[i].Requests() <= 1.25*200+1, "%d has %v", i, all[i].Requests())
	}
}

// When an engine goes, only its own chats move; when it comes back, they alone return.
func TestOnlyTheLostEnginesChatsMove(t *testing.T) {
	all, members := pool(10)
	p := placement.NewBounded(1.25, 1)
	before := map[uint64]int{}
	for key := range uint64(500) {
		before[key] = place(p, key, true, all, members)
	}
	all[3].SetUsable(false)
	for key, i := range before {
		now := place(p, key, true, all, members)
		assert.Assert(t, now == i || i == 3)
		assert.Assert(t, now != 3)
	}
	all[3].SetUsable(true)
	for key, i := range before {
		assert.Equal(t, place(p, key, true, all, members), i)
	}
}

// An engine that has just come gets new chats, and none that is warm elsewhere.
func TestJoinStealsNoWarmChats(t *testing.T) {
	all, members := pool(10)
	p := placement.NewBounded(1.25, 1)
	all[3].SetYoung(true)
	fresh := 0
	for key := range uint64(500) {
		assert.Assert(t, place(p, key, true, all, members) != 3)
		if place(p, key, false, all, members) == 3 {
			fresh++
		}
	}
	assert.Assert(t, fresh > 20, "%d", fresh)
}

// The ticket's engine is taken while it is under the bound, and never when it is not usable.
func TestWarmIsAHint(t *testing.T) {
	all, members := pool(4)
	p := placement.NewBounded(1.25, 1)
	for i := range all {
		all[i].SetLoad(20, 200)
	}
	r := placement.Request{Key: 1, Warm: 2, Returning: true, Worth: 1, Tokens: 10}
	assert.Equal(t, choose(p, r, all, members), 2)
	all[2].SetLoad(60, 200)
	assert.Assert(t, choose(p, r, all, members) != 2)
	all[2].SetLoad(0, 0)
	all[2].SetUsable(false)
	assert.Assert(t, choose(p, r, all, members) != 2)
}

// Every policy chooses usable members only, and none when there is none.
func TestPoliciesChooseUsableMembers(t *testing.T) {
	for _, name := range placement.Names() {
		p, ok := placement.New(name, 1.25, 1, 7)
		assert.Assert(t, ok)
		all, members := pool(6)
		for i := range 5 {
			all[i].SetUsable(false)
		}
		for key := range uint64(20) {
			assert.Equal(t, place(p, key, false, all, members), 5, name)
		}
		all[5].SetUsable(false)
		assert.Equal(t, place(p, 1, false, all, members), placement.None, name)
	}
	_, ok := placement.New("nonsense", 1, 1, 7)
	assert.Assert(t, !ok)
}

// A heavier endpoint gets its share of the keys.
func TestWeights(t *testing.T) {
	all, members := pool(5)
	all[0].SetWeight(4)
	p := placement.NewBounded(100, 100)
	n := 0
	for key := range uint64(4000) {
		if place(p, key, true, all, members) == 0 {
			n++
		}
	}
	assert.Assert(t, n > 1800 && n < 2200, "%d of 4000, half expected", n)
}

// Of two returning chats on a loaded engine, the one with less to lose moves.
func TestCheapChatsMoveFirst(t *testing.T) {
	all, members := pool(4)
	for i := range all {
		all[i].SetLoad(20, 200)
	}
	all[2].SetLoad(24, 200)
	p := placement.NewBounded(1.3, 1)
	r := placement.Request{Key: 1, Warm: 2, Returning: true, Tokens: 10, Worth: 1}
	assert.Equal(t, choose(p, r, all, members), 2)
	r.Worth = 0.2
	assert.Assert(t, choose(p, r, all, members) != 2)
}

// A chat that cannot go where its key ranks first is told to the peers as spilled, although it takes the highest ranked
// engine under the bound: other routers would look for it at the first one.
func TestSecondRankIsASpill(t *testing.T) {
	all, members := pool(6)
	for i := range all {
		all[i].SetLoad(20, 200)
	}
	p := placement.NewBounded(1.3, 1.2)
	for key := range uint64(50) {
		r := placement.Request{Key: key << 20, Warm: placement.None, Returning: true, Worth: 1, Tokens: 10}
		r.Totals = placement.Sum(all, members)
		first, reason := p.Choose(r, all, members)
		assert.Equal(t, reason, placement.ReasonRank)
		all[first].SetLoad(60, 600)
		r.Totals = placement.Sum(all, members)
		_, reason = p.Choose(r, all, members)
		assert.Equal(t, reason, placement.ReasonSpilled)
		all[first].SetLoad(20, 200)
	}
}
