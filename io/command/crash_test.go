package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

const (
	// endpointDown is how long a crashed endpoint takes to be back, under another id at its address.
	endpointDown = 1500 * time.Millisecond
	// entryLapse is how long the entry of a crashed endpoint stays.
	entryLapse = 2500 * time.Millisecond
)

// crashFleet is a fleet whose engines crash on prompt parts and come back.
type crashFleet struct {
	*entryFleet
	// parts crash engines, which write this number of events before.
	parts  []string
	events int
	// unframed engines answer with neither a length nor chunks.
	unframed bool

	mu      sync.Mutex
	starts  int
	engines map[string]*fakeendpoint.Endpoint
	crashes []time.Time
	results []soundResult
	stopped bool
}

// soundResult is how a sound request went.
type soundResult struct {
	at     time.Time
	served bool
}

func newCrashFleet(t *testing.T, routers, engines, events int, unframed bool, parts ...string) *crashFleet {
	f := &crashFleet{entryFleet: newEntryFleet(t, routers), parts: parts, events: events, unframed: unframed, engines: map[string]*fakeendpoint.Endpoint{}}
	for i := range 3 {
		f.store.Put("keyed.servers", fmt.Sprint("m", i), nil)
	}
	for i := range engines {
		f.startEngine(i, "127.0.0.1:0")
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
	})
	for _, vm := range f.vms {
		f.waitFor("the engines", func() bool {
			return strings.Contains(f.metrics(vm), fmt.Sprintf("savoryfall_endpoints %d\n", 4+engines))
		})
		f.waitFor("all routers", func() bool { return vm.routers.Load() == int64(routers) })
	}
	return f
}

// startEngine starts an engine, which crashes on the parts and starts again under another id. It must be called without the
// lock.
func (f *crashFleet) startEngine(i int, address string) {
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
	e := fakeendpoint.New(fakeendpoint.Options{
		ID: id, Service: "models", Address: l.Addr().String(), FailureDomain: "a", Version: "v1", Slots: 32, Events: 12, EventTime: 10 * time.Millisecond, Unframed: f.unframed,
		OnCrash: func() { f.crash(i, id, l.Addr().String(), server) },
	})
	e.CrashOn(f.events, f.parts...)
	server = &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.engines[id] = e
	f.store.Put("keyed.servers", id, e.Entry())
}

func (f *crashFleet) crash(i int, id, address string, server *http.Server) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(entryLapse, func() { f.store.Put("keyed.servers", id, nil) })
	time.AfterFunc(endpointDown, func() {
		f.mu.Lock()
		stopped := f.stopped
		f.mu.Unlock()
		if !stopped {
			f.startEngine(i, address)
		}
	})
}

// play sends sound requests and, once they flow, requests with the parts, for the duration: each at a router of its own, with
// one more attempt at the next.
func (f *crashFleet) play(soundOnly, with time.Duration) (began time.Time) {
	ctx, cancel := context.WithTimeout(f.t.Context(), soundOnly+with)
	defer cancel()
	began = time.Now().Add(soundOnly)
	var clients sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		clients.Go(func() { f.sendSound(n) })
		if n%5 == 0 && time.Now().After(began) {
			for i := range f.parts {
				clients.Go(func() { f.sendWithPart(n, i) })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(25 * time.Millisecond):
		}
	}
	clients.Wait()
	return began
}

func (f *crashFleet) sendSound(n int) {
	at := time.Now()
	a := f.draft(n, fmt.Sprintf("ba5e:2000,%x:300,%x:20", 0x100+n%7, 0x10000+n))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, soundResult{at: at, served: a.Status == 200 && a.Complete})
}

// sendWithPart sends a request that has the part in a place that differs between requests.
func (f *crashFleet) sendWithPart(n, part int) {
	parts := []string{"ba5e:2000", fmt.Sprintf("%x:300", 0x100+(n+2*part)%7), fmt.Sprintf("%x:20", 0x20000+n*8+part)}
	prompt := strings.Join(slices.Insert(parts, n%3, f.parts[part]+":400"), ",")
	if f.draft(n, prompt).Status != 200 {
		f.draft(n+1, prompt)
	}
}

func (f *crashFleet) draft(n int, prompt string) testclient.Response {
	return f.generate(n, "/draft/x", prompt)
}

