package router

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/io/probe"
	"savoryfall/io/standin/vmservice"
	"savoryfall/io/traffic"
	"savoryfall/io/vmlist"
)

const engine = "engine-01"

// silent is a gossip that passes nothing on.
type silent struct{}

func (silent) Finding(string, bool) {}
func (silent) Mark(string, string)  {}

// noDuties assigns no probes.
type noDuties struct{}

func (noDuties) Assigned(string, int) bool { return false }

// watched is a VM list, and the health of endpoints as a router that polls the list sees it.
type watched struct {
	list    vmservice.Service
	health  health.Table
	watcher *vmWatcher
}

func newWatched(t *testing.T) (w *watched) {
	t.Helper()
	w = &watched{}
	server := httptest.NewServer(w.list.Handler())
	t.Cleanup(server.Close)
	w.watcher = &vmWatcher{
		list:    vmlist.New(server.URL, server.Client()),
		members: membership.New(membership.Update{Name: "entry-1"}, time.Second),
		probe:   probe.New(&w.health, &ledger.Ledger{}, traffic.New(metrics.NewSet()), time.Second, time.Second, log.NewNopLogger()),
		logger:  log.NewNopLogger(),
	}
	w.watcher.probe.SetPeers(noDuties{}, silent{})
	return w
}

func (w *watched) put(leaving bool) {
	w.list.Put(vmlist.VM{Name: engine, Role: vmlist.RoleEndpoint, Leaving: leaving})
}

func (w *watched) state() health.State { return w.health.State(engine, time.Now()) }

// A router reads the VM list before its configuration, as it does when it starts, and the list does not change
// afterwards. The mark must hold for the endpoint that the configuration adds.
func TestMarkListedBeforeConfiguration(t *testing.T) {
	w := newWatched(t)
	w.put(true)
	w.watcher.poll(t.Context())
	w.health.Configure([]string{engine})
	w.health.RecordAnswer(engine, "one", false, time.Now())
	w.watcher.poll(t.Context())
	assert.Equal(t, w.state(), health.Leaving)
	w.put(false)
	w.watcher.poll(t.Context())
	assert.Equal(t, w.state(), health.Up)
}

// A VM disappears from the VM list while a starting router waits for the end of its mark. The endpoint must get requests
// again.
func TestMarkOfVMThatDisappears(t *testing.T) {
	w := newWatched(t)
	w.health.Configure([]string{engine})
	w.put(true)
	w.watcher.poll(t.Context())
	w.health.RecordAnswer(engine, "one", false, time.Now())
	assert.Equal(t, w.state(), health.Leaving)
	w.list.Remove(engine)
	w.watcher.poll(t.Context())
	assert.Equal(t, w.state(), health.Up)
}

// The VM list marks an endpoint that the router has known for longer than the list can be late. The mark must be certain,
// so that it is passed on to the peers, also if the endpoint has replaced another one.
func TestMarkOfEndpointKnownForLongIsCertain(t *testing.T) {
	for _, unchangedReads := range []int{0, 2} {
		w := newWatched(t)
		w.health.Configure([]string{engine})
		w.health.RecordAnswer(engine, "one", false, time.Now().Add(-time.Hour))
		w.health.RecordAnswer(engine, "two", false, time.Now().Add(-time.Minute))
		w.put(false)
		w.watcher.poll(t.Context())
		for range unchangedReads {
			w.watcher.poll(t.Context())
		}
		w.put(true)
		w.watcher.poll(t.Context())
		assert.Equal(t, w.state(), health.Leaving)
		assert.Assert(t, w.health.KnownLeaving(engine))
	}
}
