package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/claim"
	"savoryfall/core/outcome"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

const (
	claimants = 4
	keys      = 2
	window    = time.Hour
)

// step is one action of one claimant; the claimant's stage determines which one.
type step struct {
	actor      int
	appendLost bool
	result     outcome.Outcome
}

func histories() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			actor:      rapid.IntRange(0, claimants-1).Draw(t, "actor"),
			appendLost: rapid.IntRange(0, 4).Draw(t, "appendLost") == 0,
			result:     rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.Unknown, outcome.NotRun}).Draw(t, "result"),
		}
	})
	return rapid.SliceOfN(one, 1, 60)
}

// claimant cycles through these stages: append a claim, read it back and send the call if it owns the key, append the
// outcome.
type claimant struct {
	stage   int
	attempt int
	key     string
	result  outcome.Outcome
}

// simulate runs a history and counts how often the call of each key ran. Without readBack, a claimant sends the call as
// soon as its append succeeds.
func simulate(steps []step, readBack bool) (ran map[string]int) {
	table := claim.NewTable(window)
	ran = map[string]int{}
	offset := int64(0)
	at := time.Unix(1_000_000, 0)
	appendRecord := func(r claim.Record) {
		at = at.Add(time.Second)
		table.Apply(offset, at, claim.Encode([]claim.Record{r}))
		offset++
	}
	claimantStates := make([]claimant, claimants)
	for _, s := range steps {
		c := &claimantStates[s.actor]
		attempt := fmt.Sprintf("attempt-%d-%d", s.actor, c.attempt)
		switch c.stage {
		case 0:
			c.key = fmt.Sprintf("key-%d", (s.actor+c.attempt)%keys)
			if !s.appendLost {
				appendRecord(claim.Record{Kind: claim.KindClaim, Account: "a", Key: c.key, Attempt: attempt, Digest: "d"})
			}
			c.stage = 1
		case 1:
			ownership, _ := table.OwnershipOf("a", c.key, attempt, "d")
			if readBack && ownership != claim.Owner {
				c.stage, c.attempt = 0, c.attempt+1
				continue
			}
			c.result = s.result
			if c.result != outcome.NotRun {
				ran[c.key]++
			}
			c.stage = 2
		case 2:
			if !s.appendLost {
				appendRecord(claim.Record{Kind: claim.KindOutcome, Account: "a", Key: c.key, Attempt: attempt, Outcome: c.result})
			}
			c.stage, c.attempt = 0, c.attempt+1
		}
	}
	return ran
}

func ranTwice(ran map[string]int) bool {
	for _, n := range ran {
		if n > 1 {
			return true
		}
	}
	return false
}

// A claimed call runs at most once, whatever the order of claims, lost appends and outcomes.
func TestClaimedCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ran := simulate(histories().Draw(t, "history"), true)
		if ranTwice(ran) {
			t.Fatalf("ran %v", ran)
		}
	})
}

// If claimants send right after the append, without reading back the order in the log, some history runs a call twice.
// This shows that the property above can fail.
func TestClaimWithoutReadBackRunsTwice(t *testing.T) {
	caught := 0
	for seed := range 200 {
		if ran := simulate(histories().Example(seed), false); ranTwice(ran) {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// An attempt that lost the claim may not send the call and sees the outcome once it is recorded. A request with another
// digest is rejected.
func TestClaimStatus(t *testing.T) {
	b := claim.NewTable(window)
	at := time.Unix(1_000_000, 0)
	apply := func(offset int64, r claim.Record) { b.Apply(offset, at, claim.Encode([]claim.Record{r})) }
	stand := func(attempt, digest string) claim.Ownership {
		s, _ := b.OwnershipOf("a", "k", attempt, digest)
		return s
	}
	assert.Equal(t, stand("first", "d"), claim.Unclaimed)
	apply(0, claim.Record{Kind: claim.KindClaim, Account: "a", Key: "k", Attempt: "first", Digest: "d"})
	apply(1, claim.Record{Kind: claim.KindClaim, Account: "a", Key: "k", Attempt: "second", Digest: "d"})
	assert.Equal(t, stand("first", "d"), claim.Owner)
	assert.Equal(t, stand("second", "d"), claim.Pending)
	assert.Equal(t, stand("third", "other"), claim.Mismatch)
	apply(2, claim.Record{Kind: claim.KindOutcome, Account: "a", Key: "k", Attempt: "second", Outcome: outcome.NotRun})
	assert.Equal(t, stand("second", "d"), claim.Pending, "only the owner's outcome counts")
	apply(3, claim.Record{Kind: claim.KindOutcome, Account: "a", Key: "k", Attempt: "first", Outcome: outcome.Ran, Status: 201})
	s, result := b.OwnershipOf("a", "k", "second", "d")
	assert.Equal(t, s, claim.Settled)
	assert.Equal(t, result.Status, 201)
}

// A key expires after the window. A table that starts late doesn't cover all keys until a full window has passed.
func TestClaimsExpireAfterWindow(t *testing.T) {
	b := claim.NewTable(window)
	at := time.Unix(1_000_000, 0)
	b.SkipTo(7, at)
	b.Apply(7, at, claim.Encode([]claim.Record{{Kind: claim.KindClaim, Account: "a", Key: "k", Attempt: "x", Digest: "d"}}))
	assert.Assert(t, !b.CompleteAt(at.Add(window-time.Second)))
	assert.Assert(t, b.CompleteAt(at.Add(window)))
	assert.Equal(t, b.Len(), 1)
	b.Apply(8, at.Add(window+time.Second), claim.Encode(nil))
	assert.Equal(t, b.Len(), 0)
}
