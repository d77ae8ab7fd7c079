package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"savoryfall/platform/standin/server"
)

// arrivals are those of every request at all servers.
type arrivals map[string][]server.Arrival

func (w *world) arrivals() (by arrivals) {
	by = arrivals{}
	for _, b := range w.servers {
		for _, a := range b.Arrivals() {
			by[a.ID] = append(by[a.ID], a)
			if a.Authorized {
				w.fault("%s reached server %s with the client's key", a.ID, b.options.ID)
			}
		}
	}
	for _, list := range by {
		slices.SortFunc(list, func(a, b server.Arrival) int { return a.At.Compare(b.At) })
	}
	return by
}

func (w *world) ran(id string) (n int64) {
	for _, b := range w.servers {
		n += b.Ran(id)
	}
	return n
}

// check looks at the end at what must have held all the while.
func (w *world) check() {
	by := w.arrivals()
	served, rested, parted := 0, 0, 0
	for _, q := range w.requests {
		if q.sent.Sub(q.since) > time.Second {
			rested++
		}
		if q.parts > 1 {
			parted++
		}
		if q.answer.Whole && q.answer.Status == http.StatusOK {
			served++
		}
		w.checkAnswer(q)
		w.checkRuns(q)
		w.checkKey(q)
		w.checkCalm(q, by)
		w.checkLost(q)
		w.checkStopping(q)
	}
	w.checkAccepted()
	w.checkForward()
	w.checkLeaving()
	w.checkRetries(by)
	w.t.Logf("seed %d: %d requests, %d after a second or more of idleness, %d in parts, %d served whole, %d faults injected", w.seed,
		len(w.requests), rested, parted, served, len(w.troubles))
	if served == 0 {
		w.fault("nothing was served")
	}
}

// checkAnswer: a client gets the whole answer to its own request, or can tell that it has not.
func (w *world) checkAnswer(q *request) {
	if q.kind == "draft" || q.kind == "talk" {
		if q.answer.Status == http.StatusOK && !strings.HasPrefix(stream(), q.answer.Body) {
			w.fault("stream %s has a gap or a repeat: %q", q.id, q.answer.Body)
		}
		if q.answer.Status == http.StatusOK && q.answer.Whole && q.answer.Body != stream() {
			w.fault("stream %s looks whole: %q", q.id, q.answer.Body)
		}
		return
	}
	want := fmt.Sprintf("/%s/%s for coop by plain", q.kind, q.id)
	if q.answer.Status == http.StatusOK && q.answer.Whole && q.answer.Body != want {
		w.fault("%s got %q, want %q", q.id, q.answer.Body, want)
	}
}

func stream() (text string) {
	for id := 1; id <= events; id++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	return text
}

// checkRuns: what runs once runs once, and what was told not to have run has not.
func (w *world) checkRuns(q *request) {
	if q.kind != "book" && q.kind != "talk" {
		return
	}
	n := w.ran(q.id)
	if n > 1 {
		w.fault("%s %s ran %d times", q.kind, q.id, n)
	}
	promises := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if n > 0 && slices.Contains(promises, q.answer.Status) {
		w.fault("%s %s was told %d and ran", q.kind, q.id, q.answer.Status)
	}
}

// checkKey: a withdrawn key runs nothing after its term, whatever happened to the router.
func (w *world) checkKey(q *request) {
	at, gone := w.withdrawn[q.key]
	if gone && q.sent.Sub(at) > keyTerm+slack && w.ran(q.id) > 0 {
		w.fault("%s ran on %s by %s, which was withdrawn %v before", q.id, q.router.name, q.key, q.sent.Sub(at))
	}
}

// checkCalm: where nothing is disturbed, a key in force is served, an answer that a server gives arrives whole also from
// a router that is stopping, and no server works for a client that has left.
func (w *world) checkCalm(q *request, by arrivals) {
	if w.disturbed(q.router, q.sent, q.ended) {
		return
	}
	at, known := w.written[q.key]
	_, gone := w.withdrawn[q.key]
	inForce := known && !gone && q.sent.Sub(at) > applied+slack
	if inForce && (q.answer.Status == http.StatusUnauthorized || q.answer.Status == http.StatusNotFound) {
		w.fault("%s got %d from %s for %s, in force for %v", q.id, q.answer.Status, q.router.name, q.key, q.sent.Sub(at))
	}
	if len(by[q.id]) > 0 && !q.quit && !q.answer.Whole {
		w.fault("%s %s reached a server, ran %d times, and its answer from %s was cut after %v: status %d, %q; %s", q.kind, q.id,
			w.ran(q.id), q.router.name, q.ended.Sub(q.sent), q.answer.Status, q.answer.Body, q.way())
	}
	if q.quit && time.Since(q.ended) > time.Second {
		for _, b := range w.servers {
			if b.Working(q.id) {
				w.fault("%s is still worked on %v after its client left", q.id, time.Since(q.ended))
			}
		}
	}
}

