package soak_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
)

// endpoint is a fake endpoint behind a link. An endpoint that replaces it reuses the link, and so its address.
type endpoint struct {
	*fakeendpoint.Endpoint
	options fakeendpoint.Options
	link    *link
	http    *http.Server
	mu      sync.Mutex
	removed bool
	// leavingSince is when the store accepted the entry that says that the endpoint is leaving.
	leavingSince time.Time
	// deleted is set once the store has deleted the entry.
	deleted bool
	// unreported is set while the endpoint cannot write its entry.
	unreported bool
	// restarted is set once another process writes entries under the endpoint's id.
	restarted bool
}

const (
	engineSlots     = 32
	plainSlots      = 16
	eventsPerStream = 8
	eventInterval   = 10 * time.Millisecond
	runTime         = 20 * time.Millisecond
	// Streams below slowPath take most of a second, so that a stop, a crash or a reset interrupts some of them.
	slowPath        = "/talk"
	heartbeatPeriod = 400 * time.Millisecond
	// endpointPause is for how long an endpoint that refuses a request asks for none.
	endpointPause = 1500 * time.Millisecond
)

func (h *harness) endpointOptions(service string) (o fakeendpoint.Options) {
	o = fakeendpoint.Options{ID: fmt.Sprintf("s%d", h.nextID.Add(1)), Service: service, FailureDomain: "a", Slots: plainSlots, ResponseTime: runTime}
	// The answers of each third endpoint end with their connection.
	o.Unframed = h.nextID.Load()%3 == 0
	if service == modelService {
		o.Slots, o.Events, o.EventTime, o.SlowPrefix = engineSlots, eventsPerStream, eventInterval, slowPath
		o.Version = softwareVersions[h.nextID.Load()/2%int64(len(softwareVersions))]
	}
	return o
}

// softwareVersions are the versions of the model engines.
var softwareVersions = []string{"v1", "v1.1", "v1.10"}

// countOfVersion returns how many engines of the service and the software version may take streams.
func (h *harness) countOfVersion(service, version string) (n int) {
	for _, e := range h.liveEndpoints(service) {
		if e.options.Version == version {
			n++
		}
	}
	return n
}

// startEndpoint starts an endpoint behind the link, or behind a new link if l is nil.
func (h *harness) startEndpoint(o fakeendpoint.Options, l *link) (e *endpoint) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(h.t, err)
	if l == nil {
		l = h.link(listener.Addr().String())
	}
	l.setTarget(listener.Addr().String())
	o.Address = l.address()
	e = &endpoint{options: o, link: l}
	o.OnCrash = func() { h.onCrash(e) }
	e.Endpoint = fakeendpoint.New(o)
	h.crashOnPart(e)
	h.crashOnRepeated(e)
	e.http = &http.Server{Handler: e.Endpoint}
	go func() { _ = e.http.Serve(listener) }()
	h.t.Cleanup(func() { _ = e.http.Close() })
	h.mu.Lock()
	h.endpoints = append(h.endpoints, e)
	h.mu.Unlock()
	h.writeEntry(e)
	go h.renewEntry(e)
	return e
}

// renewEntry rewrites the endpoint's entry once per heartbeat until the endpoint or the run ends.
func (h *harness) renewEntry(e *endpoint) {
	for {
		select {
		case <-h.done:
			return
		case <-time.After(heartbeatPeriod):
		}
		if !h.writeEntry(e) {
			return
		}
	}
}

func (h *harness) writeEntry(e *endpoint) (alive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.removed && !e.unreported && !e.restarted {
		h.store.Put("keyed.servers", e.options.ID, e.Entry())
	}
	return !e.removed
}

// drainEndpoint announces that the endpoint is leaving, lets it serve until requests should have stopped, and removes
// it.
func (h *harness) drainEndpoint(e *endpoint) {
	e.Drain()
	h.writeEntry(e)
	e.mu.Lock()
	e.leavingSince = time.Now()
	e.mu.Unlock()
	<-time.After(drainDelay + time.Second)
	h.removeEndpoint(e)
}

// drainUnreported drains an endpoint that cannot write its entry for a while, so that only its responses say that it is
// leaving.
func (h *harness) drainUnreported(e *endpoint, unreported time.Duration) {
	e.mu.Lock()
	e.unreported = true
	e.mu.Unlock()
	e.AnnounceLeaving()
	<-time.After(unreported)
	e.mu.Lock()
	e.unreported = false
	e.mu.Unlock()
	h.drainEndpoint(e)
}

// pauseEndpoint has the endpoint refuse all requests for a while and ask for pauses.
func (h *harness) pauseEndpoint(e *endpoint) {
	e.RefuseAll(endpointPause)
	<-time.After(2 * endpointPause)
	e.RefuseAll(0)
}

// crashEndpoint ends the endpoint without an announcement; its entry is deleted after three heartbeats.
func (h *harness) crashEndpoint(e *endpoint) {
	e.mu.Lock()
	e.removed = true
	e.mu.Unlock()
	e.closeConnections()
	e.link.reset()
	time.AfterFunc(3*heartbeatPeriod, func() { h.deleteEntry(e) })
}

// closeConnections ends the endpoint's process.
func (e *endpoint) closeConnections() {
	if e.options.Unframed {
		// The end of a connection between two events would be that of a complete answer.
		e.link.reset()
	}
	_ = e.http.Close()
}

func (h *harness) deleteEntry(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarted {
		return
	}
	e.deleted = true
	h.store.Put("keyed.servers", e.options.ID, nil)
}

// rewriteEntry writes what a restored store may lack: the endpoint's entry, or that it was deleted.
func (h *harness) rewriteEntry(e *endpoint) {
	e.mu.Lock()
	deleted := e.deleted
	e.mu.Unlock()
	if deleted {
		h.deleteEntry(e)
		return
	}
	h.writeEntry(e)
}

func (h *harness) removeEndpoint(e *endpoint) {
	e.mu.Lock()
	e.removed = true
	e.mu.Unlock()
	h.deleteEntry(e)
	e.closeConnections()
}

// liveEndpoints returns the endpoints of the service that are neither leaving nor removed.
func (h *harness) liveEndpoints(service string) (list []*endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		e.mu.Lock()
		if e.options.Service == service && !e.removed && !e.unreported && e.leavingSince.IsZero() {
			list = append(list, e)
		}
		e.mu.Unlock()
	}
	return list
}

// lastUsedEndpoint returns the live endpoint of the service that received a request last. One that the routers hardly use
// would show nothing when it leaves. If all have just crashed, another one is started.
func (h *harness) lastUsedEndpoint(service string) *endpoint {
	live := h.liveEndpoints(service)
	for ; len(live) == 0; live = h.liveEndpoints(service) {
		h.startEndpoint(h.endpointOptions(service), nil)
	}
	lastUsed := func(e *endpoint) (at time.Time) {
		if arrivals := e.ReceivedRequests(); len(arrivals) > 0 {
			at = arrivals[len(arrivals)-1].At
		}
		return at
	}
	return slices.MaxFunc(live, func(a, b *endpoint) int { return lastUsed(a).Compare(lastUsed(b)) })
}
