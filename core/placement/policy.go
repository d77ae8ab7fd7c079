package placement

import (
	"math/rand/v2"
	"sort"

	"savoryfall/core/candidate"
)

// None is the choice when no candidate is usable.
const None = -1

// Request is what a policy may know of a request.
type Request struct {
	// Key is the hash that places the chat.
	Key uint64
	// Warm is the index of the candidate that a ticket, or an entry among the spills, names; or None.
	Warm int
	// Returning tells whether the chat was answered before, so that it is warm somewhere.
	Returning bool
	// Worth is how much the chat would lose elsewhere: from 0 for nothing to 1 for as much as any.
	Worth float64
	// Tokens is how many tokens the request is expected to cost.
	Tokens float64
	// Totals are those of the pool.
	Totals Totals
}

// Totals add up the usable members of a pool.
type Totals struct {
	Usable   int
	Requests float64
	Tokens   float64
	Weight   float64
	// Uneven tells whether their weights differ.
	Uneven bool
}

// Sum adds up the usable members.
func Sum(all []candidate.Candidate, members []int32) (t Totals) {
	weight := 0.0
	for _, i := range members {
		c := &all[i]
		if !c.Usable() {
			continue
		}
		if t.Usable == 0 {
			weight = c.Weight()
		}
		t.Usable++
		t.Requests += c.Requests()
		t.Tokens += c.Tokens()
		t.Weight += c.Weight()
		t.Uneven = t.Uneven || c.Weight() != weight
	}
	return t
}

// Policy chooses among the members of a pool, which are indexes of all; it never chooses one that is not usable.
type Policy interface {
	Choose(r Request, all []candidate.Candidate, members []int32) (index int, reason Reason)
}

// Reason is why a candidate was chosen.
type Reason string

// The reasons of all policies.
const (
	ReasonWarm    Reason = "warm"
	ReasonRank    Reason = "rank"
	ReasonSpilled Reason = "spilled"
	ReasonLeast   Reason = "leastLoaded"
	ReasonRandom  Reason = "random"
	ReasonNone    Reason = "noneUsable"
)

// New makes the policy of that name; ok is false when there is none.
func New(name string, bound, newBound float64, seed uint64) (p Policy, ok bool) {
	random := rand.New(rand.NewPCG(seed, seed))
	switch name {
	case "bounded":
		return NewBounded(bound, newBound), true
	case "random":
		return &uniform{random: random}, true
	case "leastLoaded":
		return leastLoaded{}, true
	case "twoChoices":
		return &twoChoices{random: random}, true
	case "rendezvous":
		return rendezvous{}, true
	case "ring":
		return &ring{}, true
	}
	return nil, false
}

// Names are the names that New takes.
func Names() []string {
	names := []string{"bounded", "random", "leastLoaded", "twoChoices", "rendezvous", "ring"}
	sort.Strings(names)
	return names
}
