package hub

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/event"
	"savoryfall/core/fleetstate"
	"savoryfall/core/members"
	"savoryfall/io/traffic"
)

// fixedState reports the same state each time, and keeps the totals.
type fixedState struct {
	mu       sync.Mutex
	interval time.Duration
	report   fleetstate.Report
	asked    int
	set      int
	totals   fleetstate.Totals
}

func (s *fixedState) StateInterval(time.Time) time.Duration { return s.interval }
func (s *fixedState) StateLimits() (l fleetstate.Limits)    { return l }

func (s *fixedState) OwnState(time.Time) fleetstate.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return s.report
}

func (s *fixedState) SetFleetState(t fleetstate.Totals, _ fleetstate.Report, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals = t
	s.set++
}

// heldState is a state with tokens held at one endpoint.
func heldState(tokens int) fleetstate.Report {
	return fleetstate.Report{Endpoints: []fleetstate.EndpointState{{Endpoint: 5, Running: 1, Slots: 2, HeldTokens: tokens}}}
}

// stateRouter is a router whose exchange of states a test steps through.
type stateRouter struct {
	*stateExchange
	service *Service
	state   *fixedState
	log     bytes.Buffer
	sent    countingWriter
}

type countingWriter struct{ n int }

func (w *countingWriter) Write(p []byte) (n int, err error) {
	w.n += len(p)
	return len(p), nil
}

func newStateRouter(t testing.TB, name string, s *fixedState) *stateRouter {
	service, _ := newTestHub(t, name)
	r := &stateRouter{stateExchange: &stateExchange{agent: service.agent}, service: service, state: s}
	r.agent.FleetState, r.agent.Logger = s, log.NewLogfmtLogger(&r.log)
	r.agent.hubName = name
	return r
}

// connect makes the receiver, the RPC service of a hub, the hub of the router.
func (r *stateRouter) connect(t testing.TB, hub string, receiver any) {
	server := rpc.NewServer()
	assert.NilError(t, server.RegisterName(serviceName, receiver))
	here, there := net.Pipe()
	go server.ServeConn(there)
	r.agent.hubName, r.agent.connectedTo = hub, members.Member{Name: hub}
	client := rpc.NewClient(&teeConn{Conn: r.agent.Meter.CountBytes(traffic.KindPeer, here), w: &r.sent})
	r.agent.client = client
	t.Cleanup(func() { _ = client.Close() })
}

// teeConn copies what is written.
type teeConn struct {
	net.Conn
	w io.Writer
}

func (c *teeConn) Write(p []byte) (n int, err error) {
	_, _ = c.w.Write(p)
	return c.Conn.Write(p)
}

// step checks all routers for the given time, as often as they do themselves.
func step(t *testing.T, d time.Duration, routers ...*stateRouter) {
	for range d / stateCheckInterval {
		for _, r := range routers {
			r.check(t.Context(), time.Now())
		}
		time.Sleep(stateCheckInterval)
	}
}

func (r *stateRouter) logged(n event.Name) int {
	return strings.Count(r.log.String(), "event="+string(n))
}

// Guards against bytes between routers while overload control is active for no service.
func TestNothingIsSentWhileInactive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, r := newStateRouter(t, "root", &fixedState{}), newStateRouter(t, "r", &fixedState{})
		r.connect(t, "root", root.service)
		step(t, time.Minute, root, r)
		assert.Equal(t, r.sent.n, 0)
		assert.Equal(t, r.state.asked+r.state.set+root.state.asked+root.state.set, 0)
		assert.Equal(t, r.log.Len()+root.log.Len(), 0)
		_, ok := r.agent.FleetStateAge(time.Now())
		assert.Assert(t, !ok)
		r.state.interval = 400 * time.Millisecond
		step(t, time.Second, root, r)
		sent := r.sent.n
		assert.Assert(t, sent > 0)
		r.state.interval = 0
		step(t, time.Minute, root, r)
		assert.Equal(t, r.sent.n, sent)
	})
}

