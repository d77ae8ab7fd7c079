package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"savoryfall/platform/standin/fakeendpoint"
)

// arrivalsByRequest holds the arrivals of each request at all endpoints, by request ID.
type arrivalsByRequest map[string][]fakeendpoint.ReceivedRequest

func (h *harness) arrivalsByRequest() (byRequest arrivalsByRequest) {
	byRequest = arrivalsByRequest{}
	for _, b := range h.endpoints {
		for _, a := range b.ReceivedRequests() {
			byRequest[a.ID] = append(byRequest[a.ID], a)
			if a.HasClientKey {
				h.addViolation("%s reached endpoint %s with the client's key", a.ID, b.options.ID)
			}
		}
	}
	for _, list := range byRequest {
		slices.SortFunc(list, func(a, b fakeendpoint.ReceivedRequest) int { return a.At.Compare(b.At) })
	}
	return byRequest
}

func (h *harness) timesRun(id string) (n int64) {
	for _, e := range h.endpoints {
		n += e.ExecutionsOf(id)
	}
	return n
}

// check verifies the guarantees for the whole run, after it has ended.
func (h *harness) check() {
	arrivals := h.arrivalsByRequest()
	servedWhole, afterIdle, inParts := 0, 0, 0
	for _, q := range h.requests {
		if q.sent.Sub(q.idleSince) > time.Second {
			afterIdle++
		}
		if q.parts > 1 {
			inParts++
		}
		if q.answer.Complete && q.answer.Status == http.StatusOK {
			servedWhole++
		}
		h.checkAnswer(q)
		h.checkRuns(q)
		h.checkWithdrawnKey(q)
		h.checkUndisturbed(q, arrivals)
		h.checkUnanswered(q)
		h.checkServesWhileStopping(q)
	}
	h.checkAcceptsWhileStopping()
	h.checkVersionOrder()
	h.checkDrained()
	h.checkMarkInAnswers()
	h.checkPauses()
	h.checkRetryBudget(arrivals)
	h.checkVersions("talkon")
	h.checkVersions(releaseService)
	h.checkCrashes()
	h.t.Logf("seed %d: %d requests, %d after idling for more than a second, %d sent in parts, %d served completely, %d faults injected", h.seed,
		len(h.requests), afterIdle, inParts, servedWhole, len(h.faults))
	if servedWhole == 0 {
		h.addViolation("no request was served")
	}
}

// checkAnswer verifies that a client gets the complete answer to its own request, or can tell that the answer is
// incomplete.
func (h *harness) checkAnswer(q *request) {
	if serviceOf(q.route) != plainService {
		want := eventsAfter(0)
		if q.takesUp != nil {
			want = eventsAfter(q.takesUp.lastEvent())
		}
		body := byVersion.ReplaceAllString(q.answer.Body, "")
		if q.answer.Status == http.StatusOK && !strings.HasPrefix(want, body) {
			h.addViolation("stream %s has a gap or a repeat: %q", q.id, q.answer.Body)
		}
		if q.answer.Status == http.StatusOK && q.answer.Complete && body != want {
			h.addViolation("stream %s looks complete but is not: %q", q.id, q.answer.Body)
		}
		return
	}
	want := fmt.Sprintf("/%s/%s for coop by plain", q.route, q.id)
	if q.answer.Status == http.StatusOK && q.answer.Complete && q.answer.Body != want {
		h.addViolation("%s got %q, want %q", q.id, q.answer.Body, want)
	}
}

// checkRuns verifies that a request that must not be retried runs at most once, and that a request whose status says
// that it did not run has not run.
func (h *harness) checkRuns(q *request) {
	if q.route != "book" && q.route != "talk" {
		return
	}
	n := h.timesRun(q.id)
	if n > 1 {
		h.addViolation("%s %s ran %d times", q.route, q.id, n)
	}
	notRunStatuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if n > 0 && slices.Contains(notRunStatuses, q.answer.Status) {
		h.addViolation("%s %s got status %d, which says that it did not run, but it ran", q.route, q.id, q.answer.Status)
	}
}

// checkWithdrawnKey verifies that no request runs with a withdrawn key after keyTerm, whatever happened to the router.
func (h *harness) checkWithdrawnKey(q *request) {
	at, isWithdrawn := h.keyWithdrawn[q.key]
	if isWithdrawn && q.sent.Sub(at) > keyTerm+latencySlack && h.timesRun(q.id) > 0 {
		h.addViolation("%s ran through %s with %s, which had been withdrawn %v before", q.id, q.router.name, q.key, q.sent.Sub(at))
	}
}

