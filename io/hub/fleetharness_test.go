package hub_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/members"
	"savoryfall/core/quarantine"
	"savoryfall/io/draining"
	"savoryfall/io/follow"
	"savoryfall/io/hub"
	"savoryfall/io/registry"
	"savoryfall/io/traffic"
	"savoryfall/platform/evacuation"
)

// fleet is a simulation of hundreds of routers in one process, with a network and a store that tests can make fail.
// It runs on the fake clock of testing/synctest.
type fleet struct {
	t       *testing.T
	began   time.Time
	store   *fakeStore
	net     *network
	routers []*simRouter
	// newState returns the state of a router that starts. It is nil if the routers do not share their states.
	newState func() *fakeState
}

// simRouter is one router: an agent with the readers of its two topics.
type simRouter struct {
	self              members.Member
	agent             *hub.Agent
	configuration     *follow.Follower
	registry          *follow.Follower
	endpoints         *registry.Tracker
	configurationSink configurationSink
	drainTracker      *draining.Tracker
	mu                sync.Mutex
	domains           []string
	// drainedAt is when domains changed last.
	drainedAt time.Time
	work      fakeLoads
	parts     quarantine.Table
	meter     *metrics.Set
	state     *fakeState
}

const (
	domainCount      = 6
	endpointCount    = 40
	propagationBound = 4 * time.Second
	largeVMCount     = 3 * domainCount
)

func (f *fleet) clock() time.Duration { return time.Hour + time.Since(f.began) }

// newFleet starts n routers within 0.3 s, the first largeVMCount of them on large VMs, and waits until they have
// found each other.
func newFleet(t *testing.T, n int) *fleet { return newFleetWithStates(t, n, nil) }

