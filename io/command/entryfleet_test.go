package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryfall/core/settings"
	"savoryfall/io/logwriter"
	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/fakestore"
	"savoryfall/platform/standin/testclient"
)

// entryFleet runs entry VMs, fake endpoints and a store in one process, on loopback.
type entryFleet struct {
	t            testing.TB
	store        fakestore.Service
	storeAddress string
	endpoints    map[string]*fakeendpoint.Endpoint
	vms          []*entryVM
	// peerAddresses are the addresses for routers, by number of the VM. One that is started again has the same.
	peerAddresses map[int]string
	// partitions are those of the routers from the endpoints.
	partitions []*partition
	// configure is called with each router before it starts. It may be nil.
	configure func(vm *entryVM)
}

func newEntryFleet(t testing.TB, vms int) *entryFleet { return newConfiguredEntryFleet(t, vms, nil) }

func newConfiguredEntryFleet(t testing.TB, vms int, configure func(vm *entryVM)) *entryFleet {
	f := &entryFleet{t: t, endpoints: map[string]*fakeendpoint.Endpoint{}, peerAddresses: map[int]string{}, configure: configure}
	storeServer := httptest.NewServer(&f.store)
	t.Cleanup(storeServer.Close)
	f.storeAddress = strings.TrimPrefix(storeServer.URL, "http://")
	f.putConfiguration(1, "good", "plain")
	for i := range 3 {
		f.addEndpoint(fmt.Sprint("m", i), fakeendpoint.Options{Service: "models", Version: "v1", Slots: 32, Events: 5, EventTime: time.Millisecond})
		f.addEndpoint(fmt.Sprint("p", i), fakeendpoint.Options{Service: "plain", Slots: 8})
	}
	f.addEndpoint("q0", fakeendpoint.Options{Service: "other", Slots: 8})
	for i := range vms {
		f.start(i)
	}
	f.waitFor("ready", func() bool {
		for _, vm := range f.vms {
			if !vm.handler.Ready() || f.get(vm, "/read/x", "good").Status != 200 {
				return false
			}
		}
		return true
	})
	return f
}

// putConfiguration stores a version of the configuration with one API key, with the read route on the given service, and with
// further routes of streams that cannot be resumed.
func (f *entryFleet) putConfiguration(version int, key, service string, streams ...string) {
	route := func(name, kind, service string, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"shop.example","path_prefix":"/%s/","type":%q,"timeout_ms":3000,"goal_ms":100,
			"service":%q,"max_attempts":2,"resumable":%v}`, name, name, kind, service, resumable)
	}
	routes := []string{route("read", "idempotent", service, false), route("book", "non_idempotent", "plain", false), route("draft", "streaming", "models", true)}
	for _, name := range streams {
		routes = append(routes, route(name, "streaming", "models", false))
	}
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],
		"services":[{"name":"models","max_conns":100,"engine":{"slots":32,"kv_capacity":100000}},{"name":"plain","max_conns":100},
			{"name":"other","max_conns":100}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"coop","api_keys":[%q]}]}`, version, strings.Join(routes, ","), key))
}

func (f *entryFleet) addEndpoint(id string, o fakeendpoint.Options) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	o.ID, o.Address = id, l.Addr().String()
	if o.FailureDomain == "" {
		o.FailureDomain = "a"
	}
	s := fakeendpoint.New(o)
	httpServer := &http.Server{Handler: s}
	go func() { _ = httpServer.Serve(l) }()
	f.t.Cleanup(func() { _ = httpServer.Close() })
	f.endpoints[id] = s
	f.store.Put("keyed.servers", id, s.Entry())
}

func (f *entryFleet) start(i int) {
	text := fmt.Sprintf(`
[vm]
name = "vm%d"
failureDomain = "a"
cores = %d
[clients]
address = "127.0.0.1:0"
[readiness]
address = "127.0.0.1:0"
[metrics]
address = "127.0.0.1:0"
[peers]
address = %q
[store]
address = %q
`, i, 10-i, f.peerAddress(i), f.storeAddress)
	cfg, err := settings.ParseEntry("vm.toml", []byte(text))
	assert.NilError(f.t, err)
	vm, err := newEntryVM(cfg, logwriter.New(io.Discard))
	assert.NilError(f.t, err)
	cut := &partition{}
	vm.connector.Dial = cut.dial
	f.partitions = append(f.partitions, cut)
	if f.configure != nil {
		f.configure(vm)
	}
	assert.NilError(f.t, vm.start(context.Background()))
	f.vms = append(f.vms, vm)
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = vm.manager.Stop(ctx)
	})
}

func (f *entryFleet) peerAddress(i int) string {
	if f.peerAddresses[i] == "" {
		f.peerAddresses[i] = uniqueLoopbackAddress()
	}
	return f.peerAddresses[i]
}

var addressCount atomic.Int64

// uniqueLoopbackAddress returns a loopback IP address that no other test uses, with a fixed port. Choosing a free port
// of one address instead would race with other sockets between the choice and the bind.
func uniqueLoopbackAddress() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:20101", 1+os.Getpid()%250, 1+n/250, 1+n%250)
}

func (f *entryFleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

var requestCount atomic.Int64

func (f *entryFleet) get(vm *entryVM, path, key string) testclient.Response {
	return f.send(vm, "GET", path, key, fmt.Sprint("r", requestCount.Add(1)))
}

func (f *entryFleet) send(vm *entryVM, method, path, key, id string) testclient.Response {
	return testclient.Send(vm.clientServer.Address(), testclient.Request{Method: method, Host: "shop.example", Path: path, ID: id, Key: key})
}

// metrics returns what the VM serves at its metrics address.
func (f *entryFleet) metrics(vm *entryVM) string {
	resp, err := http.Get("http://" + vm.metricsAddress() + "/metrics")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return string(body)
}