// checkUndisturbed verifies, for times without unplanned faults, that a key in force is accepted, that an endpoint's
// answer arrives complete even from a router that is stopping, and that no endpoint keeps working for a client that has
// disconnected.
func (h *harness) checkUndisturbed(q *request, arrivals arrivalsByRequest) {
	if h.disturbed(q.router, q.sent, q.ended) {
		return
	}
	at, known := h.keyWritten[q.key]
	_, isWithdrawn := h.keyWithdrawn[q.key]
	inForce := known && !isWithdrawn && q.sent.Sub(at) > configurationDelay+latencySlack
	if inForce && (q.answer.Status == http.StatusUnauthorized || q.answer.Status == http.StatusNotFound) {
		h.addViolation("%s got %d from %s for %s, in force for %v", q.id, q.answer.Status, q.router.name, q.key, q.sent.Sub(at))
	}
	if len(arrivals[q.id]) > 0 && !q.abandon && !q.answer.Complete {
		h.addViolation("%s %s reached an endpoint and ran %d times, but its answer from %s was truncated after %v: status %d, %q; %s", q.route, q.id,
			h.timesRun(q.id), q.router.name, q.ended.Sub(q.sent), q.answer.Status, q.answer.Body, q.timing())
	}
	if q.abandon && time.Since(q.ended) > time.Second {
		for _, e := range h.endpoints {
			if e.Executing(q.id) {
				h.addViolation("%s is still being processed %v after its client disconnected", q.id, time.Since(q.ended))
			}
		}
	}
}

// checkUnanswered verifies that a completely sent request is answered or refused rather than left until its connection
// ends. A connection that was idle within its limit must answer the next request; only a router that is stopping, or a
// client that exceeded the limit, may end it without an answer.
func (h *harness) checkUnanswered(q *request) {
	if q.answer.RequestRead && !q.abandon && !h.disturbed(q.router, q.sent, q.ended) {
		h.addViolation("%s %s was read by %s and neither answered nor refused: %s", q.route, q.id, q.router.name, q.timing())
	}
	if q.conn == nil || q.answer.Status != 0 || h.disturbed(q.router, q.idleSince, q.ended) {
		return
	}
	if !q.fullySent.IsZero() && q.ended.Sub(q.fullySent) > latencySlack {
		h.addViolation("%s %s was neither answered nor refused by %s for %v: %s", q.route, q.id, q.router.name, q.ended.Sub(q.fullySent), q.timing())
	}
	if q.conn.idleBehavior != idlesPastLimit && !h.stopping(q.router, q.idleSince, q.ended) {
		h.addViolation("%s %s was not answered by %s: %s", q.route, q.id, q.router.name, q.timing())
	}
}

// timing describes how and when the request was sent, for messages.
func (q *request) timing() string {
	return fmt.Sprintf("sent %s in %d parts after %v idle, ended %v later, error: %v", q.sent.Format("05.000"), q.parts,
		q.sent.Sub(q.idleSince), q.ended.Sub(q.sent), q.answer.Err)
}

// checkServesWhileStopping verifies that a router that was told to stop keeps serving while the load balancer may still
// send it clients. A stream whose version no engine has any more is refused by any router.
func (h *harness) checkServesWhileStopping(q *request) {
	if q.takesUp != nil && !q.versionServes {
		return
	}
	if q.answer.Status == http.StatusServiceUnavailable && q.router.justToldToStop(q.sent) && !h.disturbed(q.router, q.sent, q.ended) {
		h.addViolation("%s %s was refused by %s, which had just been told to stop", q.route, q.id, q.router.name)
	}
}

// checkAcceptsWhileStopping verifies that a stopping router accepts new connections for just as long.
func (h *harness) checkAcceptsWhileStopping() {
	for _, r := range h.routers {
		for _, at := range r.refusedDials {
			if r.justToldToStop(at) && !h.disturbed(r, at, at) {
				h.addViolation("%s, which had just been told to stop, refused a connection", r.name)
			}
		}
	}
}

// checkVersionOrder verifies that a process that has served with one configuration version never serves with an older
// one afterwards.
func (h *harness) checkVersionOrder() {
	type routerProcess struct {
		router      *router
		routerStart int
	}
	type effect struct {
		at      time.Time
		version int
	}
	newest := map[routerProcess]effect{}
	requests := slices.Clone(h.requests)
	slices.SortFunc(requests, func(a, b *request) int { return a.ended.Compare(b.ended) })
	for _, q := range requests {
		if q.answer.Status != http.StatusOK {
			continue
		}
		version := 0
		_, _ = fmt.Sscanf(q.key, "key%d", &version)
		l := routerProcess{q.router, q.routerStart}
		if version < newest[l].version && q.sent.Sub(newest[l].at) > latencySlack && !h.disturbed(q.router, q.sent, q.ended) {
			h.addViolation("%s served %s with %s after version %d", q.router.name, q.id, q.key, newest[l].version)
		}
		if version > newest[l].version {
			newest[l] = effect{at: q.ended, version: version}
		}
	}
}

