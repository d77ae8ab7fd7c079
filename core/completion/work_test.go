package completion_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/completion"
)

const (
	ms = time.Millisecond
	us = time.Microsecond
)

// stream is a stream on an endpoint with nothing else to do.
var stream = completion.Work{
	Slots: 24, HoldTime: 1200 * ms, TokensPerMs: 100, EventTime: 35 * ms, Events: 21, MissingTokens: 1000, CacheTokens: 300000, RequestTokens: 2000,
}

// Guards against an input that does not count, counts twice, or counts where it should not.
func TestEachInputCounts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(w *completion.Work)
		// first and last are the expected times.
		first, last time.Duration
	}{
		{"at ease", func(*completion.Work) {}, 45 * ms, 745 * ms},
		{"running below the slots", func(w *completion.Work) { w.Running = 23 }, 45 * ms, 745 * ms},
		{"running at the slots", func(w *completion.Work) { w.Running = 24 }, 95 * ms, 795 * ms},
		{"waiting", func(w *completion.Work) { w.Running, w.Waiting = 24, 3 }, 245 * ms, 945 * ms},
		{"running below the slots, estimated", func(w *completion.Work) { w.Running, w.LoadError = 23, 4 }, 124788 * us, 824788 * us},
		{"running far below the slots, estimated", func(w *completion.Work) { w.Running, w.LoadError = 3, 4 }, 45 * ms, 745 * ms},
		{"slots unknown", func(w *completion.Work) { w.Running, w.Slots = 24, 0 }, 45 * ms, 745 * ms},
		{"hold time", func(w *completion.Work) { w.Running, w.HoldTime = 24, 2400*ms }, 145 * ms, 845 * ms},
		{"more urgent", func(w *completion.Work) { w.Running, w.UrgentShare = 24, 0.75 }, 245 * ms, 945 * ms},
		{"only more urgent", func(w *completion.Work) { w.Running, w.UrgentShare = 24, 2 }, 1045 * ms, 1745 * ms},
		{"unread", func(w *completion.Work) { w.UnreadTokens = 5000 }, 95 * ms, 795 * ms},
		{"cached", func(w *completion.Work) { w.MissingTokens = 0 }, 35 * ms, 735 * ms},
		{"fetched", func(w *completion.Work) { w.MissingTokens, w.FetchedTokens = 11000, 10000 }, 73 * ms, 773 * ms},
		{"rate of reading", func(w *completion.Work) { w.TokensPerMs = 50 }, 55 * ms, 755 * ms},
		{"rate unknown", func(w *completion.Work) { w.TokensPerMs = 0 }, 35 * ms, 735 * ms},
		{"event time", func(w *completion.Work) { w.EventTime = 10 * ms }, 20 * ms, 220 * ms},
		{"events", func(w *completion.Work) { w.Events = 1 }, 45 * ms, 45 * ms},
		{"slowdown", func(w *completion.Work) { w.Slowdown = 2 }, 90 * ms, 1490 * ms},
		{"slowdown with a fetch", func(w *completion.Work) { w.FetchedTokens, w.Slowdown = 1000, 2 }, 80 * ms, 1480 * ms},
		{"plain", func(w *completion.Work) { w.Events, w.PlainTime, w.Slowdown = 0, 30*ms, 2 }, 60 * ms, 60 * ms},
		{"plain beyond the slots", func(w *completion.Work) {
			*w = completion.Work{PlainTime: 30 * ms, Slots: 6, Running: 6, Waiting: 5, HoldTime: 30 * ms}
		}, 60 * ms, 60 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := stream
			tc.change(&w)
			e := w.Estimate()
			assert.Equal(t, e.First.Round(time.Microsecond), tc.first)
			assert.Equal(t, e.Last.Round(time.Microsecond), tc.last)
		})
	}
}

// Guards against an endpoint that crashes because the requests that it is given exceed its memory.
func TestMemory(t *testing.T) {
	w := stream
	w.HeldTokens = 298000
	assert.Assert(t, w.HasMemory())
	w.HeldTokens++
	assert.Assert(t, !w.HasMemory())
	w.CacheTokens = 0
	assert.Assert(t, w.HasMemory(), "its size is unknown")
	w.CacheTokens, w.HeldTokens, w.RequestTokens = 1000, 0, 2000
	assert.Assert(t, w.HasMemory(), "nothing else is held")
}

// Guards against a request that is given where it is late, or refused because a limit is unknown.
func TestWithin(t *testing.T) {
	e := completion.Estimate{First: 400 * ms, Last: 2 * time.Second}
	assert.Assert(t, e.Within(400*ms, 2*time.Second))
	assert.Assert(t, !e.Within(399*ms, 2*time.Second))
	assert.Assert(t, !e.Within(400*ms, 1999*ms))
	assert.Assert(t, e.Within(0, 0))
}

// Guards against overflow: an endpoint that reports nonsense must look late and not early.
func TestNonsenseIsLate(t *testing.T) {
	for _, x := range []float64{1e300, math.Inf(1), math.NaN()} {
		w := stream
		w.Running = x
		assert.Assert(t, x != x || w.Estimate().First >= time.Hour, "%v", w.Estimate())
		w = stream
		w.Slowdown = x
		assert.Assert(t, w.Estimate().First >= time.Hour && w.Estimate().Last >= time.Hour, "%v", w.Estimate())
	}
	w := stream
	w.Running, w.MissingTokens, w.UnreadTokens, w.Slowdown = -5, -100, -100, -1
	assert.Equal(t, w.Estimate().First, 35*ms)
}
