package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
	"savoryfall/core/dispatch"
)

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
