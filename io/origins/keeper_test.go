package origins_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/members"
	"savoryfall/core/origin"
	"savoryfall/core/origintable"
	"savoryfall/core/versionhistory"
	"savoryfall/io/origins"
	"savoryfall/io/traffic"
)

// condition is whether a router can be connected to.
type condition int

const (
	running condition = iota
	// killed routers refuse connections, frozen ones do not answer, and older ones lack the service.
	killed
	frozen
	older
)

// router is one router of a fleet.
type router struct {
	*origins.Keeper
	name      string
	history   *versionhistory.History
	server    *rpc.Server
	condition condition
	conns     []net.Conn
}

// fleet is a number of routers that are connected in memory.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	routers []*router
}

// runFleet runs the test in a synctest bubble with n routers that list endpoints of the versions.
func runFleet(t *testing.T, n int, versions []string, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t}
		for i := range n {
			f.routers = append(f.routers, f.start(fmt.Sprint("vm", i), versions))
		}
		test(f)
		for _, r := range f.routers {
			f.kill(r)
		}
		time.Sleep(time.Minute)
	})
}

// start returns a router that has just started.
func (f *fleet) start(name string, versions []string) (r *router) {
	r = &router{name: name, history: &versionhistory.History{}, server: rpc.NewServer()}
	r.list(versions...)
	r.Keeper = &origins.Keeper{
		Others: func() []members.Member { return f.others(name) }, Dial: f.dial, History: r.history, Meter: traffic.New(metrics.NewSet()),
	}
	assert.NilError(f.t, r.Register(r.server))
	assert.NilError(f.t, r.Start(context.Background()))
	return r
}

// start is a time for tests without a clock.
var start = time.Unix(1000, 0)

// newServer returns a server of the router's service.
func newServer(t testing.TB, r *router) (s *rpc.Server) {
	s = rpc.NewServer()
	assert.NilError(t, r.Register(s))
	return s
}

// list has the router list endpoints of the versions, which have started long ago.
func (r *router) list(versions ...string) {
	var entries []directory.Entry
	for i, v := range versions {
		entries = append(entries, directory.Entry{ID: fmt.Sprint("e", i), Service: "models", Version: v, Born: time.Now().Add(-time.Hour).UnixMilli()})
	}
	r.history.SetListed(entries, time.Now())
}

func (f *fleet) others(name string) (list []members.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name != name {
			list = append(list, members.Member{Name: r.name, Address: r.name})
		}
	}
	return list
}

func (f *fleet) dial(_ context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name != address {
			continue
		}
		ours, theirs := net.Pipe()
		r.conns = append(r.conns, theirs)
		switch r.condition {
		case killed:
			return nil, errors.New("connection refused")
		case older:
			go rpc.NewServer().ServeConn(theirs)
		case frozen:
			go func() { _, _ = io.Copy(io.Discard, theirs) }()
		case running:
			go r.server.ServeConn(theirs)
		}
		return ours, nil
	}
	return nil, errors.New("no such router")
}

func (f *fleet) kill(r *router) {
	f.mu.Lock()
	r.condition = killed
	for _, c := range r.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	_ = r.Stop(context.Background())
}

// restart replaces a router by a new process.
func (f *fleet) restart(i int, versions ...string) {
	f.kill(f.routers[i])
	started := f.start(f.routers[i].name, versions)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[i] = started
}

const ttl = 20 * time.Second

func record(id, version string) origintable.Record {
	return origintable.Record{
		Key: origin.Key("coop", id), Origin: origin.Origin{Service: "models", Version: version, Endpoint: "e1", Born: 1}, Attempt: 1, Remaining: ttl,
	}
}

// begin records a stream and returns how long its first event was held back.
func (r *router) begin(id, version string) (held time.Duration) {
	sent := time.Now()
	r.Begin(record(id, version), nil).Wait(context.Background())
	return time.Since(sent)
}

// find returns the version that began the stream, and how it is known.
func (r *router) find(id string) (version string, from origins.Source) {
	o, from, ok := r.Find(origins.Query{Key: origin.Key("coop", id), HasKey: true, Service: "models", Window: ttl})
	if !ok {
		return "?", ""
	}
	return o.Version, from
}

