package command_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/standin/procmemory"
	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/fakestore"
	"savoryfall/platform/standin/testclient"
)

// memoryLimitMB is what the machine of most routers has.
const memoryLimitMB = 284

// memoryFleet is a router in a process of its own whose memory is watched, and its endpoints: four of the plain service and four
// engines, of which the first half of the list are two of each.
type memoryFleet struct {
	t         *testing.T
	endpoints []*fakeendpoint.Endpoint
	address   string
	pid       int
}

func newMemoryFleet(t *testing.T, configuration string, memoryMB int) (f *memoryFleet) {
	f = &memoryFleet{t: t}
	settings, endpoints := withEndpoints(t, configuration, entrySettings)
	f.endpoints = endpoints
	settings = strings.Replace(settings, "[clients]", fmt.Sprintf("memoryMB = %d\n[clients]", memoryMB), 1)
	cmd, lines, _, address := startRouter(t, "entry", settings)
	go func() {
		for lines.Scan() {
		}
	}()
	f.address, f.pid = address, cmd.Process.Pid
	first := testclient.Request{Method: "GET", Host: "shop.example", Path: "/read/x", ID: "first", Key: "good", Prompt: testclient.NoPrompt}
	for testclient.Send(address, first).Status != 200 {
		<-time.After(10 * time.Millisecond)
	}
	return f
}

// withEndpoints starts a store with the configuration, and endpoints, and returns the settings with the store's address.
func withEndpoints(t *testing.T, configuration, settings string) (out string, endpoints []*fakeendpoint.Endpoint) {
	var store fakestore.Service
	storeServer := httptest.NewServer(&store)
	t.Cleanup(storeServer.Close)
	store.Put("keyed.op", "config", []byte(configuration))
	for i := range 4 {
		endpoints = append(endpoints, newEndpoint(t, &store, fmt.Sprint("p", i), "plain", 0), newEndpoint(t, &store, fmt.Sprint("m", i), "models", 3))
	}
	return strings.Replace(settings, "127.0.0.1:1", strings.TrimPrefix(storeServer.URL, "http://"), 1), endpoints
}

// ran reports whether an endpoint has run the request.
func (f *memoryFleet) ran(id string) bool {
	return slices.ContainsFunc(f.endpoints, func(e *fakeendpoint.Endpoint) bool { return e.ExecutionsOf(id) > 0 })
}

// peakMB returns the most that the router holds until all clients are done.
func (f *memoryFleet) peakMB(clients *sync.WaitGroup) (mb int) {
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			return mb
		case <-time.After(2 * time.Millisecond):
		}
		mb = max(mb, residentMB(f.t, f.pid))
	}
}

// newEndpoint starts an endpoint and writes its entry.
func newEndpoint(t *testing.T, store *fakestore.Service, id, service string, events int) (e *fakeendpoint.Endpoint) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	e = fakeendpoint.New(fakeendpoint.Options{
		ID: id, Service: service, Address: l.Addr().String(), FailureDomain: "a", Slots: 64, ResponseTime: 5 * time.Millisecond, Events: events, EventTime: 5 * time.Millisecond,
	})
	s := &http.Server{Handler: e}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	store.Put("keyed.servers", id, e.Entry())
	return e
}

// residentMB returns the resident memory of a process that belongs to no file.
func residentMB(t *testing.T, pid int) (mb int) {
	mb, err := procmemory.AnonymousMB(pid)
	assert.NilError(t, err)
	return mb
}
