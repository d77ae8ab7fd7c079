package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

const (
	// ownPath, ownBody and ownPart are of the request that crashes endpoints in every second seed.
	ownPath = "/own"
	ownBody = "own"
	ownPart = "e0"
	// allowedTrials is how many times the request may reach endpoints later than settleTime after the third crash.
	allowedTrials = 1
)

// repeatedRequest is a request that crashes each endpoint that runs it, and that its client sends again and again.
type repeatedRequest struct {
	request testclient.Request
	service string
	crash   fakeendpoint.Crash
	// resumed is set if the client resumes the stream after the events that it has.
	resumed bool
}

// repeatedRequests are the kinds of requests, one of which each second seed has.
var repeatedRequests = []repeatedRequest{
	{
		request: testclient.Request{Method: http.MethodGet, Path: "/read" + ownPath, Prompt: testclient.NoPrompt}, service: plainService,
		crash: fakeendpoint.Crash{Target: "/read" + ownPath, Events: -1},
	},
	{
		request: testclient.Request{Method: http.MethodPost, Path: "/talk/x", Prompt: "a:500,b:1000," + ownPart + ":10"}, service: modelService,
		crash: fakeendpoint.Crash{LastPart: ownPart, Events: 5},
	},
	{
		request: testclient.Request{Method: http.MethodPost, Path: "/book/x", Prompt: testclient.NoPrompt, Body: ownBody}, service: plainService,
		crash: fakeendpoint.Crash{Body: ownBody},
	},
	{
		request: testclient.Request{Method: http.MethodPost, Path: "/talkon/x", Prompt: "a:500," + ownPart + ":10"}, service: modelService, resumed: true,
		crash: fakeendpoint.Crash{LastPart: ownPart, Events: 2},
	},
	{
		request: testclient.Request{Method: http.MethodPost, Path: "/draft" + ownPath, Prompt: "a:500,b:1000,c:10"}, service: modelService,
		crash: fakeendpoint.Crash{Target: "/draft" + ownPath, Events: 0},
	},
}

// repeated returns the request of this seed, nil for none.
func (h *harness) repeated() *repeatedRequest {
	if h.hasCrashingPart() {
		return nil
	}
	return &repeatedRequests[h.seed/2%uint64(len(repeatedRequests))]
}

// crashOnRepeated makes an endpoint crash when it runs the request of this seed, and come back.
func (h *harness) crashOnRepeated(e *endpoint) {
	if q := h.repeated(); q != nil && q.service == e.options.Service {
		e.CrashOnRequest(q.crash)
	}
}

// runRepeatingClient sends the request of this seed again and again, each time at any router, under another id.
func (h *harness) runRepeatingClient(random *rand.Rand) {
	q := h.repeated()
	if q == nil {
		return
	}
	first, last := "", 0
	for !h.doneWithin(time.Duration(30+random.IntN(200)) * time.Millisecond) {
		r := h.routers[random.IntN(len(h.routers))]
		m := q.request
		m.Host, m.Key, m.ID = host, h.newestKey(), h.newID()
		if last > 0 {
			m.LastEventID, m.Resumes = fmt.Sprint(last), first
		}
		h.recordCrashing(m.ID, r)
		a := testclient.Send(r.clientAddress, m)
		switch events := strings.Count(a.Body, "data: "); {
		case !q.resumed || events == 0:
		case last == 0:
			first, last = m.ID, events
		default:
			last += events
		}
	}
}

// newID returns the id of a request that crashes endpoints.
func (h *harness) newID() string { return fmt.Sprint("x", h.nextID.Add(1)) }

func (h *harness) recordCrashing(id string, r *router) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashing[id] = crashingRequest{router: r, sent: time.Now()}
}