var several = []string{"v1", "v2"}

// Guards against a stream whose beginning is unknown because its router was killed right after the first event.
func TestOriginOutlivesItsRouter(t *testing.T) {
	for _, n := range []int{2, 6, 30, 300} {
		runFleet(t, n, several, func(f *fleet) {
			for i := range 20 {
				f.routers[0].begin(fmt.Sprint("s", i), "v2")
			}
			f.kill(f.routers[0])
			for i := range 20 {
				version, _ := f.routers[1+i%(n-1)].find(fmt.Sprint("s", i))
				assert.Equal(t, version, "v2", "%d routers, stream %d", n, i)
			}
		})
	}
}

// Guards against records that are lost when half of the fleet is killed at once.
func TestOriginOutlivesKeepers(t *testing.T) {
	runFleet(t, 6, several, func(f *fleet) {
		for i := range 20 {
			f.routers[0].begin(fmt.Sprint("s", i), "v2")
		}
		time.Sleep(time.Second)
		for i := range 3 {
			f.kill(f.routers[i])
		}
		for i := range 20 {
			version, _ := f.routers[5].find(fmt.Sprint("s", i))
			assert.Equal(t, version, "v2")
		}
	})
}

// Guards against first events that wait for routers that are gone, silent or of an earlier release, and against records
// that only these were given.
func TestOriginIsKeptByRoutersThatAnswer(t *testing.T) {
	for name, c := range map[string]condition{"killed": killed, "frozen": frozen, "older": older} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 6, several, func(f *fleet) {
				for i := 1; i < 4; i++ {
					f.routers[i].condition = c
				}
				for i := range 20 {
					held := f.routers[0].begin(fmt.Sprint("s", i), "v1")
					assert.Assert(t, held <= time.Second, "%v", held)
				}
				time.Sleep(time.Second)
				f.kill(f.routers[0])
				for i := range 20 {
					version, _ := f.routers[4].find(fmt.Sprint("s", i))
					assert.Equal(t, version, "v1")
				}
			})
		})
	}
}

// A router that reaches no other one forwards events, and answers for its own streams.
func TestLoneRouter(t *testing.T) {
	for _, c := range []condition{killed, frozen, older} {
		runFleet(t, 3, several, func(f *fleet) {
			f.routers[1].condition, f.routers[2].condition = c, c
			assert.Assert(t, f.routers[0].begin("s", "v1") <= time.Second)
			version, from := f.routers[0].find("s")
			assert.Equal(t, version, "v1")
			assert.Equal(t, from, origins.Own)
			began := time.Now()
			version, _ = f.routers[0].find("unknown")
			assert.Equal(t, version, "?")
			assert.Assert(t, time.Since(began) <= 700*time.Millisecond, "%v", time.Since(began))
		})
	}
}

// Guards against a rolling restart that loses the records with the routers that keep them.
func TestRollingRestartKeepsOrigins(t *testing.T) {
	runFleet(t, 6, several, func(f *fleet) {
		for i := range 20 {
			f.routers[0].begin(fmt.Sprint("s", i), "v2")
		}
		for i := range f.routers {
			time.Sleep(time.Second)
			f.routers[i].HandOver(time.Second)
			f.restart(i, several...)
		}
		for i := range 20 {
			version, _ := f.routers[i%6].find(fmt.Sprint("s", i))
			assert.Equal(t, version, "v2")
		}
	})
}

// Guards against streams that began while the service had a single version and are unknown once it has two.
func TestOriginsAreSharedWhenAnotherVersionAppears(t *testing.T) {
	runFleet(t, 6, []string{"v1"}, func(f *fleet) {
		time.Sleep(time.Minute)
		assert.Equal(t, f.routers[0].begin("s", "v1"), time.Duration(0))
		time.Sleep(time.Second)
		for _, r := range f.routers[1:] {
			assert.Equal(t, r.Records(), 0, "a service with one version needs no records")
		}
		for _, r := range f.routers {
			r.list(several...)
			r.EndpointsChanged()
		}
		time.Sleep(100 * time.Millisecond)
		f.kill(f.routers[0])
		version, from := f.routers[3].find("s")
		assert.Equal(t, version, "v1")
		assert.Assert(t, from != origins.OnlyVersion)
	})
}

