package command

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/quarantine"
	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

const (
	// endpointDown is how long a crashed endpoint takes to be back, under another id.
	endpointDown = 1500 * time.Millisecond
	// entryLapse is how long the entry of a crashed endpoint stays.
	entryLapse = 2500 * time.Millisecond
)

// crashOptions are the endpoints of a crashFleet and what crashes them.
type crashOptions struct {
	routers, endpoints int
	// service is that of the endpoints: engines if it is empty.
	service string
	crash   fakeendpoint.Crash
	// unframed endpoints answer with neither a length nor chunks.
	unframed bool
	// eventTime is the time that an event takes, or an answer of a plain service.
	eventTime time.Duration
}

// crashFleet is a fleet whose endpoints crash on requests and come back.
type crashFleet struct {
	*entryFleet
	options crashOptions

	mu        sync.Mutex
	starts    int
	endpoints map[string]*fakeendpoint.Endpoint
	// end ends the endpoints that run, by id.
	end     map[string]func()
	crashes []time.Time
	// lost are the addresses at which nothing answers any more.
	lost    []string
	results []soundResult
	// quarantined are the hashes of the requests that any router quarantined.
	quarantined map[uint64]bool
	stopped     bool
}

// soundResult is how a sound request went.
type soundResult struct {
	at     time.Time
	status int
	served bool
}

func newCrashFleet(t *testing.T, o crashOptions) *crashFleet {
	if o.service == "" {
		o.service = "models"
	}
	if o.eventTime == 0 {
		o.eventTime = 10 * time.Millisecond
	}
	f := &crashFleet{options: o, endpoints: map[string]*fakeendpoint.Endpoint{}, end: map[string]func(){}, quarantined: map[uint64]bool{}}
	f.entryFleet = newConfiguredEntryFleet(t, o.routers, f.observe)
	for i := range 3 {
		f.store.Put("keyed.servers", fmt.Sprint(o.service[:1], i), nil)
	}
	for i := range o.endpoints {
		f.startEndpoint(i, uniqueLoopbackAddress())
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
	})
	f.putConfiguration(2, "good", "plain", "talk")
	for _, vm := range f.vms {
		f.waitFor("the endpoints", func() bool {
			return strings.Contains(f.metrics(vm), fmt.Sprintf("savoryfall_endpoints %d\n", 4+o.endpoints))
		})
		f.waitFor("all routers", func() bool { return vm.routers.Load() == int64(o.routers) })
		f.waitFor("the routes", func() bool { return vm.configTracker.Current().Version() == 2 })
	}
	return f
}

// observe keeps which requests the router quarantines.
func (f *crashFleet) observe(vm *entryVM) {
	onChange := vm.quarantine.OnChange
	vm.quarantine.OnChange = func(quarantined, released []quarantine.Status) {
		f.mu.Lock()
		for _, s := range quarantined {
			if s.Key.Request {
				f.quarantined[s.Key.Part] = true
			}
		}
		f.mu.Unlock()
		onChange(quarantined, released)
	}
}

// startEndpoint starts an endpoint, which crashes and starts again under another id. It must be called without the lock.
func (f *crashFleet) startEndpoint(i int, address string) {
	l, err := net.Listen("tcp4", address)
	assert.Check(f.t, err)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	id := fmt.Sprintf("c%d-%d", i, f.starts)
	var server *http.Server
	end := func() { f.crash(i, id, l.Addr().String(), server) }
	o := fakeendpoint.Options{
		ID: id, Service: f.options.service, Address: l.Addr().String(), FailureDomain: "a", Version: "v1", Slots: 32, EventTime: f.options.eventTime,
		ResponseTime: f.options.eventTime, Unframed: f.options.unframed, OnCrash: end,
	}
	if f.options.service == "models" {
		o.Events = streamEvents
	}
	e := fakeendpoint.New(o)
	e.CrashOnRequest(f.options.crash)
	server = &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.endpoints[id], f.end[id] = e, end
	f.store.Put("keyed.servers", id, e.Entry())
}

// streamEvents is the number of events of a stream.
const streamEvents = 12

func (f *crashFleet) crash(i int, id, address string, server *http.Server) {
	f.mu.Lock()
	if f.end[id] == nil {
		f.mu.Unlock()
		return
	}
	f.crashes = append(f.crashes, time.Now())
	delete(f.end, id)
	f.mu.Unlock()
	if f.options.crash.Silent {
		f.loseAddress(address)
		address = "127.0.0.1:0"
	} else {
		_ = server.Close()
	}
	time.AfterFunc(entryLapse, func() { f.store.Put("keyed.servers", id, nil) })
	time.AfterFunc(endpointDown, func() {
		f.mu.Lock()
		stopped := f.stopped
		f.mu.Unlock()
		if !stopped {
			f.startEndpoint(i, address)
		}
	})
}

// loseAddress drops all packets between the routers and the address from now on.
func (f *crashFleet) loseAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = append(f.lost, address)
	for _, p := range f.partitions {
		p.set(silentKind, f.lost...)
	}
}

// send sends a request to a router, each time under another attempt id.
func (f *crashFleet) send(n int, r testclient.Request) testclient.Response {
	r.Host, r.Key, r.ID = "shop.example", "good", fmt.Sprint("d", requestCount.Add(1))
	return testclient.Send(f.vms[n%len(f.vms)].clientServer.Address(), r)
}

func (f *crashFleet) recordSound(at time.Time, a testclient.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, soundResult{at: at, status: a.Status, served: a.Status == 200 && a.Complete})
}

// arrivals returns when the requests arrived at endpoints, in order.
func (f *crashFleet) arrivals(matches func(r fakeendpoint.ReceivedRequest) bool) (times []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		for _, a := range e.ReceivedRequests() {
			if matches(a) {
				times = append(times, a.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// servedShare returns which share of the sound requests sent in the period was served, and their number.
func (f *crashFleet) servedShare(from, to time.Time) (share float64, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, r := range f.results {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		n++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(n, 1)), n
}