// Guards against totals of a hub that has just begun, and lacks the reports of the others.
func TestHubCountsFromItsSecondReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newStateRouter(t, "first", &fixedState{interval: 400 * time.Millisecond, report: heldState(1)})
		r := newStateRouter(t, "r", &fixedState{interval: 400 * time.Millisecond, report: heldState(10)})
		r.connect(t, "first", first.service)
		step(t, 400*time.Millisecond, first, r)
		assert.Equal(t, r.state.set, 0)
		step(t, 400*time.Millisecond, first, r)
		assert.Equal(t, r.state.set, 1)
		assert.Equal(t, r.state.totals.Routers, 2)
		assert.Equal(t, r.state.totals.Endpoints[0].HeldTokens, 11)
		second := newStateRouter(t, "second", &fixedState{interval: 400 * time.Millisecond, report: heldState(100)})
		r.connect(t, "second", second.service)
		step(t, 400*time.Millisecond, second, r)
		assert.Equal(t, r.state.set, 1)
		step(t, 400*time.Millisecond, second, r)
		assert.Equal(t, r.state.set, 2)
		assert.Equal(t, r.state.totals.Endpoints[0].HeldTokens, 110)
		assert.Equal(t, r.log.Len(), 0)
	})
}

// earlierHub is the RPC service of a hub of a release before the exchange of states.
type earlierHub struct{}

func (earlierHub) Report(*Report, *Reply) error { return nil }

// Guards against a router that asks a hub of an earlier release again and again, or counts what it knows itself for the fleet's.
func TestHubOfAnEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStateRouter(t, "r", &fixedState{interval: 400 * time.Millisecond, report: heldState(10)})
		r.connect(t, "hub", earlierHub{})
		step(t, 9900*time.Millisecond, r)
		once := r.sent.n
		assert.Assert(t, once > 0)
		step(t, 15*time.Second, r)
		assert.Assert(t, r.sent.n > once && r.sent.n <= 2*once, "%d bytes, %d", r.sent.n, once)
		assert.Equal(t, r.state.set, 0)
		assert.Equal(t, r.logged(event.FleetStateStale), 1)
		assert.Assert(t, strings.Contains(r.log.String(), "can't find method"), r.log.String())
		// The hub is replaced by one of this release.
		hub := newStateRouter(t, "hub", &fixedState{interval: 400 * time.Millisecond, report: heldState(1)})
		r.connect(t, "hub", hub.service)
		step(t, time.Second, hub, r)
		assert.Equal(t, r.state.totals.Routers, 2)
		assert.Equal(t, r.logged(event.FleetStateFresh), 1)
	})
}

// Guards against a router cut off from its hub that takes old totals, or its own state, for those of the fleet.
func TestRouterCutOffFromItsHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root := newStateRouter(t, "root", &fixedState{interval: 400 * time.Millisecond, report: heldState(1)})
		r := newStateRouter(t, "r", &fixedState{interval: 400 * time.Millisecond, report: heldState(10)})
		r.connect(t, "root", root.service)
		step(t, 2*time.Second, root, r)
		set := r.state.set
		_ = r.agent.client.Close()
		step(t, 1500*time.Millisecond, root, r)
		assert.Equal(t, r.logged(event.FleetStateStale), 0)
		step(t, 1500*time.Millisecond, root, r)
		assert.Equal(t, r.state.set, set)
		assert.Equal(t, r.logged(event.FleetStateStale), 1)
		age, ok := r.agent.FleetStateAge(time.Now())
		assert.Assert(t, ok && age > 2*time.Second, "%v", age)
		assert.Equal(t, root.state.totals.Routers, 1)
		r.connect(t, "root", root.service)
		step(t, 400*time.Millisecond, root, r)
		assert.Equal(t, r.state.set, set)
		step(t, 400*time.Millisecond, root, r)
		assert.Equal(t, r.state.set, set+1)
		assert.Equal(t, r.logged(event.FleetStateFresh), 1)
	})
}

// Guards against totals of a part of the fleet: a hub that is cut off from its own hub knows only the routers below it. Also
// against a hub that passes nothing on because it has no load itself.
func TestHubsInLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root := newStateRouter(t, "root", &fixedState{})
		middle := newStateRouter(t, "middle", &fixedState{})
		leaf := newStateRouter(t, "leaf", &fixedState{interval: 400 * time.Millisecond, report: heldState(10)})
		other := newStateRouter(t, "other", &fixedState{interval: 400 * time.Millisecond, report: heldState(5)})
		leaf.connect(t, "middle", middle.service)
		other.connect(t, "root", root.service)
		middle.agent.hubName = "root"
		step(t, 2*time.Second, root, middle, leaf, other)
		assert.Equal(t, leaf.state.set, 0)
		middle.connect(t, "root", root.service)
		step(t, 2*time.Second, root, middle, leaf, other)
		assert.Assert(t, leaf.state.set > 0)
		for _, r := range []*stateRouter{leaf, other} {
			assert.Equal(t, r.state.totals.Routers, 2)
			assert.Equal(t, r.state.totals.Endpoints[0].HeldTokens, 15)
		}
		assert.Equal(t, middle.state.set+root.state.set, 0)
		_ = middle.agent.client.Close()
		step(t, 2*time.Second, root, middle, leaf, other)
		set := leaf.state.set
		step(t, 2*time.Second, root, middle, leaf, other)
		assert.Equal(t, leaf.state.set, set)
	})
}