// Guards against a stream that goes on at the only version that a router knows, while another router already knew a second
// one and began the stream there.
func TestRouterBehindTheOthersAsks(t *testing.T) {
	runFleet(t, 6, []string{"v1"}, func(f *fleet) {
		time.Sleep(time.Minute)
		f.routers[0].list(several...)
		f.routers[0].begin("s", "v2")
		f.kill(f.routers[0])
		version, from := f.routers[1].find("s")
		assert.Equal(t, version, "v2")
		assert.Assert(t, from != origins.OnlyVersion)
		version, from = f.routers[1].find("other")
		assert.Equal(t, version, "v1")
		assert.Equal(t, from, origins.OnlyVersion)
	})
}

// A router that has just started learns from another one that the service has had a single version. Where that is not so, or
// no other router knows, nothing is assumed.
func TestNewRouterLearnsOfTheOnlyVersion(t *testing.T) {
	runFleet(t, 3, []string{"v2"}, func(f *fleet) {
		young := directory.Entry{ID: "e9", Service: "models", Version: "v2", Born: time.Now().UnixMilli()}
		time.Sleep(time.Minute)
		restarted := &versionhistory.History{}
		restarted.SetListed([]directory.Entry{{ID: "e9", Service: "models", Version: "v2", Born: time.Now().UnixMilli()}}, time.Now())
		f.routers[2].History = restarted
		version, from := f.routers[2].find("s")
		assert.Equal(t, version, "v2")
		assert.Equal(t, from, origins.OnlyVersionByRouter)
		unnamed, _, ok := f.routers[2].Find(origins.Query{Service: "models", Window: ttl})
		assert.Assert(t, ok)
		assert.Equal(t, unnamed.Version, "v2")
		young.Version = "v1"
		f.routers[0].history.Saw(young, time.Now())
		f.routers[1].history.Saw(young, time.Now())
		version, _ = f.routers[2].find("s")
		assert.Equal(t, version, "?")
	})
}

// Guards against an account that learns of the streams of another one.
func TestOriginOfAnotherAccount(t *testing.T) {
	runFleet(t, 3, several, func(f *fleet) {
		f.routers[0].begin("s", "v1")
		_, _, ok := f.routers[0].Find(origins.Query{Key: origin.Key("mill", "s"), HasKey: true, Service: "models", Window: ttl})
		assert.Assert(t, !ok)
	})
}

// Guards against a record that a router keeps for as long as another one says.
func TestRetentionIsBounded(t *testing.T) {
	runFleet(t, 2, several, func(f *fleet) {
		r := record("s", "v1")
		r.Remaining = 24 * time.Hour
		f.routers[0].Begin(r, nil).Wait(context.Background())
		time.Sleep(origins.MaxRetention + time.Second)
		f.kill(f.routers[0])
		version, _ := f.routers[1].find("s")
		assert.Equal(t, version, "?")
	})
}

// Guards against a router that knows the version of an attempt that failed before its first event, and not that of the next
// one, because it could not be reached in between.
func TestRecordOfFailedAttemptIsReplacedEverywhere(t *testing.T) {
	for name, c := range map[string]condition{"running": running, "killed": killed, "frozen": frozen} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 6, several, func(f *fleet) {
				for i := range 20 {
					ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
					first, next := record(fmt.Sprint("s", i), "v1"), record(fmt.Sprint("s", i), "v2")
					next.Attempt++
					placement := f.routers[0].Begin(first, nil)
					placement.Wait(ctx)
					f.disturb(f.routers[4], c)
					_, safe := f.routers[0].Begin(next, placement).Wait(ctx)
					cancel()
					f.disturb(f.routers[4], running)
					time.Sleep(2 * time.Second)
					for _, r := range f.routers[1:] {
						version, _ := r.find(fmt.Sprint("s", i))
						assert.Assert(t, version == "v2" || !safe, "%s knows %s", r.name, version)
					}
					assert.Assert(t, safe || c != running)
				}
			})
		})
	}
}

// disturb changes the condition of a router, which keeps what it knows, and ends its connections.
func (f *fleet) disturb(r *router, c condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.condition == c {
		return
	}
	r.condition = c
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
