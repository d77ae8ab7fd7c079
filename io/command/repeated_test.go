package command

import (
	"fmt"
	"maps"
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
	// repeatPause is how long the client of a request that crashes endpoints waits before it sends it again.
	repeatPause = 50 * time.Millisecond
	// soundPause is the time between two sound requests.
	soundPause = 25 * time.Millisecond
	// knownTime is how long after a crash all routers must know of it.
	knownTime = time.Second
	// maxEnds is how many endpoints one request may end: three, those that it reaches before all routers know of the third, and a
	// trial.
	maxEnds = 8
)

// repeatedRequest is a request that crashes each endpoint that runs it, and that its client sends again and again.
type repeatedRequest struct {
	name    string
	request testclient.Request
	// service is that of the endpoints, engines if it is empty.
	service  string
	unframed bool
	crash    fakeendpoint.Crash
	// resumed is set if the client resumes the stream after the events that it has.
	resumed bool
}

const ownPart = "e000"

// repeatedRequests are the kinds of requests, with what the endpoint crashes on.
var repeatedRequests = []repeatedRequest{
	{
		name:    "last part, before the header",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: -1},
	},
	{
		name:    "last part, after the header",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart},
	},
	{
		name:    "last part, after many events",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 8},
	},
	{
		name:    "parts that few others use",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: "ba5e:2000,bee:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 1},
	},
	{
		name:    "prompt of a single part",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 1},
	},
	{
		name:    "path of an engine's request",
		request: testclient.Request{Method: "POST", Path: "/talk/own", Prompt: "ba5e:2000,101:300,102:20"},
		crash:   fakeendpoint.Crash{Target: "/talk/own", Events: 1},
	},
	{
		name:    "body of an engine's request",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: "ba5e:2000,101:300,102:20", Body: "own"},
		crash:   fakeendpoint.Crash{Body: "own", Events: 1},
	},
	{
		name:    "stream resumed by routers",
		request: testclient.Request{Method: "POST", Path: "/draft/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 3},
	},
	{
		name:    "stream resumed by its client",
		request: testclient.Request{Method: "POST", Path: "/draft/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 3}, resumed: true,
	},
	{
		name:    "answers that end with their connection",
		request: testclient.Request{Method: "POST", Path: "/talk/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 4}, unframed: true,
	},
	{
		name:    "silence",
		request: testclient.Request{Method: "POST", Path: "/draft/x", Prompt: "ba5e:2000,101:300," + ownPart + ":20"},
		crash:   fakeendpoint.Crash{LastPart: ownPart, Events: 1, Silent: true},
	},
	{
		name: "path of a plain service", service: "plain",
		request: testclient.Request{Method: "GET", Path: "/read/own?v=1", Prompt: testclient.NoPrompt},
		crash:   fakeendpoint.Crash{Target: "/read/own?v=1", Events: -1},
	},
	{
		name: "body of a plain service, after the header", service: "plain",
		request: testclient.Request{Method: "POST", Path: "/read/x", Prompt: testclient.NoPrompt, Body: "own"},
		crash:   fakeendpoint.Crash{Body: "own"},
	},
	{
		name: "not repeatable", service: "plain",
		request: testclient.Request{Method: "POST", Path: "/book/x", Prompt: testclient.NoPrompt, Body: "own"},
		crash:   fakeendpoint.Crash{Body: "own", Events: -1},
	},
	{
		name: "plain answers that end with their connection", service: "plain", unframed: true,
		request: testclient.Request{Method: "POST", Path: "/read/x", Prompt: testclient.NoPrompt, Body: "own"},
		crash:   fakeendpoint.Crash{Body: "own"},
	},
}

// repeat sends the request again and again until the time, at routers in turn, each time under another attempt id.
func (f *crashFleet) repeat(q repeatedRequest, until time.Time) (statuses map[int]int) {
	statuses = map[int]int{}
	first, last := "", 0
	for n := 0; time.Now().Before(until); n++ {
		r := q.request
		if q.resumed && last > 0 {
			r.LastEventID, r.Resumes = fmt.Sprint(last), first
		}
		a := f.send(n, r)
		statuses[a.Status]++
		if events := strings.Count(a.Body, "data: "); q.resumed && events > 0 {
			if last == 0 {
				first = a.ID
			}
			last += events
		}
		<-time.After(repeatPause)
	}
	return statuses
}

// sendSoundBeside sends a request that shares the route, the account and parts with the repeated one.
func (f *crashFleet) sendSoundBeside(q repeatedRequest, n int) {
	at := time.Now()
	r := testclient.Request{Method: q.request.Method, Path: q.request.Path, Prompt: q.request.Prompt}
	if strings.Contains(r.Path, "own") {
		r.Path = fmt.Sprintf("%s%d", strings.TrimSuffix(r.Path, "own"), n)
	}
	if q.request.Body != "" {
		r.Body = fmt.Sprint("sound", n)
	}
	if strings.Contains(r.Prompt, ownPart) {
		r.Prompt = fmt.Sprintf("ba5e:2000,%x:300,%x:20", 0x100+n%7, 0x10000+n)
	}
	f.recordSound(at, f.send(n, r))
}

// playRepeated plays sound requests and, after a while, the repeated one beside them, and returns when that began.
func (f *crashFleet) playRepeated(q repeatedRequest, before, with time.Duration) (began time.Time, statuses map[int]int) {
	began = time.Now().Add(before)
	until := began.Add(with)
	var clients sync.WaitGroup
	clients.Go(func() {
		<-time.After(before)
		statuses = f.repeat(q, until)
	})
	for n := 0; time.Now().Before(until); n++ {
		clients.Go(func() { f.sendSoundBeside(q, n) })
		<-time.After(soundPause)
	}
	clients.Wait()
	return began, statuses
}

// repeats reports whether what an endpoint received is the repeated request.
func (q repeatedRequest) repeats(r fakeendpoint.ReceivedRequest) bool {
	c := q.crash
	return (c.LastPart == "" || strings.HasSuffix(r.Prompt, c.LastPart+":20")) && (c.Target == "" || c.Target == r.Target) && (c.Body == "" || c.Body == r.Body)
}

// Guards against a request that ends each endpoint that runs it, and is sent to further ones whenever its client sends it again.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	t.Parallel()
	for _, q := range repeatedRequests {
		for _, routers := range []int{3, 6} {
			t.Run(fmt.Sprint(q.name, ", ", routers, " routers"), func(t *testing.T) {
				t.Parallel()
				f := newCrashFleet(t, crashOptions{routers: routers, endpoints: 16, service: q.service, crash: q.crash, unframed: q.unframed})
				f.checkRepeated(q)
			})
		}
	}
}

// checkRepeated plays the load and checks how many endpoints the request ends, and what becomes of sound ones.
func (f *crashFleet) checkRepeated(q repeatedRequest) {
	with := 9 * time.Second
	if q.crash.Silent {
		// It takes routers more than a second to notice each end.
		with = 20 * time.Second
	}
	began, statuses := f.playRepeated(q, time.Second, with)
	arrivals := f.arrivals(q.repeats)
	f.mu.Lock()
	ends := len(f.crashes)
	third := f.crashes[min(ends, 3)-1]
	refused := 0
	for _, r := range f.results {
		if r.status == 503 {
			refused++
		}
	}
	f.mu.Unlock()
	after, known := later(arrivals, third, 0), later(arrivals, third, knownTime)
	usual, _ := f.servedShare(began.Add(-time.Second), began)
	during, _ := f.servedShare(began, third.Add(knownTime))
	afterwards, n := f.servedShare(third.Add(contactTime), time.Now())
	f.t.Logf("%d ends; %d arrivals, %d after the third end, %d of them later than %v; answers %v", ends, len(arrivals), after, known, knownTime, statuses)
	f.t.Logf("sound requests served: %.3f before, %.3f until all know, %.3f of %d later; %d got status 503", usual, during, afterwards, n, refused)
	assert.Check(f.t, ends <= maxEnds, "%d endpoints ended", ends)
	assert.Check(f.t, known <= 1, "%d arrivals later than %v after the third end", known, knownTime)
	assert.Check(f.t, afterwards >= usual-0.02, "sound requests served: %.3f, %.3f before", afterwards, usual)
	assert.Check(f.t, len(f.quarantinedRequests()) <= 1, "sound requests were quarantined: %x", f.quarantinedRequests())
}

// later returns how many of the arrivals were later than the duration after the time.
func later(arrivals []time.Time, than time.Time, by time.Duration) (n int) {
	for _, at := range arrivals {
		if at.Sub(than) > by {
			n++
		}
	}
	return n
}

func (f *crashFleet) quarantinedRequests() (hashes []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.quarantined))
}

