package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/prompt"
)

// A slow plain endpoint gets less than its share.
func TestSlowPlainEndpointGetsLess(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		d, _ := newDispatcher(4)
		d.Seed(seed)
		used := map[string]int{}
		now := start
		for range 400 {
			a := choose(t, d, dispatch.Query{Service: plain}, now)
			used[a.Endpoint().ID]++
			took := 15 * time.Millisecond
			if a.Endpoint().ID == "plain2" {
				took *= 5
			}
			now = now.Add(took)
			a.End(dispatch.Served, now)
		}
		assert.Assert(t, used["plain2"] < 40, "%v", used)
	})
}

// An engine works at an eighth of the speed of the others. Its requests stay there longer, so that it looks busy and
// gets less than its share without any other record of its speed; it must get its share again when it has recovered.
func TestSlowEngineGetsLessForAsLongAsItIsSlow(t *testing.T) {
	d, _ := newDispatcher(4)
	var running []open
	now, used := start, map[bool]int{}
	for n := range uint64(1200) {
		slow := n < 600
		now = now.Add(10 * time.Millisecond)
		running = slices.DeleteFunc(running, func(o open) bool {
			if !o.ends.After(now) {
				o.attempt.End(dispatch.Served, now)
			}
			return !o.ends.After(now)
		})
		a := choose(t, d, dispatch.Query{Service: models, Prompt: prompt.Chain{{ID: n, Tokens: 10}}}, now)
		took := 200 * time.Millisecond
		if a.Endpoint().ID == "models2" {
			used[slow]++
			if slow {
				took *= 8
			}
		}
		a.RecordFirstBytes(dispatch.Load{}, now)
		running = append(running, open{attempt: a, ends: now.Add(took)})
	}
	assert.Assert(t, used[true] < 600/4/2, "%v", used)
	assert.Assert(t, used[false] > 600/4*3/4, "%v", used)
}
