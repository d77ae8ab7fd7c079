package placement

import (
	"math/rand/v2"
	"sort"

	"savoryfall/core/candidate"
)

// NoCandidate is the index returned when no candidate is usable.
const NoCandidate = -1

// Request holds the properties of a request that a policy may use.
type Request struct {
	// Key is the routing hash of the chat.
	Key uint64
	// WarmEndpoint is the index of the candidate named by a ticket or an overflow table entry, or NoCandidate.
	WarmEndpoint int
	// Returning reports whether the chat was answered before, so that some endpoint has its prefix cached.
	Returning bool
	// CacheValue is how much the chat would lose by moving away from its cached prefix, from 0 (nothing) to 1 (as much
	// as any).
	CacheValue float64
	// Tokens is the expected cost of the request in tokens.
	Tokens float64
	Totals Totals
}

// Totals are the sums over the usable members of a pool.
type Totals struct {
	Usable   int
	Requests float64
	Tokens   float64
	Weight   float64
	// UnevenWeights reports whether the weights of the usable members differ.
	UnevenWeights bool
}

// SumUsable returns the totals over the usable members.
func SumUsable(candidates []candidate.Candidate, members []int32) (totals Totals) {
	weight := 0.0
	for _, i := range members {
		c := &candidates[i]
		if !c.Usable() {
			continue
		}
		if totals.Usable == 0 {
			weight = c.Weight()
		}
		totals.Usable++
		totals.Requests += c.Requests()
		totals.Tokens += c.Tokens()
		totals.Weight += c.Weight()
		totals.UnevenWeights = totals.UnevenWeights || c.Weight() != weight
	}
	return totals
}

// Policy chooses among the members of a pool, given as indexes into candidates. It never chooses an unusable one.
type Policy interface {
	Choose(r Request, candidates []candidate.Candidate, members []int32) (index int, reason Reason)
}

// Reason tells why a candidate was chosen.
type Reason string

// The reasons of all policies.
const (
	ReasonWarm        Reason = "warm"
	ReasonRank        Reason = "rank"
	ReasonSpilled     Reason = "spilled"
	ReasonLeastLoaded Reason = "leastLoaded"
	ReasonRandom      Reason = "random"
	ReasonNoneUsable  Reason = "noneUsable"
)

// New returns the policy with the given name; ok is false if there is none.
func New(name string, bound, newBound float64, seed uint64) (p Policy, ok bool) {
	rng := rand.New(rand.NewPCG(seed, seed))
	switch name {
	case "bounded":
		return NewBounded(bound, newBound), true
	case "random":
		return &randomPolicy{rng: rng}, true
	case "leastLoaded":
		return leastLoaded{}, true
	case "twoChoices":
		return &twoChoices{rng: rng}, true
	case "rendezvous":
		return rendezvous{}, true
	case "ring":
		return &ring{}, true
	}
	return nil, false
}

// Names returns the names accepted by New.
func Names() []string {
	names := []string{"bounded", "random", "leastLoaded", "twoChoices", "rendezvous", "ring"}
	sort.Strings(names)
	return names
}
