package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/dispatch"
	"savoryfall/core/fleetload"
)

// routerFleet is a fleet of routers that share engines and learn of each other's loads through a hub, some hundred
// milliseconds late.
type routerFleet struct {
	t          *testing.T
	routers    []*dispatch.Dispatcher
	aggregator fleetload.Aggregator
	now        time.Time
	running    map[string]int
	total      int
	open       []open
	// losesAnswer reports whether an engine loses the answer to request n.
	losesAnswer func(id string, n int) bool
}

type open struct {
	attempt *dispatch.Attempt
	ends    time.Time
	n       int
}

const (
	reportInterval = 300 * time.Millisecond
	// shortStream and longStream are the durations of two thirds and one third of the streams: an engine
	// empties and fills within a few reports.
	shortStream = 150 * time.Millisecond
	longStream  = 2 * time.Second
)

func newRouterFleet(t *testing.T, routers, engines int) *routerFleet {
	c := &routerFleet{t: t, now: start, running: map[string]int{}}
	for i := range routers {
		d, _ := newDispatcher(engines)
		d.Seed(uint64(i))
		c.routers = append(c.routers, d)
	}
	return c
}

// run sends requests at a steady rate, each through the next router, and counts those that met an engine beyond the
// users' bound of twice the mean and three requests.
func (f *routerFleet) run(requests, perSecond, engines int) (beyondBound int) {
	for n := range requests {
		f.now = f.now.Add(time.Second / time.Duration(perSecond))
		f.endDue()
		f.exchangeReports()
		// The stride is coprime to the number of routers, so that they do not take turns in a simple order.
		d := f.routers[n*7919%len(f.routers)]
		a := choose(f.t, d, dispatch.Query{Service: models, Prompt: document(uint64(n*31%400), uint64(n))}, f.now)
		id := a.Endpoint().ID
		if n > requests/4 && float64(f.running[id]) > 2*float64(f.total)/float64(engines)+3 {
			beyondBound++
		}
		f.running[id]++
		f.total++
		ends := f.now.Add(shortStream)
		if n%3 == 0 {
			ends = f.now.Add(longStream)
		}
		f.open = append(f.open, open{attempt: a, ends: ends, n: n})
	}
	return beyondBound
}

func (f *routerFleet) endDue() {
	kept := f.open[:0]
	for _, o := range f.open {
		if o.ends.After(f.now) {
			kept = append(kept, o)
			continue
		}
		id := o.attempt.Endpoint().ID
		f.running[id]--
		f.total--
		v := dispatch.Served
		if f.losesAnswer(id, o.n) {
			v = dispatch.Broken
		}
		o.attempt.End(v, f.now)
	}
	f.open = kept
}

// exchangeReports lets the routers report to the hub and receive its response in turn, so that each does so every
// reportInterval.
func (f *routerFleet) exchangeReports() {
	for i, d := range f.routers {
		due := f.now.Sub(start) / (reportInterval / time.Duration(len(f.routers)))
		if int(due)%len(f.routers) != i {
			continue
		}
		own := d.OwnWorkload(f.now)
		f.aggregator.AddReport(fmt.Sprint(i), own, d.TakeReads(), f.now)
		total, _ := f.aggregator.Totals(f.now)
		d.SetFleetWorkload(total, own, f.now)
		reads, _ := f.aggregator.ReadsSince(0)
		d.RecordReads(reads)
	}
}

// Three fifths of the engines lose a third of their answers. The others are preferred, but nearly all requests must
// still meet an engine within the bound, although loads are known late.
func TestFailingEnginesDoNotOverloadTheOthers(t *testing.T) {
	t.Parallel()
	const routers, engines, requests = 20, 40, 8000
	c := newRouterFleet(t, routers, engines)
	c.losesAnswer = func(id string, n int) bool { return id[len(id)-1] < '6' && n%10 < 3 }
	over := c.run(requests, 300, engines)
	assert.Assert(t, over < requests*3/100, "%d requests beyond the bound", over)
}

// Without failures hardly any request meets an engine beyond the bound.
func TestLoadIsEven(t *testing.T) {
	t.Parallel()
	const routers, engines, requests = 20, 40, 8000
	c := newRouterFleet(t, routers, engines)
	c.losesAnswer = func(string, int) bool { return false }
	over := c.run(requests, 300, engines)
	assert.Assert(t, over < requests/100, "%d requests beyond the bound", over)
}

// runRanked sends requests at a steady rate, one in four of them urgent and long, and counts the refused ones of each
// rank.
func (f *routerFleet) runRanked(requests, perSecond int) (refused [2]int) {
	for n := range requests {
		f.now = f.now.Add(time.Second / time.Duration(perSecond))
		f.endDue()
		f.exchangeReports()
		rank, held := 1, time.Second
		if n%4 == 0 {
			rank, held = 0, longStream
		}
		d := f.routers[n*7919%len(f.routers)]
		q := dispatch.Query{Service: models, Rank: rank, Prompt: document(uint64(n*31%400), uint64(n))}
		a, _ := d.Choose(q, f.now)
		if a == nil {
			refused[rank]++
			continue
		}
		f.running[a.Endpoint().ID]++
		f.total++
		a.RecordFirstBytes(dispatch.Load{}, f.now)
		f.open = append(f.open, open{attempt: a, ends: f.now.Add(held), n: n})
	}
	return refused
}

// Twenty engines are three quarters full, and each of thirty routers sees a few requests a second. What one router
// sees is mostly chance: extrapolated to the whole fleet it kept a third of the capacity free, and one question in six
// was refused although all could be served.
func TestManyRoutersAdmitAllWithinCapacity(t *testing.T) {
	const routers, engines, requests = 30, 20, 1500
	c := newRouterFleet(t, routers, engines)
	c.losesAnswer = func(string, int) bool { return false }
	// 1.25 seconds each on average: 480 of 640 slots.
	refused := c.runRanked(requests, 384)
	assert.Assert(t, refused[0]+refused[1] < requests/100, "%v", refused)
}

// The same fleet gets half as much again as it can serve. The urgent are a quarter of the requests and could all be
// served: hardly any of them may be refused.
func TestManyRoutersReserveCapacityForUrgentRequests(t *testing.T) {
	const routers, engines, requests = 30, 20, 3000
	c := newRouterFleet(t, routers, engines)
	c.losesAnswer = func(string, int) bool { return false }
	c.runRanked(requests/2, 384)
	refused := c.runRanked(requests, 768)
	assert.Assert(t, refused[0] < requests/4/20, "%v", refused)
	assert.Assert(t, refused[1] > 0, "%v", refused)
}

// Guards against a slot that stays taken while a slow client reads an answer which the endpoint has sent completely.
func TestSentAnswerHoldsNoSlot(t *testing.T) {
	d, _ := newDispatcher(1)
	a := choose(t, d, dispatch.Query{Service: models}, start)
	running := func() int {
		loads := d.OwnWorkload(start).Loads
		if len(loads) == 0 {
			return 0
		}
		return loads[0].Running
	}
	assert.Equal(t, running(), 1)
	a.RecordSent(start.Add(time.Second))
	assert.Equal(t, running(), 0)
	a.End(dispatch.Served, start.Add(time.Minute))
	assert.Equal(t, running(), 0)
}
