package command

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// routerCut cuts a router off from the store and from other routers, in both directions.
type routerCut struct{ cut atomic.Bool }

func (c *routerCut) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.cut.Load() {
		return nil, errRefused
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func (*routerCut) Listen(string) (net.Listener, error) { return nil, errRefused }

func (c *routerCut) Dial(ctx context.Context, address string) (net.Conn, error) {
	return c.dial(ctx, address)
}

// storeProxy returns the address of the store as the cut router sees it.
func (f *entryFleet) storeProxy(c *routerCut) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	f.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against streams of a public route that are joined by a router that is cut off from the store and from other routers, and has not
// heard of the version at which they began.
func TestStreamsAreNotJoinedByRouterThatIsCutOff(t *testing.T) {
	t.Parallel()
	f := newLossFleet(t, 0, "v1")
	f.store.Put("keyed.op", "config", []byte(`{"version":2,"routes":[{"name":"draft","host":"shop.example","path_prefix":"/draft/","type":"streaming",
		"timeout_ms":3000,"goal_ms":100,"service":"models","max_attempts":2,"resumable":true,"public":true}],
		"services":[{"name":"models","max_conns":100,"engine":{"slots":32,"kv_capacity":100000}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"coop","api_keys":["good"]}]}`))
	cut := &routerCut{}
	f.configure = func(vm *entryVM) {
		vm.hub.Network, vm.origins.Dial = cut, cut.dial
	}
	store := f.storeAddress
	f.storeAddress = f.storeProxy(cut)
	f.start(1)
	lone := f.vms[0]
	f.awaitRouters(f.vms, 2)
	<-time.After(9 * time.Second)

	cut.cut.Store(true)
	f.addEngine("v2-0", "v2", oldProcess)
	f.addEngine("v2-1", "v2", oldProcess)
	f.storeAddress, f.vms = store, nil
	f.start(0)
	f.waitFor("endpoints", func() bool {
		return f.vms[0].handler.Ready() && strings.Contains(f.metrics(f.vms[0]), "savoryfall_endpoints 4\n")
	})
	streams, ended := f.beginAtAll()
	f.kill(f.vms[0])
	ended.Wait()

	f.vms = []*entryVM{lone}
	joined, _ := f.resumeElsewhere(streams)
	assert.Equal(t, joined, 0)
}
