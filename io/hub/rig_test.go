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

	"savoryfall/core/directory"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
	"savoryfall/io/draining"
	"savoryfall/io/follow"
	"savoryfall/io/hub"
	"savoryfall/io/meter"
	"savoryfall/io/registry"
	"savoryfall/platform/evacuation"
)

// fleet is hundreds of routers in one process, on a network and before a store that a test breaks. It runs under the pausable
// clock.
type fleet struct {
	t       *testing.T
	began   time.Time
	store   *sharedStore
	net     *wires
	routers []*member
}

// member is one router: an agent with the two topics that it follows.
type member struct {
	self          members.Member
	agent         *hub.Agent
	configuration *follow.Follower
	registry      *follow.Follower
	endpoints     *registry.Keeper
	current       current
	drained       *draining.Keeper
	mu            sync.Mutex
	domains       []string
	// drainedAt is since when they are drained.
	drainedAt time.Time
	work      loads
}

const (
	domains  = 6
	listed   = 40
	bound    = 4 * time.Second
	largeVMs = 3 * domains
)

func (f *fleet) clock() time.Duration { return time.Hour + time.Since(f.began) }

// newFleet starts n routers within 0.3 s, the first largeVMs of them on large VMs, and lets them find each other.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, began: time.Now(), store: newSharedStore(), net: newWires()}
	f.store.put(configurationTopic, "config", "1")
	for e := range listed {
		f.list(e, false)
	}
	for i := range n {
		m := members.Member{
			Name: fmt.Sprint("vm", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), FailureDomain: fmt.Sprint("domain", i%domains),
			Bears: members.VM{Cores: 0.2, MemoryMB: 184, LinkMbps: 20}.Bears(),
		}
		if i < largeVMs {
			m.Bears = members.VM{Cores: 0.8, MemoryMB: 536, LinkMbps: 200}.Bears()
		}
		f.start(m, true)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return f
}

// list writes the entry of an endpoint.
func (f *fleet) list(e int, leaving bool) {
	entry := directory.Entry{ID: fmt.Sprint("e", e), Born: 1, Service: "s", Address: fmt.Sprint("10.9.0.", e), Leaving: leaving}
	data, err := json.Marshal(entry)
	assert.NilError(f.t, err)
	f.store.put(registryTopic, entry.ID, string(data))
}

func (f *fleet) start(m members.Member, bootstrap bool) {
	m.Started = time.Now().UnixNano()
	r := &member{self: m}
	options := follow.Options{Grace: 400 * time.Millisecond, Stale: bound * 3 / 4, First: 1200 * time.Millisecond, Clock: f.clock}
	configured, entered := options, options
	configured.Name, configured.Wait, configured.Pause = "configuration", 500*time.Millisecond, 50*time.Millisecond
	entered.Name, entered.Pause = "registry", 600*time.Millisecond
	r.drained = draining.New(evacuation.Decoder{}, r, log.NewNopLogger())
	r.configuration = follow.New(f.store.of(m.Name, configurationTopic), follow.Sinks{r.drained, &r.current}, configured, log.NewNopLogger())
	r.endpoints = registry.New(entries{}, func([]directory.Entry) {}, log.NewNopLogger())
	r.registry = follow.New(f.store.of(m.Name, registryTopic), r.endpoints, entered, log.NewNopLogger())
	var err error
	r.agent, err = hub.New(hub.Parts{
		Self: m, Address: m.Address, Members: &members.List{}, Configuration: r.configuration, Record: r.current.record, Beside: r.drained.Records,
		Registry: r.registry, Endpoints: r.endpoints, Loads: &r.work, Listing: hub.NewListing(f.store.of(m.Name, routersTopic)),
		Bootstrap: bootstrap, Network: f.net.of(m.Address), Meter: meter.New(metrics.NewSet()), Logger: log.NewNopLogger(),
		Clock: f.clock, Stale: bound * 3 / 4, Counted: func([]uint64) {},
	})
	assert.NilError(f.t, err)
	ctx := context.Background()
	assert.NilError(f.t, r.configuration.Start(ctx))
	assert.NilError(f.t, r.registry.Start(ctx))
	assert.NilError(f.t, r.agent.Start(ctx))
	f.routers = append(f.routers, r)
}

