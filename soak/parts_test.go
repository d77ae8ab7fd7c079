package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

const (
	// crashingPart is a prompt part that crashes engines in every second seed.
	crashingPart = "dead"
	// requestCrash is the kind of a fault: an endpoint crashed on a request.
	requestCrash = "endpoint crashed on a request"
	// crashedTime is how long a crashed engine takes to be back, under another id.
	crashedTime = 1500 * time.Millisecond
	// allowedLate is how many requests with the part may reach engines later than settleTime after the fifth crash.
	allowedLate = 3
	// allowedRefused is how many such requests, in every seed, endpoints may refuse because they pause. The router's trial has shown
	// nothing then, and it makes another one.
	allowedRefused = 3
)

// crashingRequest is a request with the crashing part.
type crashingRequest struct {
	router *router
	sent   time.Time
}

func (h *harness) hasCrashingPart() bool { return h.seed%2 == 0 }

// crashOnPart makes an engine crash when it begins to answer a request with the part, and come back.
func (h *harness) crashOnPart(e *endpoint) {
	if h.hasCrashingPart() && e.options.Service == modelService {
		e.CrashOn(int(h.nextID.Load()%4)-1, crashingPart)
	}
}

func (h *harness) onCrash(e *endpoint) {
	h.mu.Lock()
	h.crashes = append(h.crashes, time.Now())
	h.mu.Unlock()
	h.fault(requestCrash, "", crashedTime, false)
	// A router that sees the connection end and asks for the process must not find its listener.
	h.crashEndpoint(e)
	go func() {
		if h.doneWithin(crashedTime) {
			return
		}
		o := h.endpointOptions(e.options.Service)
		o.Version = e.options.Version
		h.startEndpoint(o, e.link)
	}()
}

// runCrashingClient sends requests with the part, each at any router and once more at another one if it is not served.
func (h *harness) runCrashingClient(random *rand.Rand) {
	for h.hasCrashingPart() && !h.doneWithin(time.Duration(50+random.IntN(200))*time.Millisecond) {
		prompt := []string{"a:500,%s:300,%x:10", "%s:300,b:500,%x:10"}[random.IntN(2)]
		for range 2 {
			r := h.routers[random.IntN(len(h.routers))]
			q := testclient.Request{
				Method: http.MethodPost, Host: host, Path: "/draft/x", ID: fmt.Sprint("x", h.nextID.Add(1)), Key: h.newestKey(),
				Prompt: fmt.Sprintf(prompt, crashingPart, random.Uint32()),
			}
			h.recordCrashing(q.ID, r)
			if testclient.Send(r.clientAddress, q).Status == http.StatusOK {
				break
			}
		}
	}
}

// checkCrashes verifies that requests that crash endpoints are stopped: those with the part after the fifth crash, and one request that
// is sent again after the third.
func (h *harness) checkCrashes() {
	if h.hasCrashingPart() {
		h.checkStopped(5, allowedLate)
		return
	}
	h.checkStopped(3, allowedTrials)
}

// checkStopped verifies that no more than the allowed requests reach endpoints later than settleTime after the crash with the number, by
// routers that no fault and no stop or start has affected just before. Routers that are all lost at once forget the crashes, so that these
// are counted from the last such loss before the arrival.
func (h *harness) checkStopped(number, allowed int) {
	late, refused := 0, 0
	h.eachArrival(func(a fakeendpoint.ReceivedRequest) {
		q, crashes := h.crashing[a.ID]
		if !crashes || h.stopping(q.router, a.At.Add(-settleTime), a.At) ||
			h.disturbedBy(q.router, a.At, a.At, func(f fault) bool { return f.kind != requestCrash }) {
			return
		}
		last, stops := h.crashSinceLoss(number, a.At)
		switch {
		case !stops || a.At.Sub(last) <= settleTime:
		case a.Pause > 0 && h.timesRun(a.ID) == 0:
			refused++
		default:
			late++
		}
	})
	h.t.Logf("seed %d: %d crashes by requests, %d late arrivals, %d more refused", h.seed, len(h.crashes), late, refused)
	if refused > allowedRefused {
		h.addViolation("%d requests that crash endpoints were refused by some later than %v after crash %d", refused, settleTime, number)
	}
	if late > allowed {
		h.addViolation("%d requests that crash endpoints reached some later than %v after crash %d", late, settleTime, number)
	}
}

// crashSinceLoss returns when the crash with the number happened, counted from the last loss of all routers before the given time.
func (h *harness) crashSinceLoss(number int, before time.Time) (at time.Time, ok bool) {
	var from time.Time
	for _, loss := range h.losses {
		if loss.Before(before) {
			from = loss
		}
	}
	n := 0
	for _, crash := range h.crashes {
		if crash.After(from) {
			n++
		}
		if n == number {
			return crash, true
		}
	}
	return time.Time{}, false
}

func (h *harness) eachArrival(visit func(a fakeendpoint.ReceivedRequest)) {
	for _, e := range h.endpoints {
		for _, a := range e.ReceivedRequests() {
			visit(a)
		}
	}
}
