package hubtest

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/coldlimit"
	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/core/quarantine"
	"savoryfall/io/draining"
	"savoryfall/io/follow"
	"savoryfall/io/hub"
	"savoryfall/io/hub/hubtest/fakeloads"
	"savoryfall/io/hub/hubtest/fakenetwork"
	"savoryfall/io/hub/hubtest/fakestore"
	"savoryfall/io/registry"
	"savoryfall/io/traffic"
)

// Fleet is a simulation of hundreds of routers in one process, with a network and a store that tests can make fail.
// It runs on the fake clock of testing/synctest.
type Fleet struct {
	t       *testing.T
	began   time.Time
	store   *fakestore.Store
	net     *fakenetwork.Network
	routers []*router
	drains  draining.Decoder
	// bound is the time within which a change must be known to all routers.
	bound time.Duration
	// newState returns the state of a router that starts. It is nil if the routers do not share their states.
	newState func(name string) hub.FleetState
}

// router is one router: an agent with the readers of its two topics.
type router struct {
	self              members.Member
	agent             *hub.Agent
	configuration     *follow.Follower
	registry          *follow.Follower
	endpoints         *registry.Tracker
	configurationSink configurationSink
	drains            *draining.Tracker
	mu                sync.Mutex
	domains           []string
	// drainedAt is when domains changed last.
	drainedAt time.Time
	work      fakeloads.Loads
	parts     quarantine.Table
	meter     *metrics.Set
}

const (
	// EndpointCount is the number of endpoints in the registry of a fleet.
	EndpointCount = 40
	// PropagationBound is the time within which a change is known to all routers after hubs are lost.
	PropagationBound = 4 * time.Second

	domainCount = 6
	largeVMs    = 3 * domainCount
)

// Store returns the store of the fleet.
func (f *Fleet) Store() *fakestore.Store { return f.store }

// Net returns the network between the routers.
func (f *Fleet) Net() *fakenetwork.Network { return f.net }

// Routers returns the routers that run.
func (f *Fleet) Routers() []*router { return f.routers }

// Self returns the router's entry in the router list.
func (r *router) Self() members.Member { return r.self }

// HubName returns the name of the router that this one follows, its own if none.
func (r *router) HubName() string { return r.agent.HubName() }

// Loads returns what the router knows of the load of the fleet.
func (r *router) Loads() *fakeloads.Loads { return &r.work }

// Parts returns what the router knows of requests that crash endpoints.
func (r *router) Parts() *quarantine.Table { return &r.parts }

// Meter returns the metrics of the router.
func (r *router) Meter() *metrics.Set { return r.meter }

// Clock returns the time since boot of all routers.
func (f *Fleet) Clock() time.Duration { return time.Hour + time.Since(f.began) }

// New starts n routers within 0.3 s, the first largeVMs of them on large VMs, and waits until they have
// found each other. The decoder reads the records that drain failure domains.
func New(t *testing.T, n int, drains draining.Decoder) *Fleet {
	return start(t, n, &Fleet{drains: drains, bound: PropagationBound})
}

// NewWithin starts a fleet of which every router must know a change within the bound.
func NewWithin(t *testing.T, n int, drains draining.Decoder, bound time.Duration) *Fleet {
	return start(t, n, &Fleet{drains: drains, bound: bound})
}

// NewWithStates starts a fleet whose routers share the states that newState returns.
func NewWithStates(t *testing.T, n int, drains draining.Decoder, newState func(name string) hub.FleetState) *Fleet {
	return start(t, n, &Fleet{drains: drains, bound: PropagationBound, newState: newState})
}

