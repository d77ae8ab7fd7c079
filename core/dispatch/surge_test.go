package dispatch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
	"savoryfall/core/dispatch"
)

// A router does a call in 15 ms and has none for a while. Others have so many urgent ones that these take half of the
// places at any time. The router forgot how long a call holds its place, planned for 600 ms, in which forty times as many
// come, and turned away everybody else.
func TestHoldTimeIsNotForgotten(t *testing.T) {
	d, _ := fleet(4)
	a := choose(t, d, dispatch.Query{Service: plain, Rank: 1}, start)
	now := start.Add(15 * time.Millisecond)
	a.End(dispatch.Served, now)
	now = now.Add(500 * time.Millisecond)
	d.Others(urgentCalls(t, 1600, 24), board.Work{}, now)
	choose(t, d, dispatch.Query{Service: plain, Rank: 1}, now)
}

// Servers that are full turn calls away at once. These counted as calls that hold a place for no time at all, so that
// every router took the service for one with room and let everybody in. Three times as many urgent calls come as can be
// done: others must be turned away all the same.
func TestRefusalsDoNotCountAsShortCalls(t *testing.T) {
	d, _ := fleet(4)
	now := start
	for range 5 {
		a := choose(t, d, dispatch.Query{Service: plain}, now)
		now = now.Add(15 * time.Millisecond)
		a.End(dispatch.Served, now)
	}
	for range 20 {
		choose(t, d, dispatch.Query{Service: plain}, now).End(dispatch.Refused, now)
	}
	d.Others(urgentCalls(t, 4800, 40), board.Work{}, now)
	a, why := d.Choose(dispatch.Query{Service: plain, Rank: 1}, now)
	assert.Assert(t, a == nil)
	assert.Equal(t, why, dispatch.ReasonReserved)
}

// urgentCalls are those of other routers: so many a second, and so many running, spread over four endpoints.
func urgentCalls(t *testing.T, perSecond float64, running int) board.Work {
	other, _ := fleet(4)
	for range running {
		choose(t, other, dispatch.Query{Service: plain}, start)
	}
	w := other.Work(start)
	w.Demands[0].Came = float32(perSecond * 0.5 / math.Ln2)
	return w
}

// Other routers told of calls that an endpoint works on though nobody waits for them. They count until they have ended,
// some ten milliseconds, and not until the next word, when the endpoint has long been free.
func TestHiddenCallsOfOthersEnd(t *testing.T) {
	d, _ := fleet(1)
	a := choose(t, d, dispatch.Query{Service: plain}, start)
	now := start.Add(15 * time.Millisecond)
	own := d.Work(start)
	a.Answered(dispatch.Load{}, now)
	a.End(dispatch.Served, now)
	total := board.Work{Loads: []board.Load{{Endpoint: own.Loads[0].Endpoint, Hidden: 12}}}
	d.Others(total, board.Work{}, now)
	_, why := d.Choose(dispatch.Query{Service: plain}, now)
	assert.Equal(t, why, dispatch.ReasonFull)
	choose(t, d, dispatch.Query{Service: plain}, now.Add(200*time.Millisecond))
}