// Guards against blaming requests for a silent way to some endpoints, again and again at one router.
func TestSilentLinkIsNotACrash(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, crashOptions{routers: 3, endpoints: 6})
	var cut []string
	for _, e := range f.endpoints {
		if len(cut) < 3 {
			cut = append(cut, e.Address())
		}
	}
	until := time.Now().Add(15 * time.Second)
	var clients sync.WaitGroup
	for n := range 3 {
		clients.Go(func() {
			for time.Now().Before(until) {
				clients.Go(func() {
					f.send(n, testclient.Request{Method: "POST", Path: "/draft/x", Prompt: fmt.Sprintf("ba5e:300,%x:20", 0x10000+n)})
				})
				<-time.After(repeatPause)
			}
		})
	}
	for time.Now().Before(until) {
		f.partitions[1].set(silentKind, cut...)
		<-time.After(1800 * time.Millisecond)
		f.partitions[1].set(healed)
		<-time.After(400 * time.Millisecond)
	}
	clients.Wait()
	assert.Check(t, strings.Contains(f.metrics(f.vms[1]), `savoryfall_answers_broken_total{service="models",state="unknown"}`))
	for _, vm := range f.vms {
		body := f.metrics(vm)
		assert.Check(t, !strings.Contains(body, `reason="quarantined"`), "%s refused requests", vm.settings.VM().Name())
		assert.Check(t, strings.Contains(body, "savoryfall_requests_quarantined 0\n"))
	}
}
