package lease_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/lease"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

const (
	duty    = "orders/temuco-uno"
	term    = 10 * time.Second
	longest = 2 * time.Second
	tick    = 500 * time.Millisecond
)

// history holds the events of a simulation of two routers and the log, per tick.
type history struct {
	// paused reports for each tick and router whether the router is paused.
	paused [][2]bool
	// delay is the number of ticks until an append becomes visible, and lag how many ticks each router's reads are
	// behind.
	delay []int
	lag   [2]int
	// acts is, for each tick and router, the number of ticks between the decision to act and the action, as in a pause
	// at the worst moment.
	acts [][2]int
}

func histories() *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		n := rapid.IntRange(60, 240).Draw(t, "ticks")
		h := history{lag: [2]int{rapid.IntRange(0, 12).Draw(t, "lagA"), rapid.IntRange(0, 12).Draw(t, "lagB")}}
		for len(h.paused) < n {
			run := rapid.IntRange(1, 60).Draw(t, "run")
			p := [2]bool{rapid.Bool().Draw(t, "pausedA"), rapid.IntRange(0, 3).Draw(t, "pausedB") == 0}
			for range min(run, n-len(h.paused)) {
				h.paused = append(h.paused, p)
			}
		}
		h.delay = rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 3, 12, 40}), n, n).Draw(t, "delay")
		for range n {
			h.acts = append(h.acts, [2]int{rapid.IntRange(0, 30).Draw(t, "gapA"), rapid.IntRange(0, 30).Draw(t, "gapB")})
		}
		return h
	})
}

type pendingAppend struct {
	visibleAt int
	data      []byte
}

type act struct {
	router     int
	begin, end time.Time
}

// simulate runs a history. If checkBeforeActing is false, actions rely on a check made some ticks earlier.
func simulate(h history, checkBeforeActing bool) (acts []act) {
	start := time.Unix(1_000_000, 0)
	var log [][]byte
	var pending []pendingAppend
	var clocks [2]*lease.Tracker
	var tables [2]lease.Table
	var actAt [2]int
	for i := range clocks {
		clocks[i] = lease.NewTracker(fmt.Sprint("router", i), duty, lease.Terms{Term: term, MaxAction: longest})
		actAt[i] = -1
	}
	var logLengths []int
	for n := range h.paused {
		now := start.Add(time.Duration(n) * tick)
		pending = slices.DeleteFunc(pending, func(f pendingAppend) bool {
			if f.visibleAt <= n {
				log = append(log, f.data)
			}
			return f.visibleAt <= n
		})
		logLengths = append(logLengths, len(log))
		for i, c := range clocks {
			if h.paused[n][i] {
				continue
			}
			visible := logLengths[max(n-h.lag[i], 0)]
			for o := tables[i].Next(); o < int64(visible); o++ {
				tables[i].Apply(o, log[o])
			}
			l, known := tables[i].Lease(duty)
			c.Observe(l, known, now)
			if r, ok := c.NextRecord(now); ok {
				pending = append(pending, pendingAppend{visibleAt: n + h.delay[n], data: c.BeginAppend(r, now).Encode()})
			}
			_, allowed := c.MayAct(now)
			if checkBeforeActing && allowed {
				acts = append(acts, act{router: i, begin: now, end: now.Add(longest)})
			}
			if !checkBeforeActing && actAt[i] >= 0 && n >= actAt[i] {
				acts = append(acts, act{router: i, begin: now, end: now.Add(longest)})
				actAt[i] = -1
			}
			if !checkBeforeActing && allowed && actAt[i] < 0 {
				actAt[i] = n + h.acts[n][i]
			}
		}
	}
	return acts
}

func overlapping(acts []act) bool {
	for i, a := range acts {
		for _, b := range acts[i+1:] {
			if a.router != b.router && a.begin.Before(b.end) && b.begin.Before(a.end) {
				return true
			}
		}
	}
	return false
}

// Two holders never act at the same time, whatever is paused or delayed.
func TestTwoHoldersNeverActAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := histories().Draw(t, "history")
		if overlapping(simulate(h, true)) {
			t.Fatal("two holders acted at once")
		}
	})
}

// If the lease isn't checked right before the action, some history has overlapping actions. This shows that the
// property above can fail.
func TestActingOnAStaleCheckOverlaps(t *testing.T) {
	caught := 0
	for seed := range 300 {
		if overlapping(simulate(histories().Example(seed), false)) {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// In some histories both routers act, one after the other; otherwise the property above would hold trivially.
func TestBothRoutersActInSomeHistory(t *testing.T) {
	both := 0
	for seed := range 300 {
		seen := map[int]bool{}
		for _, a := range simulate(histories().Example(seed), true) {
			seen[a.router] = true
		}
		if len(seen) == 2 {
			both++
		}
	}
	assert.Assert(t, both > 0)
}

// Two routers that find the lease free append at the same time; the log order gives it to the first one only.
func TestFirstOfTwoChallengersWins(t *testing.T) {
	var table lease.Table
	for i, name := range []string{"a", "b"} {
		table.Apply(int64(i), lease.Record{Kind: lease.KindAcquire, Duty: duty, Holder: name, After: lease.NoRecord}.Encode())
	}
	l, known := table.Lease(duty)
	assert.Assert(t, known)
	assert.Equal(t, l.Holder, "a")
	assert.Equal(t, l.Fence, int64(0))
}

// A renewal is read while a newer one is in flight. The term starts at the append of the one that was read, because a
// challenger may have read it long ago and waits from then on.
func TestTermStartsAtTheAppendThatWasRead(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(s) * time.Second) }
	c := lease.NewTracker("a", duty, lease.Terms{Term: term, MaxAction: longest})
	c.Observe(lease.Lease{}, false, at(0))
	acquire, _ := c.NextRecord(at(0))
	first := c.BeginAppend(acquire, at(0))
	c.Observe(lease.Lease{Holder: "a", Seq: first.Seq}, true, at(0))
	renew, ok := c.NextRecord(at(4))
	assert.Assert(t, ok)
	older := c.BeginAppend(renew, at(4))
	c.BeginAppend(renew, at(8))
	c.Observe(lease.Lease{Holder: "a", LastOffset: 1, Seq: older.Seq}, true, at(9))
	_, allowed := c.MayAct(at(13))
	assert.Assert(t, allowed)
	_, allowed = c.MayAct(at(15))
	assert.Assert(t, !allowed)
}
