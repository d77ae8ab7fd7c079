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

// history is what happens to two routers and the log, tick by tick.
type history struct {
	// paused tells for each tick and router whether it stands still.
	paused [][2]bool
	// delay is how many ticks each append takes to land, and lag how many ticks each router reads behind.
	delay []int
	lag   [2]int
	// acts tells for each tick and router whether it wants to act, and how many ticks pass between its decision to
	// act and the act, as in a pause at the worst moment.
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

type inFlight struct {
	lands int
	data  []byte
}

type act struct {
	who        int
	begin, end time.Time
}

// run plays a history. With checked false an act relies on a check made some ticks earlier.
func run(h history, checked bool) (acts []act) {
	start := time.Unix(1_000_000, 0)
	var log [][]byte
	var landing []inFlight
	var clocks [2]*lease.Clock
	var tables [2]lease.Table
	var decided [2]int
	for i := range clocks {
		clocks[i] = lease.NewClock(fmt.Sprint("router", i), duty, lease.Terms{Term: term, Longest: longest})
		decided[i] = -1
	}
	var lengths []int
	for n := range h.paused {
		now := start.Add(time.Duration(n) * tick)
		landing = slices.DeleteFunc(landing, func(f inFlight) bool {
			if f.lands <= n {
				log = append(log, f.data)
			}
			return f.lands <= n
		})
		lengths = append(lengths, len(log))
		for i, c := range clocks {
			if h.paused[n][i] {
				continue
			}
			visible := lengths[max(n-h.lag[i], 0)]
			for o := tables[i].Next(); o < int64(visible); o++ {
				tables[i].Apply(o, log[o])
			}
			l, known := tables[i].Lease(duty)
			c.Observe(l, known, now)
			if r, ok := c.Wanted(now); ok {
				landing = append(landing, inFlight{lands: n + h.delay[n], data: c.Appending(r, now).Encode()})
			}
			_, may := c.MayAct(now)
			if checked && may {
				acts = append(acts, act{who: i, begin: now, end: now.Add(longest)})
			}
			if !checked && decided[i] >= 0 && n >= decided[i] {
				acts = append(acts, act{who: i, begin: now, end: now.Add(longest)})
				decided[i] = -1
			}
			if !checked && may && decided[i] < 0 {
				decided[i] = n + h.acts[n][i]
			}
		}
	}
	return acts
}

func overlap(acts []act) bool {
	for i, a := range acts {
		for _, b := range acts[i+1:] {
			if a.who != b.who && a.begin.Before(b.end) && b.begin.Before(a.end) {
				return true
			}
		}
	}
	return false
}

// Two holders never act at once, whatever is paused, late, or lost for a while.
func TestTwoHoldersNeverActAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := histories().Draw(t, "history")
		if overlap(run(h, true)) {
			t.Fatal("two holders acted at once")
		}
	})
}

// Without the check right before the act, the property above is broken, and the histories find that.
func TestActingOnAnOldCheckIsCaught(t *testing.T) {
	caught := 0
	for seed := range 300 {
		if overlap(run(histories().Example(seed), false)) {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// Some history has both routers act, one after the other; else the property above would hold for nothing.
func TestDutyChangesHands(t *testing.T) {
	both := 0
	for seed := range 300 {
		seen := map[int]bool{}
		for _, a := range run(histories().Example(seed), true) {
			seen[a.who] = true
		}
		if len(seen) == 2 {
			both++
		}
	}
	assert.Assert(t, both > 0)
}

// Two routers that find the duty free append in the same instant; the order of the log gives it to the first only.
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

// A renewal is read late, while a newer one is under way. The term runs from the append of the one that was read: a
// challenger may have read it long ago, and counts from then.
func TestTermRunsFromTheRenewalThatLanded(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(s) * time.Second) }
	c := lease.NewClock("a", duty, lease.Terms{Term: term, Longest: longest})
	c.Observe(lease.Lease{}, false, at(0))
	acquire, _ := c.Wanted(at(0))
	first := c.Appending(acquire, at(0))
	c.Observe(lease.Lease{Holder: "a", Seq: first.Seq}, true, at(0))
	renew, ok := c.Wanted(at(4))
	assert.Assert(t, ok)
	older := c.Appending(renew, at(4))
	c.Appending(renew, at(8))
	c.Observe(lease.Lease{Holder: "a", Last: 1, Seq: older.Seq}, true, at(9))
	_, may := c.MayAct(at(13))
	assert.Assert(t, may)
	_, may = c.MayAct(at(15))
	assert.Assert(t, !may)
}
