package hub_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/io/hub"
	"savoryfall/io/hub/hubtest/fakeloads"
	"savoryfall/io/traffic"
)

var began = time.Now()

// lastAddress is the number of the loopback address handed out last.
var lastAddress atomic.Int64

// staleAge is the age from which a hub's reads are too old to use.
const staleAge = 1500 * time.Millisecond

func clock() time.Duration { return time.Hour + time.Since(began) }

// fakeTopic is a topic reader with a fixed offset and a last read of fixed age.
type fakeTopic struct {
	mu           sync.Mutex
	next         int64
	age          time.Duration
	leader       bool
	wants        bool
	failing      bool
	givenRecords int
}

func (f *fakeTopic) SetLeader(leader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = leader
}

func (f *fakeTopic) Position() (end compactedlog.Position, sent time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return compactedlog.Position{Offset: f.next}, clock() - f.age, true
}

func (f *fakeTopic) ConfirmEnd(compactedlog.Position, time.Duration) {}

func (f *fakeTopic) HubAnswered()    {}
func (f *fakeTopic) EndStartupWait() {}

func (f *fakeTopic) AdvanceTo(end compactedlog.Position, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = max(f.next, end.Offset)
}

func (f *fakeTopic) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wants
}

func (f *fakeTopic) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

func (f *fakeTopic) FailedSince(time.Duration) bool { return f.Failing() }

func (f *fakeTopic) ApplySnapshot(records []compactedlog.Record, end compactedlog.Position, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.givenRecords, f.wants, f.next = len(records), false, end.Offset
}

func (f *fakeTopic) gotRecords() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.givenRecords
}

// fakeRegistry records the endpoints of the changes applied to it.
type fakeRegistry struct {
	mu      sync.Mutex
	changes fleetload.ChangeLog
	usable  map[string]bool
}

func (e *fakeRegistry) Changes() *fleetload.ChangeLog { return &e.changes }

func (e *fakeRegistry) ApplyChanges(changes []fleetload.Change, _ bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		e.usable[c.Entry.ID] = c.Usable
	}
}

func (e *fakeRegistry) has(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usable[id]
}

// fakeRouterTopic is the store topic of the router list, kept in memory.
type fakeRouterTopic struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (l *fakeRouterTopic) Generation() int64 { return 0 }

func (l *fakeRouterTopic) Newest(context.Context) (p compactedlog.Page, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, value := range l.values {
		p.Records = append(p.Records, compactedlog.Record{Key: key, Value: value})
	}
	return p, nil
}

func (l *fakeRouterTopic) Put(_ context.Context, key string, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values[key] = value
	return nil
}

type testRouter struct {
	agent         *hub.Agent
	configuration fakeTopic
	registry      fakeTopic
	fakeRegistry  fakeRegistry
	fakeLoads     fakeloads.Loads
	record        *compactedlog.Record
}

