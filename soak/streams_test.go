package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"savoryfall/platform/standin/testclient"
)

// maxTakeUps is how often a client takes up a stream that breaks off.
const maxTakeUps = 3

// takeUpTime is for how long after its first attempt a client tries to take a stream up. Clients stay within the 3 s that they state;
// routers remember for five seconds more than that.
const takeUpTime = 7 * time.Second

// streamRelease sends a stream to the service whose versions change.
func (h *harness) streamRelease(r *router, c *conn, random *rand.Rand) {
	h.stream(releaseService, maxReleaseTakeUps, r, c, random)
}

// stream sends a long resumable stream. If it breaks off, or the client leaves it, the client takes it up at any router, with a
// new id, as often as takeUps says.
func (h *harness) stream(route string, takeUps int, r *router, c *conn, random *rand.Rand) {
	first := &request{route: route, key: h.newestKey(), router: r}
	until := time.Now().Add(takeUpTime)
	if random.IntN(2) == 0 {
		h.leaveStream(first, 1+random.IntN(eventsPerStream-2))
	} else {
		h.sendRequest(c, first)
	}
	for last, n := first, 0; n < takeUps && !last.answer.Complete && last.lastEvent() > 0; n++ {
		if h.doneWithin(time.Duration(random.IntN(100))*time.Millisecond) || time.Now().After(until) {
			return
		}
		next := &request{route: route, key: first.key, router: h.routers[random.IntN(len(h.routers))], takesUp: last, resumes: first}
		if n >= maxTakeUps {
			// The key may have been withdrawn since. Of a client that goes on trying, only the first attempts are judged.
			next.key = h.newestKey()
		}
		next.versionServes = n < maxTakeUps && h.countOfVersion(serviceOf(route), first.versions()[0]) >= 2
		h.sendRequest(nil, next)
		if next.lastEvent() > last.lastEvent() {
			last = next
		}
	}
}

// leaveStream sends the request on a new connection, which the client closes after the number of events.
func (h *harness) leaveStream(q *request, events int) {
	c, err := testclient.Dial(q.router.clientAddress)
	if err != nil {
		return
	}
	msg := h.prepare(q)
	q.abandon = true
	q.answer.Err = c.Send(msg)
	if q.answer.Err == nil {
		received := 0
		q.answer = c.ReadStream(msg.Method, func(part string) {
			received += strings.Count(part, "data: ")
			if received >= events {
				c.Close()
			}
		})
	}
	c.Close()
	q.ended = time.Now()
	h.recordRequest(q)
}

func (h *harness) newestKey() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.key
}

var eventPattern = regexp.MustCompile(`(?m)^id: (\d+)\ndata: piece \d+ by (\S+)$`)

// lastEvent returns the id of the last event that the client has.
func (q *request) lastEvent() (id int) {
	if q.takesUp != nil {
		id = q.takesUp.lastEvent()
	}
	if found := eventPattern.FindAllStringSubmatch(q.answer.Body, -1); len(found) > 0 {
		id, _ = strconv.Atoi(found[len(found)-1][1])
	}
	return id
}

// versions returns the software versions that wrote the events of the answer, without immediate repeats.
func (q *request) versions() (list []string) {
	for _, m := range eventPattern.FindAllStringSubmatch(q.answer.Body, -1) {
		if len(list) == 0 || list[len(list)-1] != m[2] {
			list = append(list, m[2])
		}
	}
	return list
}

var byVersion = regexp.MustCompile(` by \S+`)

// eventsAfter returns the text of the events after the one with the id, without their versions.
func eventsAfter(last int) (text string) {
	for id := last + 1; id <= eventsPerStream; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return text
}

// minTakenUp is from how many streams on the share that goes on is judged.
const minTakenUp = 12

// checkVersions verifies that no stream of the route holds events of two software versions, within an answer or over the client's
// attempts, and that of the streams that are taken up at undisturbed routers, while two engines of their version serve, at
// least half as large a share goes on as of new streams begins.
func (h *harness) checkVersions(route string) {
	var takenUp, wentOn, sent, begun, all, allOn float64
	for _, q := range h.requests {
		if q.route != route {
			continue
		}
		versions := q.versions()
		if q.resumes != nil {
			versions = append(q.resumes.versions(), versions...)
		}
		for _, v := range versions {
			if v != versions[0] {
				h.addViolation("stream %s at %s holds events of several versions: %v", q.id, q.router.name, versions)
				break
			}
		}
		goesOn := q.answer.Status == http.StatusOK && (q.answer.Complete || len(q.versions()) > 0)
		if q.resumes != nil {
			all++
			if goesOn {
				allOn++
			}
		}
		switch {
		case h.disturbed(q.router, q.sent, q.ended):
		case q.resumes == nil:
			sent++
			if goesOn {
				begun++
			}
		case q.versionServes:
			takenUp++
			if goesOn {
				wentOn++
			}
		}
	}
	h.t.Logf("seed %d, %s: %.0f streams taken up, %.0f went on; undisturbed: %.0f of %.0f, and %.0f of %.0f new ones began", h.seed, route, all, allOn, wentOn, takenUp, begun, sent)
	if takenUp >= minTakenUp && wentOn/takenUp < begun/max(sent, 1)/2 {
		h.addViolation("%s: %.0f of %.0f streams that were taken up go on, and %.0f of %.0f new ones begin", route, wentOn, takenUp, begun, sent)
	}
}
