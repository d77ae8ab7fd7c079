package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/health"
)

// list applies a read of the VM list that shows the endpoint e, asked for at the given time after the start.
func list(h *health.Table, asked time.Duration, leaving bool) {
	h.Listed("e", leaving)
	h.ListRead(start.Add(asked))
}

// probe records an answer of the incarnation to a request sent at the given time after the start.
func probe(h *health.Table, asked time.Duration, incarnation string) {
	h.RecordAnswer("e", incarnation, false, start.Add(asked))
}

func assertState(t *testing.T, h *health.Table, at time.Duration, want health.State) {
	t.Helper()
	assert.Equal(t, h.State("e", start.Add(at)), want)
}

const (
	second = time.Second
	// settled is a time after which the list no longer shows a mark late.
	settled = time.Hour
)

// running returns the table of a router that knows the incarnation "one" and the VM list for long.
func running() *health.Table {
	h := table()
	list(h, 0, false)
	list(h, settled, false)
	return h
}

// Guards against a healthy successor that gets no requests from any router, because one of them reads its predecessor's
// mark from the VM list only after the successor has answered it.
func TestLateListDoesNotMarkSuccessor(t *testing.T) {
	for name, gossiped := range map[string]bool{"mark known from gossip": true, "mark not known": false} {
		t.Run(name, func(t *testing.T) {
			h := running()
			if gossiped {
				assert.Assert(t, h.MarkLeaving("e", "one"))
			}
			probe(h, settled+2*second, "two")
			list(h, settled+4*second, true)
			assertState(t, h, settled+4*second, health.Up)
			assert.Assert(t, !h.KnownLeaving("e"))
			list(h, settled+8*second, false)
			assertState(t, h, settled+8*second, health.Up)
		})
	}
}

// Guards against requests to a successor that is itself marked in the VM list.
func TestListedMarkOfSuccessor(t *testing.T) {
	for name, replaced := range map[string]func(h *health.Table){
		"after the predecessor's mark": func(h *health.Table) {
			list(h, settled+second, true)
			probe(h, settled+2*second, "two")
		},
		"after the predecessor's late mark": func(h *health.Table) {
			probe(h, settled+2*second, "two")
			list(h, settled+3*second, true)
		},
	} {
		for delay, later := range map[string]time.Duration{"soon": 8 * second, "later": settled} {
			t.Run(name+", "+delay, func(t *testing.T) {
				h := running()
				replaced(h)
				list(h, settled+later, false)
				assertState(t, h, settled+later, health.Up)
				list(h, settled+later+4*second, true)
				assertState(t, h, settled+later+4*second, health.Leaving)
			})
		}
	}
}

// Guards against requests to a successor that the VM list marks although its predecessor had no mark.
func TestListedMarkAfterUnmarkedPredecessor(t *testing.T) {
	h := running()
	probe(h, settled+2*second, "two")
	list(h, 2*settled, false)
	list(h, 2*settled+4*second, true)
	assertState(t, h, 2*settled+4*second, health.Leaving)
	assert.Assert(t, h.KnownLeaving("e"))
}

// Guards against a starting router that is answered by a successor before it reads the VM list, takes the mark of a predecessor
// that it does not know for the successor's, and spreads it.
func TestStartingRouterDoesNotAttributeListedMark(t *testing.T) {
	for name, read := range map[string]func(h *health.Table){
		"first read after the answer": func(h *health.Table) { list(h, 2*second, true) },
		"list lags": func(h *health.Table) {
			list(h, second, false)
			list(h, 5*second, true)
		},
	} {
		for end, ended := range map[string]func(h *health.Table){
			"list no longer shows it":          func(h *health.Table) { list(h, 9*second, false) },
			"a peer knows whose it is":         func(h *health.Table) { h.MarkLeaving("e", "zero") },
			"the endpoint is replaced":         func(h *health.Table) { probe(h, 9*second, "two") },
			"a peer knew before the list read": nil,
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				h := table()
				if ended == nil {
					h.MarkLeaving("e", "zero")
					read(h)
				} else {
					read(h)
					assertState(t, h, 9*second, health.Leaving)
					assert.Assert(t, !h.KnownLeaving("e"))
					ended(h)
				}
				assertState(t, h, 9*second, health.Up)
			})
		}
	}
}

// Guards against a healthy successor that gets no requests because the VM list goes back and forth between versions
// before and after its predecessor's mark.
func TestListThatGoesBackDoesNotMarkSuccessor(t *testing.T) {
	h := running()
	list(h, settled+second, true)
	probe(h, settled+2*second, "two")
	for range 3 {
		list(h, settled+4*second, false)
		list(h, settled+5*second, true)
		assert.Assert(t, !h.KnownLeaving("e"))
	}
	list(h, settled+6*second, false)
	assertState(t, h, settled+6*second, health.Up)
}

// replacement is a history of two routers during the replacement of a leaving endpoint.
type replacement struct {
	routers [2]*health.Table
	// shown is the time of the version of the VM list that each router read last.
	shown [2]time.Duration
	// marked, replaced and cleared are the times at which the platform marks the VM, the successor takes the place of
	// the endpoint, and the platform takes the mark off the list.
	marked, replaced, cleared time.Duration
	now                       time.Duration
}

func (r *replacement) incarnation() string {
	if r.now < r.replaced {
		return "one"
	}
	return "two"
}

// read lets a router read a list that is late by the lag, but not older than the one before. It returns whether the
// list shows the mark.
func (r *replacement) read(router int, lag time.Duration) (marked bool) {
	shown := max(r.shown[router], r.now-lag)
	r.shown[router] = shown
	marked = shown >= r.marked && shown < r.cleared
	list(r.routers[router], r.now, marked)
	return marked
}

// gossip passes the mark that one router is sure of on to the other.
func (r *replacement) gossip(from int) {
	if r.routers[from].KnownLeaving("e") {
		r.routers[1-from].MarkLeaving("e", r.routers[from].Incarnation("e"))
	}
}

func (r *replacement) state(router int) health.State {
	return r.routers[router].State("e", start.Add(r.now))
}

// Two routers that read late lists, probe and gossip in any order give the successor work once it has answered them, and
// none to the endpoint that leaves once they have read its mark.
func TestReplacementInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		r := &replacement{routers: [2]*health.Table{running(), running()}, now: settled}
		r.marked = settled + duration("marked", 5*second)
		r.replaced = r.marked + duration("replaced", 5*second)
		r.cleared = r.replaced + duration("cleared", 20*second)
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			r.now += duration("pause", 2*second)
			router := rapid.IntRange(0, 1).Draw(t, "router")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				marked := r.read(router, duration("lag", 10*second))
				if marked && r.now < r.replaced {
					assert.Equal(t, r.state(router), health.Leaving)
				}
			case 1:
				probe(r.routers[router], r.now, r.incarnation())
			case 2:
				r.gossip(router)
			}
		}
		r.now = max(r.now, r.replaced)
		for router := range r.routers {
			probe(r.routers[router], r.now, "two")
			r.read(router, 0)
			r.gossip(router)
		}
		for router := range r.routers {
			assert.Equal(t, r.state(router), health.Up)
		}
	})
}