// checkDrained verifies that an endpoint that is leaving gets no new requests after drainDelay. Those that it answers 421, because its
// address was another endpoint's, do not count.
func (h *harness) checkDrained() {
	sent := h.requestsByID()
	for _, e := range h.endpoints {
		for _, a := range e.ReceivedRequests() {
			q := sent[a.ID]
			if e.leavingSince.IsZero() || q == nil || a.Misdirected || a.At.Sub(e.leavingSince) < drainDelay || q.sent.Sub(e.leavingSince) < drainDelay {
				continue
			}
			if !h.disturbed(q.router, e.leavingSince, a.At) {
				h.addViolation("%s reached endpoint %s through %s %v after it announced that it is leaving", a.ID, e.options.ID, q.router.name, a.At.Sub(e.leavingSince))
			}
		}
	}
}

// checkMarkInAnswers verifies that a router sends an endpoint nothing later than drainDelay after it has passed on an
// answer which said that the endpoint is leaving. Only the end or a suspension of the process excuses it.
func (h *harness) checkMarkInAnswers() {
	sent := h.requestsByID()
	for _, e := range h.endpoints {
		marked := map[*router]time.Time{}
		for _, a := range e.ReceivedRequests() {
			q := sent[a.ID]
			if q == nil {
				continue
			}
			since, isMarked := marked[q.router]
			if isMarked && q.sent.Sub(since) > drainDelay && !h.lostMemory(q.router, since, a.At) {
				h.addViolation("%s reached endpoint %s through %s %v after that router had passed on its mark", a.ID, e.options.ID, q.router.name, q.sent.Sub(since))
			}
			if a.Leaving && q.answer.Complete && q.answer.Status == http.StatusOK && (!isMarked || h.lostMemory(q.router, since, q.ended)) {
				marked[q.router] = q.ended
			}
		}
	}
}

// pauseGrace is how long after a refusal requests that were on their way may still arrive, and maxInPause how many more
// requests may arrive until the end of the pause.
const (
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// checkPauses verifies that a router sends an endpoint next to nothing in the time for which it asked for no requests.
func (h *harness) checkPauses() {
	sent := h.requestsByID()
	for _, e := range h.endpoints {
		arrivals := e.ReceivedRequests()
		for i, refused := range arrivals {
			q := sent[refused.ID]
			if refused.Pause == 0 || q == nil || h.disturbed(q.router, refused.At, refused.At) {
				continue
			}
			n := 0
			for _, a := range arrivals[i+1:] {
				after, later := a.At.Sub(refused.At), sent[a.ID]
				if after > pauseGrace && after < refused.Pause && later != nil && later.router == q.router && !h.lostMemory(q.router, refused.At, a.At) {
					n++
				}
			}
			if n > maxInPause {
				h.addViolation("endpoint %s asked %s for no requests for %v and got %d", e.options.ID, q.router.name, refused.Pause, n)
			}
		}
	}
}

func (h *harness) requestsByID() (byID map[string]*request) {
	byID = map[string]*request{}
	for _, q := range h.requests {
		byID[q.id] = q
	}
	return byID
}

// checkRetryBudget verifies that in every window all routers together send a service no more retries than retryRatio of
// its requests plus retrySlack. The number of requests is the largest of those in the window itself, in the window
// before it, and in the window that begins half a window earlier.
func (h *harness) checkRetryBudget(arrivals arrivalsByRequest) {
	requestTimes, retryTimes := map[string][]time.Time{}, map[string][]time.Time{}
	for _, q := range h.requests {
		service := serviceOf(q.route)
		requestTimes[service] = append(requestTimes[service], q.sent)
		for i, a := range arrivals[q.id] {
			if i > 0 {
				retryTimes[service] = append(retryTimes[service], a.At)
			}
		}
	}
	for service, list := range retryTimes {
		for _, from := range list {
			n := countInWindow(list, from)
			requests := max(countInWindow(requestTimes[service], from), countInWindow(requestTimes[service], from.Add(-retryWindow/2)),
				countInWindow(requestTimes[service], from.Add(-retryWindow)))
			if float64(n) > retryRatio*float64(requests)+retrySlack {
				h.addViolation("%d retries to %s in %v with %d requests", n, service, retryWindow, requests)
				return
			}
		}
	}
}

func serviceOf(route string) string {
	if route == "draft" || route == "talk" || route == "talkon" {
		return modelService
	}
	if route == releaseService {
		return releaseService
	}
	return plainService
}

// retryWindow is the length of the window in which retries are counted.
const retryWindow = 10 * time.Second

func countInWindow(list []time.Time, from time.Time) (n int) {
	for _, at := range list {
		if !at.Before(from) && at.Sub(from) <= retryWindow {
			n++
		}
	}
	return n
}
