package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
	"savoryfall/core/dispatch"
)

// crowd is routers that learn of each other's loads through a hub, some hundred milliseconds late, before engines that
// all of them share.
type crowd struct {
	t       *testing.T
	routers []*dispatch.Dispatcher
	board   board.Board
	now     time.Time
	running map[string]int
	total   int
	open    []open
	// lose tells whether an engine loses the answer of the request of that number.
	lose func(id string, n int) bool
}

type open struct {
	attempt *dispatch.Attempt
	ends    time.Time
	n       int
}

const (
	reportEvery = 300 * time.Millisecond
	// Most streams are short, and a third of them are long: an engine empties and fills within a few reports.
	shortStream = 150 * time.Millisecond
	longStream  = 2 * time.Second
)

func newCrowd(t *testing.T, routers, engines int) *crowd {
	c := &crowd{t: t, now: start, running: map[string]int{}}
	for i := range routers {
		d, _ := fleet(engines)
		d.Seed(uint64(i))
		c.routers = append(c.routers, d)
	}
	return c
}

// play sends requests at a steady rate, each by the next router, and counts those that met an engine beyond the users'
// bound of twice the mean and three requests.
func (c *crowd) play(requests, perSecond, engines int) (over int) {
	for n := range requests {
		c.now = c.now.Add(time.Second / time.Duration(perSecond))
		c.end()
		c.report()
		// A stride that shares no factor with their number lets the routers take turns in no simple order.
		d := c.routers[n*7919%len(c.routers)]
		a := choose(c.t, d, dispatch.Query{Service: models, Prompt: document(uint64(n*31%400), uint64(n))}, c.now)
		id := a.Endpoint().ID
		if n > requests/4 && float64(c.running[id]) > 2*float64(c.total)/float64(engines)+3 {
			over++
		}
		c.running[id]++
		c.total++
		ends := c.now.Add(shortStream)
		if n%3 == 0 {
			ends = c.now.Add(longStream)
		}
		c.open = append(c.open, open{attempt: a, ends: ends, n: n})
	}
	return over
}

func (c *crowd) end() {
	kept := c.open[:0]
	for _, o := range c.open {
		if o.ends.After(c.now) {
			kept = append(kept, o)
			continue
		}
		id := o.attempt.Endpoint().ID
		c.running[id]--
		c.total--
		v := dispatch.Served
		if c.lose(id, o.n) {
			v = dispatch.Broken
		}
		o.attempt.End(v, c.now)
	}
	c.open = kept
}

// report lets one router tell the hub and hear from it, in turn, so that each does so every reportEvery.
func (c *crowd) report() {
	for i, d := range c.routers {
		due := c.now.Sub(start) / (reportEvery / time.Duration(len(c.routers)))
		if int(due)%len(c.routers) != i {
			continue
		}
		own := d.Work(c.now)
		c.board.Take(fmt.Sprint(i), own, d.Placed(), c.now)
		total, _ := c.board.Totals(c.now)
		d.Others(total, own, c.now)
		reads, _ := c.board.ReadsSince(0)
		d.Learn(reads)
	}
}

// Three fifths of the engines lose a third of their answers. The others are preferred, but nearly all requests must
// still meet an engine within the bound, although loads are known late.
func TestFailingEnginesDoNotOverloadTheOthers(t *testing.T) {
	const routers, engines, requests = 20, 40, 8000
	c := newCrowd(t, routers, engines)
	c.lose = func(id string, n int) bool { return id[len(id)-1] < '6' && n%10 < 3 }
	over := c.play(requests, 300, engines)
	assert.Assert(t, over < requests*3/100, "%d requests beyond the bound", over)
}

// Without trouble hardly any request meets an engine beyond the bound.
func TestLoadIsEven(t *testing.T) {
	const routers, engines, requests = 20, 40, 8000
	c := newCrowd(t, routers, engines)
	c.lose = func(string, int) bool { return false }
	over := c.play(requests, 300, engines)
	assert.Assert(t, over < requests/100, "%d requests beyond the bound", over)
}

// admit sends requests at a steady rate, one in four of them urgent and long, and counts those of each rank that were
// turned away.
func (c *crowd) admit(requests, perSecond int) (turnedAway [2]int) {
	for n := range requests {
		c.now = c.now.Add(time.Second / time.Duration(perSecond))
		c.end()
		c.report()
		rank, held := 1, time.Second
		if n%4 == 0 {
			rank, held = 0, longStream
		}
		d := c.routers[n*7919%len(c.routers)]
		q := dispatch.Query{Service: models, Rank: rank, Prompt: document(uint64(n*31%400), uint64(n))}
		a, _ := d.Choose(q, c.now)
		if a == nil {
			turnedAway[rank]++
			continue
		}
		c.running[a.Endpoint().ID]++
		c.total++
		a.Answered(dispatch.Load{}, c.now)
		c.open = append(c.open, open{attempt: a, ends: c.now.Add(held), n: n})
	}
	return turnedAway
}

// Twenty engines are three quarters full, and each of thirty routers sees a few requests a second. What one router sees is
// mostly chance: made up to the whole fleet it kept a third of the places free, and one question in six was refused
// although all could be served.
func TestManyRoutersRefuseNobodyWhoCouldBeServed(t *testing.T) {
	const routers, engines, requests = 30, 20, 1500
	c := newCrowd(t, routers, engines)
	c.lose = func(string, int) bool { return false }
	// 1.25 seconds each on average: 480 of 640 places.
	turnedAway := c.admit(requests, 384)
	assert.Assert(t, turnedAway[0]+turnedAway[1] < requests/100, "%v", turnedAway)
}

// The same fleet is asked for half as much again as it can do. The urgent are a quarter of the requests and would be
// served alone: hardly any of them may be turned away.
func TestManyRoutersKeepPlacesForTheUrgent(t *testing.T) {
	const routers, engines, requests = 30, 20, 3000
	c := newCrowd(t, routers, engines)
	c.lose = func(string, int) bool { return false }
	c.admit(requests/2, 384)
	turnedAway := c.admit(requests, 768)
	assert.Assert(t, turnedAway[0] < requests/4/20, "%v", turnedAway)
	assert.Assert(t, turnedAway[1] > 0, "%v", turnedAway)
}