// Guards against a router without a hub that begins with its own state as that of the fleet.
func TestRootHasTheTotalsOfItsFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root := newStateRouter(t, "root", &fixedState{interval: 400 * time.Millisecond, report: heldState(1)})
		r := newStateRouter(t, "r", &fixedState{interval: 400 * time.Millisecond, report: heldState(10)})
		r.connect(t, "root", root.service)
		step(t, 400*time.Millisecond, root, r)
		assert.Equal(t, root.state.set, 0)
		step(t, time.Second, root, r)
		assert.Equal(t, root.state.totals.Routers, 2)
		assert.Equal(t, root.state.totals.Endpoints[0].HeldTokens, 11)
	})
}

// Guards against a report that is no table, names the hub, or refers to services that it does not list.
func TestInvalidStateReportIsRejected(t *testing.T) {
	hub := newStateRouter(t, "hub", &fixedState{})
	good := toStateColumns(&fleetstate.Report{Accounts: []fleetstate.AccountDemand{{Service: 3, Accounts: 1, Arrivals: 1}}})
	for name, args := range map[string]*StateReport{
		"uneven":  {From: "x", State: StateColumns{Endpoints: EndpointColumns{Endpoints: []uint32{1}}}},
		"unknown": {From: "x", State: StateColumns{Accounts: good.Accounts}},
		"huge":    {From: "x", State: StateColumns{Endpoints: EndpointColumns{Endpoints: make([]uint32, maxStateRows+1)}}},
		"own":     {From: "hub", State: good},
	} {
		assert.Assert(t, hub.service.FleetState(args, &StateReply{}) != nil, name)
	}
	assert.Equal(t, hub.agent.states.Totals(time.Now()).Routers, 0)
	var reply StateReply
	assert.NilError(t, hub.service.FleetState(&StateReport{From: "x", State: good}, &reply))
	assert.Equal(t, reply.Routers, 1)
	assert.Assert(t, reply.Complete)
	hub.agent.FleetState = nil
	assert.Assert(t, hub.service.FleetState(&StateReport{From: "x", State: good}, &StateReply{}) != nil)
}

// Guards against figures that change on the wire by more than its units.
func TestStateColumnsKeepTheFigures(t *testing.T) {
	r := fleetstate.Report{
		Endpoints: []fleetstate.EndpointState{{Endpoint: math.MaxUint32, Running: 24, Waiting: 3, Slots: 24, Age: 252 * time.Millisecond, Slowdown: 2.5, Lasting: 1.25, HeldTokens: 300000}},
		Accounts:  []fleetstate.AccountDemand{{Service: 9, Rank: 2, Account: 77, Accounts: 1, Arrivals: 12.25}, {Service: 8, Accounts: 40, Arrivals: 3}},
		Retries:   []fleetstate.PromisedRetries{{Service: 8, Rank: 1, Ahead: 31, Count: 4}},
		Latencies: []fleetstate.ServiceLatency{{Service: 9, Answers: 10.5, TotalMs: 1234, Refusals: 0.25}},
	}
	c := toStateColumns(&r)
	got, err := c.report()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	bad := fleetstate.Report{Endpoints: []fleetstate.EndpointState{{Running: -1, Age: -time.Second, Slowdown: float32(math.NaN()), Lasting: float32(math.Inf(1))}}}
	c = toStateColumns(&bad)
	got, err = c.report()
	assert.NilError(t, err)
	assert.Equal(t, got.Endpoints[0].Running, 0)
}

// Guards against a reply that does not continue from the previous one: it must not count, and the next must be complete.
func TestDiscontinuousStateReplyIsRejected(t *testing.T) {
	r := newStateRouter(t, "r", &fixedState{})
	r.number = 4
	_, err := r.apply(&StateReport{Epoch: 1, Number: 4}, &StateReply{Epoch: 1, Since: 3, Number: 9}, time.Now())
	assert.Equal(t, err, errDiscontinuous)
	assert.Equal(t, r.number, int64(0))
	_, err = r.apply(&StateReport{Epoch: 1, Number: 4}, &StateReply{Epoch: 2, Since: 4, Number: 9}, time.Now())
	assert.Equal(t, err, errDiscontinuous)
}