func (f *crashFleet) generate(n int, path, prompt string) testclient.Response {
	vm := f.vms[n%len(f.vms)]
	return testclient.Send(vm.clientServer.Address(), testclient.Request{
		Method: "POST", Host: "shop.example", Path: path, Key: "good", ID: fmt.Sprint("d", requestCount.Add(1)), Prompt: prompt,
	})
}

// arrivals returns when requests with the part arrived at engines, in order.
func (f *crashFleet) arrivals(part string) (times []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		for _, a := range e.ReceivedRequests() {
			if strings.Contains(a.Prompt, part+":") {
				times = append(times, a.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// late returns how many of the arrivals of a part, each of which crashed an engine, were later than the time after the fifth.
func late(arrivals []time.Time) (n int) {
	for i, at := range arrivals {
		if i > 4 && at.Sub(arrivals[4]) > contactTime {
			n++
		}
	}
	return n
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

// check plays the load and checks the bounds on requests with the parts and on sound ones.
func (f *crashFleet) check() {
	const before, with = 2 * time.Second, 18 * time.Second
	began := f.play(before, with)
	f.mu.Lock()
	crashes := len(f.crashes)
	fifth := f.crashes[min(crashes, 5*len(f.parts))-1]
	f.mu.Unlock()
	usual, n := f.servedShare(began.Add(-before), began)
	assert.Check(f.t, n >= 20)
	during, _ := f.servedShare(began, fifth.Add(contactTime))
	after, m := f.servedShare(fifth.Add(2*contactTime), time.Now())
	assert.Check(f.t, m >= 20)
	f.t.Logf("%d routers, %d parts: %d crashes; sound requests served: %.3f before, %.3f in the first seconds, %.3f of %d later", len(f.vms), len(f.parts), crashes, usual, during, after, m)
	for _, p := range f.parts {
		arrivals := f.arrivals(p)
		n := late(arrivals)
		f.t.Logf("part %s: %d arrivals, %d of them late", p, len(arrivals), n)
		assert.Check(f.t, n <= 3, "part %s: %d arrivals later than %v after the fifth crash", p, n, contactTime)
	}
	assert.Check(f.t, 2*after >= usual, "sound requests served: %.3f, %.3f before", after, usual)
}

// Guards against requests with a prompt part that crashes endpoints, which are sent to one endpoint after the other.
func TestPromptPartThatCrashesEndpoints(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name            string
		routers, events int
		unframed        bool
		parts           []string
	}{
		{name: "before the header", routers: 3, events: -1, parts: []string{"bad1"}},
		{name: "after an event, at six routers", routers: 6, events: 1, parts: []string{"bad1"}},
		{name: "answers that end with their connection", routers: 3, events: 1, unframed: true, parts: []string{"bad1"}},
		{name: "three parts, after the header", routers: 6, events: 0, parts: []string{"bad1", "bad2", "bad3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			newCrashFleet(t, c.routers, 9, c.events, c.unframed, c.parts...).check()
		})
	}
}

// Guards against blaming prompts for a link that is cut with resets and comes back, again and again.
func TestResetLinkIsNotACrash(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 3, 3, 0, false)
	f.putConfiguration(2, "good", "plain", "talk")
	for _, vm := range f.vms {
		f.waitFor("the route", func() bool { return vm.configTracker.Current().Version() == 2 })
	}
	for _, e := range f.engines {
		e.SetEventTime(150 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			clients.Go(func() { f.draft(2*(n%2), fmt.Sprintf("ba5e:300,%x:20", 0x10000+n)) })
			<-time.After(50 * time.Millisecond)
		}
	})
	for n := 0; ctx.Err() == nil; n++ {
		// The part is at the router with the bad link only, and broken off each time.
		clients.Go(func() { f.generate(1, "/talk/x", fmt.Sprintf("ba5e:300,fa1:300,%x:20", 0x20000+n)) })
		<-time.After(60 * time.Millisecond)
		f.partitions[1].set(resetKind)
		<-time.After(200 * time.Millisecond)
		f.partitions[1].set(healed)
		<-time.After(400 * time.Millisecond)
	}
	clients.Wait()
	for _, vm := range f.vms {
		body := f.metrics(vm)
		assert.Check(t, !strings.Contains(body, `reason="quarantined"`), "%s refused requests for their parts", vm.settings.VM().Name())
		assert.Check(t, strings.Contains(body, "savoryfall_parts_quarantined 0\n"))
	}
}