// newFleetWithStates starts a fleet whose routers share the states that newState returns.
func newFleetWithStates(t *testing.T, n int, newState func() *fakeState) *fleet {
	f := &fleet{t: t, began: time.Now(), store: newFakeStore(), net: newNetwork(), newState: newState}
	f.store.put(configurationTopic, "config", "1")
	for e := range endpointCount {
		f.putEndpoint(e, false)
	}
	for i := range n {
		m := members.Member{
			Name: fmt.Sprint("vm", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), FailureDomain: fmt.Sprint("domain", i%domainCount),
			Bears: members.VM{Cores: 0.2, MemoryMB: 184, LinkMbps: 20}.FollowerCapacity(),
		}
		if i < largeVMCount {
			m.Bears = members.VM{Cores: 0.8, MemoryMB: 536, LinkMbps: 200}.FollowerCapacity()
		}
		f.start(m, true)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return f
}

// putEndpoint writes the registry entry of an endpoint.
func (f *fleet) putEndpoint(e int, leaving bool) {
	entry := directory.Entry{ID: fmt.Sprint("e", e), Born: 1, Service: "s", Address: fmt.Sprint("10.9.0.", e), Leaving: leaving}
	data, err := json.Marshal(entry)
	assert.NilError(f.t, err)
	f.store.put(registryTopic, entry.ID, string(data))
}

func (f *fleet) start(m members.Member, bootstrap bool) {
	m.Started = time.Now().UnixNano()
	r := &simRouter{self: m, meter: metrics.NewSet()}
	options := follow.Options{Grace: 400 * time.Millisecond, MaxAge: propagationBound * 3 / 4, StartupWait: 1200 * time.Millisecond, Clock: f.clock}
	configured, entered := options, options
	configured.Name, configured.PollWait, configured.MinInterval = "configuration", 500*time.Millisecond, 50*time.Millisecond
	entered.Name, entered.MinInterval = "registry", 600*time.Millisecond
	r.drainTracker = draining.New(evacuation.Decoder{}, r, log.NewNopLogger())
	r.configuration = follow.New(f.store.forRouter(m.Name, configurationTopic), follow.Sinks{r.drainTracker, &r.configurationSink}, configured, log.NewNopLogger())
	r.endpoints = registry.New(entryDecoder{}, func([]directory.Entry) {}, log.NewNopLogger())
	r.registry = follow.New(f.store.forRouter(m.Name, registryTopic), r.endpoints, entered, log.NewNopLogger())
	config := hub.Config{
		Self: m, ListenAddress: m.Address, Members: &members.List{}, Configuration: r.configuration, CurrentRecord: r.configurationSink.record, OtherRecords: r.drainTracker.Records,
		Registry: r.registry, Endpoints: r.endpoints, Loads: &r.work, Parts: &r.parts, RouterList: hub.NewRouterList(f.store.forRouter(m.Name, routersTopic)),
		Bootstrap: bootstrap, Network: f.net.forRouter(m.Address), Meter: traffic.New(r.meter), Logger: log.NewNopLogger(),
		Clock: f.clock, StaleAfter: propagationBound * 3 / 4, OnRoutersChanged: func(routers []uint64) { r.parts.SetFleet(coldlimit.New(members.Hash(m.Name), routers)) },
	}
	if f.newState != nil {
		r.state = f.newState()
		config.FleetState = r.state
	}
	var err error
	r.agent, err = hub.New(config)
	assert.NilError(f.t, err)
	r.parts.OnChange = func(_, _ []quarantine.Status) { r.agent.NotifyParts() }
	ctx := context.Background()
	assert.NilError(f.t, r.configuration.Start(ctx))
	assert.NilError(f.t, r.registry.Start(ctx))
	assert.NilError(f.t, r.agent.Start(ctx))
	f.routers = append(f.routers, r)
}

// kill stops routers without notice to the others. If silent, dialling them times out instead of failing at once.
func (f *fleet) kill(silent bool, shouldKill func(m members.Member) bool) (dead []members.Member) {
	kept := f.routers[:0:0]
	var ending sync.WaitGroup
	for _, r := range f.routers {
		if !shouldKill(r.self) {
			kept = append(kept, r)
			continue
		}
		dead = append(dead, r.self)
		f.net.setSilent(r.self.Address, silent)
		ending.Go(r.stop)
	}
	ending.Wait()
	f.routers = kept
	return dead
}

// SetDrained records which failure domains are drained, and since when.
func (r *simRouter) SetDrained(domains []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domains, r.drainedAt = domains, now
}

func (r *simRouter) CountInDomain(string) int { return 0 }

// drainedDomains returns the failure domains that the router has drained, and since when.
func (r *simRouter) drainedDomains() (domains []string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.domains, r.drainedAt
}

func (r *simRouter) stop() {
	ctx := context.Background()
	_ = r.agent.Stop(ctx)
	_ = r.configuration.Stop(ctx)
	_ = r.registry.Stop(ctx)
}

func (f *fleet) stop() {
	f.kill(false, func(members.Member) bool { return true })
	// Let reports end that hubs still hold.
	time.Sleep(time.Second)
}

// refuseMost lets the store refuse the large VMs, the root among them, and two thirds of all others.
func (f *fleet) refuseMost() {
	f.store.refuse(func(router string) bool {
		n := 0
		_, _ = fmt.Sscanf(router, "vm%d", &n)
		return n < largeVMCount || n%3 > 0
	})
}

// assertKnown checks that every router has the newest configuration version and the number of usable endpoints, from
// reads no older than the age.
func (f *fleet) assertKnown(version string, usable int, age time.Duration) {
	f.t.Helper()
	for _, r := range f.routers {
		assert.Equal(f.t, r.configurationSink.version(), version, r.self.Name)
		assert.Equal(f.t, r.usable(), usable, r.self.Name)
		for _, topic := range []*follow.Follower{r.configuration, r.registry} {
			_, sent, ok := topic.Position()
			assert.Assert(f.t, ok, r.self.Name)
			assert.Assert(f.t, f.clock()-sent <= age, "%s knows what is %v old", r.self.Name, f.clock()-sent)
		}
	}
}

func (r *simRouter) usable() (n int) {
	changes, _ := r.endpoints.Changes().Since(0)
	for _, c := range changes {
		if c.Usable {
			n++
		}
	}
	return n
}

// topology returns the number of roots, the number of levels below them, and the number of followers of the busiest
// hub.
func (f *fleet) topology() (roots, levels, mostFollowers int) {
	f.t.Helper()
	hubs, followers := map[string]string{}, map[string]int{}
	for _, r := range f.routers {
		hubName := r.agent.HubName()
		if hubName == r.self.Name {
			roots++
			continue
		}
		hubs[r.self.Name] = hubName
		followers[hubName]++
		mostFollowers = max(mostFollowers, followers[hubName])
	}
	for at := range hubs {
		depth := 0
		for ; hubs[at] != ""; at = hubs[at] {
			depth++
			assert.Assert(f.t, depth < len(f.routers), "a circle")
		}
		levels = max(levels, depth)
	}
	return roots, levels, mostFollowers
}

// assertNotFresherThanStore checks that no router dates its data later than the last read that the store answered.
func (f *fleet) assertNotFresherThanStore() {
	f.t.Helper()
	last := f.store.lastRead(f.began)
	for _, r := range f.routers {
		_, sent, _ := r.registry.Position()
		assert.Assert(f.t, sent <= last, "%s: read sent at %v, the last was at %v", r.self.Name, sent, last)
	}
}

// entryDecoder decodes the entries that putEndpoint writes.
type entryDecoder struct{}

func (entryDecoder) Decode(r compactedlog.Record) (e directory.Entry, err error) {
	return e, json.Unmarshal(r.Value, &e)
}

// configurationSink keeps the configuration record with the highest version.
type configurationSink struct {
	mu     sync.Mutex
	newest *compactedlog.Record
}

func (c *configurationSink) Replace(records []compactedlog.Record) { c.Apply(records) }

func (c *configurationSink) Apply(records []compactedlog.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Key != "config" {
			continue
		}
		if c.newest == nil || versionOf(r) > versionOf(*c.newest) {
			c.newest = &r
		}
	}
}

func versionOf(r compactedlog.Record) (n int) {
	_, _ = fmt.Sscan(string(r.Value), &n)
	return n
}

func (c *configurationSink) Read(time.Duration) {}
func (c *configurationSink) Failed(error)       {}
func (c *configurationSink) Restored()          {}

func (c *configurationSink) record() *compactedlog.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

func (c *configurationSink) version() string {
	if r := c.record(); r != nil {
		return string(r.Value)
	}
	return ""
}
