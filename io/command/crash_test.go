package command

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

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
			for i := range f.options.crash.Parts {
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
	f.recordSound(at, f.draft(n, fmt.Sprintf("ba5e:2000,%x:300,%x:20", 0x100+n%7, 0x10000+n)))
}

// sendWithPart sends a request that has the part in a place that differs between requests.
func (f *crashFleet) sendWithPart(n, part int) {
	parts := []string{"ba5e:2000", fmt.Sprintf("%x:300", 0x100+(n+2*part)%7), fmt.Sprintf("%x:20", 0x20000+n*8+part)}
	prompt := strings.Join(slices.Insert(parts, n%3, f.options.crash.Parts[part]+":400"), ",")
	if f.draft(n, prompt).Status != 200 {
		f.draft(n+1, prompt)
	}
}

func (f *crashFleet) draft(n int, prompt string) testclient.Response {
	return f.generate(n, "/draft/x", prompt)
}

func (f *crashFleet) generate(n int, path, prompt string) testclient.Response {
	return f.send(n, testclient.Request{Method: "POST", Path: path, Prompt: prompt})
}

// arrivalsOf returns when requests with the part arrived at endpoints, in order.
func (f *crashFleet) arrivalsOf(part string) (times []time.Time) {
	return f.arrivals(func(r fakeendpoint.ReceivedRequest) bool { return strings.Contains(r.Prompt, part+":") })
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

// check plays the load and checks the bounds on requests with the parts and on sound ones.
func (f *crashFleet) check() {
	// The last trial of three parts at six routers may begin 20 s after the crashes.
	const before, with = 2 * time.Second, 30 * time.Second
	began := f.play(before, with)
	f.mu.Lock()
	crashes := len(f.crashes)
	fifth := f.crashes[min(crashes, 5*len(f.options.crash.Parts))-1]
	f.mu.Unlock()
	usual, n := f.servedShare(began.Add(-before), began)
	assert.Check(f.t, n >= 20)
	during, _ := f.servedShare(began, fifth.Add(contactTime))
	after, m := f.servedShare(fifth.Add(2*contactTime), time.Now())
	assert.Check(f.t, m >= 20)
	f.t.Logf("%d routers, %d parts: %d crashes; sound requests served: %.3f before, %.3f in the first seconds, %.3f of %d later", len(f.vms), len(f.options.crash.Parts), crashes, usual, during, after, m)
	for _, p := range f.options.crash.Parts {
		arrivals := f.arrivalsOf(p)
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
			newCrashFleet(t, crashOptions{
				routers: c.routers, endpoints: 9, crash: fakeendpoint.Crash{Parts: c.parts, Events: c.events}, unframed: c.unframed,
			}).check()
		})
	}
}

// Guards against blaming prompts for a link that is cut with resets and comes back, again and again.
func TestResetLinkIsNotACrash(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, crashOptions{routers: 3, endpoints: 3})
	for _, e := range f.endpoints {
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