// checkLost: a request that was sent whole is answered or refused, and not left until its connection ends. A connection that
// was idle for no longer than it may be answers the next request; a router that stops, or a client that is late, may end it.
func (w *world) checkLost(q *request) {
	if q.answer.Read && !q.quit && !w.disturbed(q.router, q.sent, q.ended) {
		w.fault("%s %s was read by %s and neither answered nor refused: %s", q.kind, q.id, q.router.name, q.way())
	}
	if q.conn == nil || q.answer.Status != 0 || w.disturbed(q.router, q.since, q.ended) {
		return
	}
	if !q.whole.IsZero() && q.ended.Sub(q.whole) > slack {
		w.fault("%s %s was neither answered nor refused by %s for %v: %s", q.kind, q.id, q.router.name, q.ended.Sub(q.whole), q.way())
	}
	if q.conn.habit != late && !w.stopping(q.router, q.since, q.ended) {
		w.fault("%s %s was not answered by %s: %s", q.kind, q.id, q.router.name, q.way())
	}
}

// way is how the request was sent.
func (q *request) way() string {
	return fmt.Sprintf("sent %s in %d parts after %v idle, ended %v later by %v", q.sent.Format("05.000"), q.parts,
		q.sent.Sub(q.since), q.ended.Sub(q.sent), q.answer.Err)
}

// checkStopping: a router that is told to stop serves on for as long as the balancer may send it clients.
func (w *world) checkStopping(q *request) {
	if q.answer.Status == http.StatusServiceUnavailable && q.router.leaves(q.sent) && !w.disturbed(q.router, q.sent, q.ended) {
		w.fault("%s %s was refused by %s, which had just been told to stop", q.kind, q.id, q.router.name)
	}
}

// checkAccepted: for as long, it takes new connections.
func (w *world) checkAccepted() {
	for _, r := range w.routers {
		for _, at := range r.closed {
			if r.leaves(at) && !w.disturbed(r, at, at) {
				w.fault("%s, which had just been told to stop, refused a connection", r.name)
			}
		}
	}
}

// checkForward: a process that has served a version serves no older one again.
func (w *world) checkForward() {
	type life struct {
		router *router
		boot   int
	}
	type effect struct {
		at      time.Time
		version int
	}
	newest := map[life]effect{}
	requests := slices.Clone(w.requests)
	slices.SortFunc(requests, func(a, b *request) int { return a.ended.Compare(b.ended) })
	for _, q := range requests {
		if q.answer.Status != http.StatusOK {
			continue
		}
		version := 0
		_, _ = fmt.Sscanf(q.key, "key%d", &version)
		l := life{q.router, q.boot}
		if version < newest[l].version && q.sent.Sub(newest[l].at) > slack && !w.disturbed(q.router, q.sent, q.ended) {
			w.fault("%s served %s by %s after version %d", q.router.name, q.id, q.key, newest[l].version)
		}
		if version > newest[l].version {
			newest[l] = effect{at: q.ended, version: version}
		}
	}
}

// checkLeaving: a server that leaves gets no new work after a while.
func (w *world) checkLeaving() {
	sent := map[string]*request{}
	for _, q := range w.requests {
		sent[q.id] = q
	}
	for _, b := range w.servers {
		for _, a := range b.Arrivals() {
			q := sent[a.ID]
			if b.left.IsZero() || q == nil || a.At.Sub(b.left) < drain || q.sent.Sub(b.left) < drain {
				continue
			}
			if !w.disturbed(q.router, b.left, a.At) {
				w.fault("%s reached server %s by %s %v after it said that it leaves", a.ID, b.options.ID, q.router.name, a.At.Sub(b.left))
			}
		}
	}
}

// checkRetries: in every window, all routers together send a service no more than a share of its requests, and the slack,
// beyond the first sending of each. The requests of the window, the one before it, or the one half a window before count.
func (w *world) checkRetries(by arrivals) {
	asked, again := map[string][]time.Time{}, map[string][]time.Time{}
	for _, q := range w.requests {
		service := serviceOf(q.kind)
		asked[service] = append(asked[service], q.sent)
		for i, a := range by[q.id] {
			if i > 0 {
				again[service] = append(again[service], a.At)
			}
		}
	}
	for service, list := range again {
		for _, from := range list {
			n := inWindow(list, from)
			requests := max(inWindow(asked[service], from), inWindow(asked[service], from.Add(-window/2)),
				inWindow(asked[service], from.Add(-window)))
			if float64(n) > retryRatio*float64(requests)+retrySlack {
				w.fault("%d retries at %s in %v of %d requests", n, service, window, requests)
				return
			}
		}
	}
}

func serviceOf(kind string) string {
	if kind == "draft" || kind == "talk" {
		return models
	}
	return plain
}

// window is that in which retries are counted.
const window = 10 * time.Second

func inWindow(list []time.Time, from time.Time) (n int) {
	for _, at := range list {
		if !at.Before(from) && at.Sub(from) <= window {
			n++
		}
	}
	return n
}