func startRouter(t *testing.T, l *fakeRouterTopic, name string, cores float64, set func(r *testRouter)) *testRouter {
	// Each router gets a loopback address of its own: a port that was free a moment ago may be taken by the time it
	// is bound.
	n := lastAddress.Add(1)
	address := fmt.Sprintf("127.%d.%d.%d:20201", 1+os.Getpid()%250, 1+n/250, 1+n%250)
	r := &testRouter{record: &compactedlog.Record{Key: "c"}}
	r.fakeRegistry.usable = map[string]bool{}
	set(r)
	var err error
	r.agent, err = hub.New(hub.Config{
		ListenAddress: address,
		Self:          members.Member{Name: name, Address: address, Started: 1, Bears: members.VM{Cores: cores}.FollowerCapacity()},
		Members:       &members.List{}, Configuration: &r.configuration, Registry: &r.registry,
		CurrentRecord: func() *compactedlog.Record { return r.record },
		Endpoints:     &r.fakeRegistry, Loads: &r.fakeLoads, RouterList: hub.NewRouterList(l), Meter: traffic.New(metrics.NewSet()),
		Logger: log.NewNopLogger(), Clock: clock, StaleAfter: staleAge, OnRoutersChanged: func([]uint64) {},
	})
	assert.NilError(t, err)
	assert.NilError(t, r.agent.Start(context.Background()))
	t.Cleanup(func() { _ = r.agent.Stop(context.Background()) })
	return r
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

// readUpTo returns the setup of a router that has read up to the offset. If that read is old, further reads fail.
func readUpTo(next int64, age time.Duration) func(r *testRouter) {
	return func(r *testRouter) {
		r.configuration.failing, r.registry.failing = age > staleAge, age > staleAge
		r.configuration.next, r.configuration.age = next, age
		r.registry.next, r.registry.age = next, age
	}
}

// The router with the most cores reads the store for all. The others receive its endpoints, the total loads and the
// configuration that they cannot read from the store themselves.
func TestHubReadsForAllRouters(t *testing.T) {
	l := &fakeRouterTopic{values: map[string][]byte{"odd": []byte("{")}}
	big := startRouter(t, l, "big", 4, readUpTo(5, 0))
	big.fakeRegistry.changes.Add(fleetload.Change{Entry: directory.Entry{ID: "x"}, Usable: true})
	small := startRouter(t, l, "small", 1, func(r *testRouter) {
		readUpTo(3, 0)(r)
		r.configuration.wants = true
	})
	waitFor(t, "the hub is followed", func() bool { return small.agent.HubName() == "big" && big.agent.HubName() == "big" })
	waitFor(t, "what the hub knows", func() bool {
		return small.fakeRegistry.has("x") && small.fakeLoads.Running() == 2 && big.fakeLoads.Running() == 2 && small.configuration.gotRecords() == 1
	})
	big.fakeRegistry.changes.Add(fleetload.Change{Entry: directory.Entry{ID: "x"}})
	big.agent.NotifyNews()
	waitFor(t, "x is gone", func() bool { return !small.fakeRegistry.has("x") })
}

// A hub sends a changed configuration to its followers: when each router read it from the store, one change took
// eighty calls. A large configuration is sent only to routers that cannot read it, to spare the hub's link.
func TestLargeConfigurationSentOnlyToRoutersThatCannotRead(t *testing.T) {
	for _, c := range []struct {
		size         int
		failing      bool
		snapshotSent bool
	}{{size: 10 << 10, snapshotSent: true}, {size: 1 << 20}, {size: 1 << 20, failing: true, snapshotSent: true}} {
		l := &fakeRouterTopic{values: map[string][]byte{}}
		startRouter(t, l, "big", 4, func(r *testRouter) {
			readUpTo(5, 0)(r)
			// Random bytes do not compress.
			r.record = &compactedlog.Record{Key: "c", Value: make([]byte, c.size), Offset: 4}
			_, _ = rand.NewChaCha8([32]byte{}).Read(r.record.Value)
		})
		small := startRouter(t, l, "small", 1, func(r *testRouter) {
			readUpTo(3, 0)(r)
			r.configuration.wants, r.configuration.failing = true, c.failing
		})
		waitFor(t, "the hub has answered", func() bool { return small.fakeLoads.Running() == 2 })
		assert.Equal(t, small.configuration.gotRecords() == 1, c.snapshotSent, "%d bytes", c.size)
	}
}

// Guards against taking over endpoints that have left. The store refuses the hub while an endpoint leaves. A router
// that reads by itself meanwhile has removed the endpoint when it reports to the hub again: it must not add the
// endpoint back from the hub's old list, and must leave the hub. Otherwise requests went to such endpoints beyond the
// limit of two seconds.
func TestStaleHubIsLeft(t *testing.T) {
	l := &fakeRouterTopic{values: map[string][]byte{}}
	big := startRouter(t, l, "big", 4, readUpTo(5, 7*time.Second))
	big.fakeRegistry.changes.Add(fleetload.Change{Entry: directory.Entry{ID: "left"}, Usable: true})
	small := startRouter(t, l, "small", 1, readUpTo(9, 100*time.Millisecond))
	waitFor(t, "the hub was asked", func() bool { return big.fakeLoads.Running() == 2 })
	waitFor(t, "the hub is given up", func() bool { return small.agent.HubName() == "small" })
	assert.Assert(t, !small.fakeRegistry.has("left"))
}

// When no router can read the store, a hub with old reads is kept: if every router read by itself, that would only
// add to the load in the outage.
func TestStaleHubKeptWhenNoRouterCanRead(t *testing.T) {
	l := &fakeRouterTopic{values: map[string][]byte{}}
	startRouter(t, l, "big", 4, readUpTo(5, 7*time.Second))
	small := startRouter(t, l, "small", 1, readUpTo(5, 8*time.Second))
	waitFor(t, "the hub is followed", func() bool { return small.agent.HubName() == "big" })
}

// As above, but this router's last read before the outage is newer than the hub's. It may try another hub, at most
// one a second. When routers left hubs as fast as they replied, each became a root, which polls the store more often.
func TestHubChangesAreRateLimited(t *testing.T) {
	l := &fakeRouterTopic{values: map[string][]byte{}}
	startRouter(t, l, "big", 4, readUpTo(5, 7*time.Second))
	startRouter(t, l, "middle", 3, readUpTo(5, 6*time.Second))
	small := startRouter(t, l, "small", 1, readUpTo(5, 5*time.Second))
	waitFor(t, "the second hub is followed", func() bool { return small.agent.HubName() == "middle" })
}

// The store refuses the hub and this router, but not a third router. This router can keep serving requests that need a
// key with what the third one reads. When it stayed with the hub, it refused them until the store accepted it again.
func TestRefusedRouterFindsHubThatReads(t *testing.T) {
	l := &fakeRouterTopic{values: map[string][]byte{}}
	startRouter(t, l, "big", 4, readUpTo(5, 7*time.Second))
	startRouter(t, l, "middle", 3, readUpTo(9, 100*time.Millisecond))
	small := startRouter(t, l, "small", 1, readUpTo(5, 6*time.Second))
	waitFor(t, "the one that reads is followed", func() bool { return small.agent.HubName() == "middle" })
}

func TestRouterListErrors(t *testing.T) {
	_, err := hub.NewRouterList(downTopic{}).All(context.Background())
	assert.ErrorContains(t, err, "read the list of routers")
	err = hub.NewRouterList(downTopic{}).Add(context.Background(), members.Member{Name: "a"})
	assert.ErrorContains(t, err, "add router a to the router list")
}

type downTopic struct{}

func (downTopic) Newest(context.Context) (compactedlog.Page, error) {
	return compactedlog.Page{}, errors.New("down")
}
func (downTopic) Generation() int64 { return 0 }

func (downTopic) Put(context.Context, string, []byte) (err error) { return errors.New("down") }