// kill ends routers without a word to anybody; their VMs answer nothing when silent.
func (f *fleet) kill(silent bool, dies func(m members.Member) bool) (dead []members.Member) {
	kept := f.routers[:0:0]
	var ending sync.WaitGroup
	for _, r := range f.routers {
		if !dies(r.self) {
			kept = append(kept, r)
			continue
		}
		dead = append(dead, r.self)
		f.net.cut(r.self.Address, silent)
		ending.Go(r.stop)
	}
	ending.Wait()
	f.routers = kept
	return dead
}

// Drain notes what is drained, and since when.
func (r *member) Drain(domains []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domains, r.drainedAt = domains, now
}

// InDomain is of no interest here.
func (r *member) InDomain(string) int { return 0 }

// drains tells which failure domains the router has drained, and since when.
func (r *member) drains() (domains []string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.domains, r.drainedAt
}

func (r *member) stop() {
	ctx := context.Background()
	_ = r.agent.Stop(ctx)
	_ = r.configuration.Stop(ctx)
	_ = r.registry.Stop(ctx)
}

func (f *fleet) stop() {
	f.kill(false, func(members.Member) bool { return true })
	// Reports that hubs still hold.
	time.Sleep(time.Second)
}

// turnMostAway has the store refuse the large VMs, the first hub among them, and two thirds of all others.
func (f *fleet) turnMostAway() {
	f.store.refuse(func(router string) bool {
		n := 0
		_, _ = fmt.Sscanf(router, "vm%d", &n)
		return n < largeVMs || n%3 > 0
	})
}

// known checks that every router knows the newest version and which endpoints are usable, by reads no older than the age.
func (f *fleet) known(version string, usable int, age time.Duration) {
	f.t.Helper()
	for _, r := range f.routers {
		assert.Equal(f.t, r.current.version(), version, r.self.Name)
		assert.Equal(f.t, r.usable(), usable, r.self.Name)
		for _, topic := range []*follow.Follower{r.configuration, r.registry} {
			_, sent, ok := topic.Known()
			assert.Assert(f.t, ok, r.self.Name)
			assert.Assert(f.t, f.clock()-sent <= age, "%s knows what is %v old", r.self.Name, f.clock()-sent)
		}
	}
}

func (r *member) usable() (n int) {
	changes, _ := r.endpoints.Changes().Since(0)
	for _, c := range changes {
		if c.Usable {
			n++
		}
	}
	return n
}

// shape tells how many follow nobody, how many levels there are, and how many follow the busiest.
func (f *fleet) shape() (first, levels, most int) {
	f.t.Helper()
	hubs, followers := map[string]string{}, map[string]int{}
	for _, r := range f.routers {
		hub := r.agent.Follows()
		if hub == r.self.Name {
			first++
			continue
		}
		hubs[r.self.Name] = hub
		followers[hub]++
		most = max(most, followers[hub])
	}
	for at := range hubs {
		depth := 0
		for ; hubs[at] != ""; at = hubs[at] {
			depth++
			assert.Assert(f.t, depth < len(f.routers), "a circle")
		}
		levels = max(levels, depth)
	}
	return first, levels, most
}

// noneFresher checks that nobody takes what it knows for newer than a read of the store was.
func (f *fleet) noneFresher() {
	f.t.Helper()
	last := f.store.lastRead(f.began)
	for _, r := range f.routers {
		_, sent, _ := r.registry.Known()
		assert.Assert(f.t, sent <= last, "%s: read sent at %v, the last was at %v", r.self.Name, sent, last)
	}
}

// entries decodes what list wrote.
type entries struct{}

func (entries) Decode(r keyed.Record) (e directory.Entry, err error) {
	return e, json.Unmarshal(r.Value, &e)
}

// current keeps the newest configuration.
type current struct {
	mu     sync.Mutex
	newest *keyed.Record
}

func (c *current) Replace(records []keyed.Record) { c.Apply(records) }

func (c *current) Apply(records []keyed.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Key != "config" {
			continue
		}
		if c.newest == nil || r.Offset > c.newest.Offset {
			c.newest = &r
		}
	}
}

func (c *current) Read(time.Duration) {}
func (c *current) Failed(error)       {}

func (c *current) record() *keyed.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

func (c *current) version() string {
	if r := c.record(); r != nil {
		return string(r.Value)
	}
	return ""
}
