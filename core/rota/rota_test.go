package rota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/rota"
)

const step = 100 * time.Millisecond

// play lets 60 routers report for some time to a hub that cannot read, and counts who was asked; those that can read deliver
// what they read and the others say that they fail.
func play(r *rota.Rota, reads func(name string) bool, last time.Duration) (asked map[string]bool, reading int) {
	asked = map[string]bool{}
	asking := map[string]bool{}
	starving := true
	for now := time.Duration(0); now < last; now += step {
		reading = 0
		for i := range 60 {
			name := fmt.Sprint(i)
			if asking[name] && reads(name) {
				r.Delivered(name, now)
				starving = false
			}
			asking[name] = r.Asks(rota.Router{Name: name, Failing: asked[name] && !reads(name)}, rota.Hub{Failing: true, Starving: starving}, now)
			if asking[name] {
				asked[name] = true
				reading++
			}
		}
	}
	return asked, reading
}

// In an outage of the whole store every router tried to read by itself; now hardly more than one a second does.
func TestOutageIsTriedByFew(t *testing.T) {
	asked, reading := play(&rota.Rota{}, func(string) bool { return false }, 10*time.Second)
	assert.Assert(t, len(asked) >= 8 && len(asked) <= 14, "%d asked", len(asked))
	assert.Assert(t, reading <= 2)
}

// The store serves two in three: one of them is found within a second, stays, and nobody else is asked.
func TestOneThatReadsIsFoundAndKept(t *testing.T) {
	reads := func(name string) bool { return name != "0" && name != "1" }
	asked, _ := play(&rota.Rota{}, reads, time.Second)
	assert.Assert(t, len(asked) <= 4)
	asked, reading := play(&rota.Rota{}, reads, 10*time.Second)
	assert.Assert(t, len(asked) <= 4, "%d asked", len(asked))
	assert.Assert(t, reading >= 1 && reading <= 2)
}

// A hub that reads again asks nobody, and one that begins to fail asks nobody until what it knows gets old.
func TestHubThatReadsAsksNobody(t *testing.T) {
	r := &rota.Rota{}
	one := rota.Router{Name: "a"}
	assert.Assert(t, !r.Asks(one, rota.Hub{Failing: true}, 0))
	assert.Assert(t, r.Asks(one, rota.Hub{Failing: true, Starving: true}, 0))
	assert.Assert(t, r.Asks(one, rota.Hub{Failing: true}, step))
	assert.Assert(t, !r.Asks(one, rota.Hub{}, 2*step))
}

// A router that knows more is asked at once, however many were asked before.
func TestWhoKnowsMoreIsAsked(t *testing.T) {
	r := &rota.Rota{}
	h := rota.Hub{Failing: true, Starving: true}
	for i := range 10 {
		r.Asks(rota.Router{Name: fmt.Sprint(i)}, h, 0)
	}
	assert.Assert(t, r.Asks(rota.Router{Name: "knows", Newer: true}, h, 0))
}
