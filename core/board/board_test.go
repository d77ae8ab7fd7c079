package board_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
)

var start = time.Unix(1000, 0)

// reported is a board to which routers have reported work at some endpoints, with counts that have faded.
func reported(routers, endpoints int) *board.Board {
	b := &board.Board{}
	for i := range routers {
		var w board.Work
		for e := range endpoints {
			faded := 1 / float32(1+i+e)
			w.Loads = append(w.Loads, board.Load{Endpoint: uint32(e), Running: 1, Bad: faded, All: 3 * faded})
			w.Demands = append(w.Demands, board.Demand{Service: 1, Rank: e, Came: faded})
		}
		b.Take(fmt.Sprint("vm", i), w, nil, start)
	}
	return b
}

// Routers that heard the same reports disagreed in the last digit of how often an endpoint fails and what is asked: the
// reports were added up in another order each time, so that no run of a fleet could be repeated.
func TestSameReportsGiveTheSameTotals(t *testing.T) {
	b := reported(30, 5)
	want, routers := b.Totals(start)
	assert.Equal(t, routers, 30)
	for range 100 {
		got, _ := b.Totals(start)
		assert.DeepEqual(t, got, want)
	}
}

func BenchmarkTotals(b *testing.B) {
	full := reported(100, 90)
	b.ReportAllocs()
	for b.Loop() {
		full.Totals(start)
	}
}
