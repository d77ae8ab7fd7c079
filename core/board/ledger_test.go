package board_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
)

// A router that is told only what changed knows the same as one that is told everything, also of endpoints that have become
// idle meanwhile.
func TestChangesAddUpToTheWhole(t *testing.T) {
	var l board.Ledger
	var told board.Work
	var number int64
	for round := range 20 {
		b := &board.Board{}
		var w board.Work
		for e := range 30 {
			if (e+round)%3 > 0 {
				w.Loads = append(w.Loads, board.Load{Endpoint: uint32(e), Running: 1 + e*round%5, All: float32(e) / 7})
			}
		}
		b.Take("vm", w, nil, start)
		total, _ := b.Totals(start)
		l.Take(total, start)
		var changed board.Work
		since := number
		changed, number = l.Since(number)
		told = told.Merge(changed, since == 0)
		whole, _ := l.Since(0)
		assert.Equal(t, len(told.Loads), len(whole.Loads))
		want := map[uint32]board.Load{}
		for _, load := range whole.Loads {
			want[load.Endpoint] = load
		}
		for _, load := range told.Loads {
			assert.Equal(t, load, want[load.Endpoint])
		}
	}
}

// Counts that fade are off by a sixteenth at most, and are no news with each report.
func TestFadingIsSeldomNews(t *testing.T) {
	var l board.Ledger
	news, v := 0, float32(10)
	var number int64
	for range 100 {
		l.Take(board.Work{Loads: []board.Load{{Endpoint: 1, Running: 1, All: v}}}, start)
		var w board.Work
		w, number = l.Since(number)
		news += len(w.Loads)
		whole, _ := l.Since(0)
		assert.Assert(t, whole.Loads[0].All >= v*15/16 && whole.Loads[0].All <= v*17/16, "%v of %v", whole.Loads[0].All, v)
		v *= 0.99
	}
	assert.Assert(t, news < 20, "%d", news)
}

// Three hubs of a fleet add up what their routers report and hear of the rest from the first. Each must know the loads of all
// routers, none of them twice.
func TestLevelsAddUp(t *testing.T) {
	first := &board.Board{}
	hubs := []*board.Board{{}, {}, {}}
	for i, h := range hubs {
		h.Take("a", board.Work{Loads: []board.Load{{Endpoint: 1, Running: 1 + i}}, Demands: []board.Demand{{Service: 1, Running: 1}}}, nil, start)
		h.Take("b", board.Work{Loads: []board.Load{{Endpoint: 1, Running: 10}, {Endpoint: uint32(2 + i), Running: 1}}}, nil, start)
	}
	for round := range 2 {
		for i, h := range hubs {
			reported, _ := h.Reported(start)
			first.Take(string(rune('x'+i)), reported, nil, start)
			total, _ := first.Totals(start)
			h.HearTotal(total, reported, start)
		}
		if round == 0 {
			continue
		}
		for _, h := range hubs {
			total, routers := h.Totals(start)
			assert.Equal(t, routers, 2)
			assert.Equal(t, running(total, 1), 36)
			assert.Equal(t, running(total, 4), 1)
			assert.Equal(t, total.Demands[0].Running, 3)
		}
	}
	// What was heard long ago does not count.
	total, _ := hubs[0].Totals(start.Add(board.ReportAge + time.Millisecond))
	assert.Equal(t, len(total.Loads), 0)
}

func running(w board.Work, endpoint uint32) int {
	for _, l := range w.Loads {
		if l.Endpoint == endpoint {
			return l.Running
		}
	}
	return 0
}