func start(t *testing.T, n int, f *Fleet) *Fleet {
	f.t, f.began, f.store, f.net = t, time.Now(), fakestore.New(), fakenetwork.New()
	f.store.Put(fakestore.ConfigurationTopic, "config", "1")
	for e := range EndpointCount {
		f.PutEndpoint(e, false)
	}
	for i := range n {
		m := members.Member{
			Name: fmt.Sprint("vm", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), FailureDomain: fmt.Sprint("domain", i%domainCount),
			Bears: members.VM{Cores: 0.2, MemoryMB: 184, LinkMbps: 20}.FollowerCapacity(),
		}
		if i < largeVMs {
			m.Bears = members.VM{Cores: 0.8, MemoryMB: 536, LinkMbps: 200}.FollowerCapacity()
		}
		f.Start(m, true)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return f
}

// PutEndpoint writes the registry entry of an endpoint.
func (f *Fleet) PutEndpoint(e int, leaving bool) {
	entry := directory.Entry{ID: fmt.Sprint("e", e), Born: 1, Service: "s", Address: fmt.Sprint("10.9.0.", e), Leaving: leaving}
	data, err := json.Marshal(entry)
	assert.NilError(f.t, err)
	f.store.Put(fakestore.RegistryTopic, entry.ID, string(data))
}

// RemoveEndpoint removes the registry entry of an endpoint.
func (f *Fleet) RemoveEndpoint(e int) { f.store.Put(fakestore.RegistryTopic, fmt.Sprint("e", e), "") }

// Start starts a router.
func (f *Fleet) Start(m members.Member, bootstrap bool) {
	m.Started = time.Now().UnixNano()
	r := &router{self: m, meter: metrics.NewSet()}
	options := follow.Options{Grace: 400 * time.Millisecond, MaxAge: f.bound * 3 / 4, StartupWait: 1200 * time.Millisecond, Clock: f.Clock}
	routers := &members.List{}
	options.UnassistedInterval = func(failures int) time.Duration { return hub.UnassistedInterval(routers, m.Name, failures) }
	configured, entered := options, options
	configured.Name, configured.PollWait, configured.MinInterval = "configuration", 500*time.Millisecond, 50*time.Millisecond
	entered.Name, entered.MinInterval = "registry", 600*time.Millisecond
	r.drains = draining.New(f.drains, r, log.NewNopLogger())
	r.configuration = follow.New(f.store.ForRouter(m.Name, fakestore.ConfigurationTopic), follow.Sinks{r.drains, &r.configurationSink}, configured, log.NewNopLogger())
	r.endpoints = registry.New(entryDecoder{}, func([]directory.Entry) {}, log.NewNopLogger())
	r.registry = follow.New(f.store.ForRouter(m.Name, fakestore.RegistryTopic), r.endpoints, entered, log.NewNopLogger())
	config := hub.Config{
		Self: m, ListenAddress: m.Address, Members: routers, Configuration: r.configuration, CurrentRecord: r.configurationSink.record, OtherRecords: r.drains.Records,
		Registry: r.registry, Endpoints: r.endpoints, Loads: &r.work, Parts: &r.parts, RouterList: hub.NewRouterList(f.store.ForRouter(m.Name, fakestore.RoutersTopic)),
		Bootstrap: bootstrap, Network: f.net.ForRouter(m.Address), Meter: traffic.New(r.meter), Logger: log.NewNopLogger(),
		Clock: f.Clock, StaleAfter: f.bound * 3 / 4, OnRoutersChanged: func(routers []uint64) { r.parts.SetFleet(coldlimit.New(members.Hash(m.Name), routers)) },
	}
	if f.newState != nil {
		config.FleetState = f.newState(m.Name)
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

// Kill stops routers without notice to the others. If silent, dialling them times out instead of failing at once.
func (f *Fleet) Kill(silent bool, shouldKill func(m members.Member) bool) (dead []members.Member) {
	kept := f.routers[:0:0]
	var ending sync.WaitGroup
	for _, r := range f.routers {
		if !shouldKill(r.self) {
			kept = append(kept, r)
			continue
		}
		dead = append(dead, r.self)
		f.net.SetSilent(r.self.Address, silent)
		ending.Go(r.stop)
	}
	ending.Wait()
	f.routers = kept
	return dead
}

// SetDrained records which failure domains are drained, and since when.
func (r *router) SetDrained(domains []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domains, r.drainedAt = domains, now
}

// CountInDomain returns 0: the simulation does not count endpoints by failure domain.
func (r *router) CountInDomain(string) int { return 0 }

// DrainedDomains returns the failure domains that the router has drained, and since when.
func (r *router) DrainedDomains() (domains []string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.domains, r.drainedAt
}

func (r *router) stop() {
	ctx := context.Background()
	_ = r.agent.Stop(ctx)
	_ = r.configuration.Stop(ctx)
	_ = r.registry.Stop(ctx)
}

// Stop stops all routers.
func (f *Fleet) Stop() {
	f.Kill(false, func(members.Member) bool { return true })
	// Let reports end that hubs still hold.
	time.Sleep(time.Second)
}

// RefuseMost lets the store refuse the large VMs, the root among them, and two thirds of all others.
func (f *Fleet) RefuseMost() {
	f.store.Refuse(func(router string) bool {
		n := 0
		_, _ = fmt.Sscanf(router, "vm%d", &n)
		return n < largeVMs || n%3 > 0
	})
}

// Usable returns the number of endpoints that the router may use.
func (r *router) Usable() (n int) {
	changes, _ := r.endpoints.Changes().Since(0)
	for _, c := range changes {
		if c.Usable {
			n++
		}
	}
	return n
}

// Topology returns the number of roots, the number of levels below them, and the number of followers of the busiest
// hub.
func (f *Fleet) Topology() (roots, levels, mostFollowers int) {
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

// entryDecoder decodes the entries that putEndpoint writes.
type entryDecoder struct{}

// Decode decodes an entry.
func (entryDecoder) Decode(r compactedlog.Record) (e directory.Entry, err error) {
	return e, json.Unmarshal(r.Value, &e)
}

// configurationSink keeps the configuration record with the highest version.
type configurationSink struct {
	mu     sync.Mutex
	newest *compactedlog.Record
}

// Replace applies the newest record of every key.
func (c *configurationSink) Replace(records []compactedlog.Record) { c.Apply(records) }

// Apply keeps the configuration if it is newer.
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

// Read does nothing.
func (c *configurationSink) Read(time.Duration) {}

// Failed does nothing.
func (c *configurationSink) Failed(error) {}

// Restored does nothing.
func (c *configurationSink) Restored() {}

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

// Version returns the version of the configuration that the router has, 0 if none.
func (r *router) Version() int {
	record := r.configurationSink.record()
	if record == nil {
		return 0
	}
	return versionOf(*record)
}

// Uses reports whether the router may use the endpoint.
func (r *router) Uses(endpoint int) bool {
	id := fmt.Sprint("e", endpoint)
	changes, _ := r.endpoints.Changes().Since(0)
	return slices.ContainsFunc(changes, func(c fleetload.Change) bool { return c.Usable && c.Entry.ID == id })
}
