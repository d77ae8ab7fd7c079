package dispatch

import (
	"math"
	"time"

	"savoryfall/core/directory"
	"savoryfall/core/fleetstate"
	"savoryfall/core/speed"
)

// endpointState is what is known of an endpoint's load and speed while overload control is active for its service. The zero value knows
// nothing.
type endpointState struct {
	speed speed.Tracker
	// ownWork counts the work for this router by which the speed was learned.
	ownWork int
	// own is what the endpoint reported in the newest answer to this router, newest in the newest answer to any router.
	own, newest loadReport
	// unreported is set if own has not been told to the other routers.
	unreported bool
	// heldTokens is the number of prompt and output tokens of this router's running requests, othersHeld that of the others'.
	heldTokens, othersHeld int
	othersHeldUntil        time.Time
	notice                 speedNotice
}

// loadReport is what an endpoint reported of its load in an answer.
type loadReport struct {
	at                      time.Time
	running, waiting, slots int
	slowdown                float64
}

// free reports whether the endpoint had free slots, as far as it says.
func (r *loadReport) free() bool { return r.waiting == 0 && (r.slots == 0 || r.running < r.slots) }

// take records a report unless a newer one is known.
func (s *endpointState) take(r loadReport) {
	if !r.at.After(s.newest.at) {
		return
	}
	s.newest = r
	if r.slowdown > 0 {
		s.speed.ObserveReported(r.slowdown, r.at)
	}
}

// slowdown returns the factor by which work is expected to take longer at the endpoint than usual at its service.
func (e *endpoint) slowdown(now time.Time) float64 { return e.state.speed.Factor(now) }

// reported returns the newest load that the endpoint reported to this router or another one. ok is false if none is new enough
// to count.
func (e *endpoint) reported(now time.Time) (s fleetstate.EndpointState, ok bool) {
	r := &e.state.newest
	if r.at.IsZero() || now.Sub(r.at) > othersMaxAge {
		return s, false
	}
	s = e.describe(r, now)
	s.HeldTokens = e.state.heldTokens
	if now.Before(e.state.othersHeldUntil) {
		s.HeldTokens += e.state.othersHeld
	}
	return s, true
}

const (
	// unknownAge is the age that is stated for an endpoint that has not answered this router: older than any report that counts.
	unknownAge = time.Hour
	// minOwnWork is how much work of its own a router needs to tell the others the lasting factor of an endpoint.
	minOwnWork = 16
)

// describe returns a report for the other routers, without the held tokens. Reports that are distrusted are left out, so that another
// router's that are not may take their place.
func (e *endpoint) describe(r *loadReport, now time.Time) fleetstate.EndpointState {
	s := fleetstate.EndpointState{
		Endpoint: e.shortHash(), Running: r.running, Waiting: r.waiting, Slots: r.slots, Age: unknownAge, Slowdown: float32(r.slowdown),
	}
	if !r.at.IsZero() {
		s.Age = max(now.Sub(r.at), 0)
	}
	if e.state.speed.Distrusted(now) {
		s.Slowdown = 0
	}
	if e.state.ownWork >= minOwnWork {
		s.Lasting = float32(e.state.speed.Lasting())
	}
	return s
}

// ownEndpointStates returns what the endpoints have reported to this router since the last call, and what it holds there.
func (d *Dispatcher) ownEndpointStates(now time.Time) (states []fleetstate.EndpointState) {
	for service, pool := range d.pools {
		if !d.overloadControl(service, now) {
			continue
		}
		for _, e := range pool {
			if !e.state.unreported && e.running == 0 {
				continue
			}
			e.state.unreported = false
			s := e.describe(&e.state.own, now)
			s.HeldTokens = e.state.heldTokens
			states = append(states, s)
		}
	}
	return states
}

// setEndpointStates sets what all routers together know of endpoints, of which own is what this router had reported.
func (d *Dispatcher) setEndpointStates(total, own []fleetstate.EndpointState, now time.Time) {
	for _, e := range d.byID {
		e.state.othersHeld, e.state.othersHeldUntil = 0, now.Add(d.reportTerm())
	}
	for _, s := range total {
		e := d.byShortHash[s.Endpoint]
		if e == nil || !d.overloadControl(e.entry.Service, now) {
			continue
		}
		e.state.othersHeld = max(s.HeldTokens, 0)
		e.takeOthers(s, now)
	}
	for _, s := range own {
		if e := d.byShortHash[s.Endpoint]; e != nil {
			e.state.othersHeld = max(e.state.othersHeld-s.HeldTokens, 0)
		}
	}
}

// takeOthers takes what an endpoint reported to any router.
func (e *endpoint) takeOthers(s fleetstate.EndpointState, now time.Time) {
	at := now.Add(-min(max(s.Age, 0), unknownAge))
	if !at.After(e.state.newest.at) || now.Sub(at) > othersMaxAge {
		return
	}
	r := loadReport{at: at, running: max(s.Running, 0), waiting: max(s.Waiting, 0), slots: max(s.Slots, 0)}
	if f := float64(s.Slowdown); f > 0 && !math.IsInf(f, 0) {
		r.slowdown = f
	}
	e.state.take(r)
	e.state.speed.ObserveLasting(float64(s.Lasting), at)
}

// reportTerm is how long what other routers hold at endpoints counts.
func (d *Dispatcher) reportTerm() time.Duration {
	if d.overload.ReportTerm > 0 {
		return d.overload.ReportTerm
	}
	return othersMaxAge
}

// recordReport records the load that the endpoint reported with the answer.
func (a *Attempt) recordReport(l Load, now time.Time) {
	if !l.Known || !a.d.overloadControl(a.q.Service, now) {
		return
	}
	r := loadReport{at: now, running: l.Running, waiting: l.Waiting, slots: l.Slots, slowdown: l.Slowdown}
	if !l.At.IsZero() && l.At.Before(now) {
		r.at = l.At
	}
	s := &a.e.state
	if r.at.After(s.own.at) {
		s.own, s.unreported = r, true
	}
	s.take(r)
	a.freeSlots = r.slots > 0 && r.free()
}

// RecordEvents records that bytes of a stream arrived that complete some events.
func (a *Attempt) RecordEvents(events int, now time.Time) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.e.lastBytesAt = now
	if events <= 0 {
		return
	}
	last := a.lastEventAt
	a.lastEventAt = now
	if !last.IsZero() && a.d.overloadControl(a.q.Service, now) {
		times := &a.d.timesOf(a.q.Service).event
		a.d.observeWork(a.e, times, now.Sub(last)/time.Duration(events), a.e.easy(now), now)
	}
}

// RecordDelay records that this router did not read the stream for some time, so that the pause until the next event says nothing of the
// endpoint.
func (a *Attempt) RecordDelay() {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.lastEventAt = time.Time{}
}

// observeAnswer learns from the time of a plain answer. An answer that may have waited at the endpoint says nothing of its speed.
func (a *Attempt) observeAnswer(took time.Duration, now time.Time) {
	if !a.freeSlots || !a.lastEventAt.IsZero() || !a.d.overloadControl(a.q.Service, now) {
		return
	}
	a.d.observeWork(a.e, &a.d.timesOf(a.q.Service).plain, took, a.e.easy(now), now)
}

// minCompared is how many times of its service are awaited before an endpoint is compared with them.
const minCompared = 20

// observeWork learns from the time of a piece of work at the endpoint. easy is set if it was done at ease.
func (d *Dispatcher) observeWork(e *endpoint, w *workTime, took time.Duration, easy bool, now time.Time) {
	s := &e.state
	if w.usual.values >= minCompared {
		before := s.speed.Distrusts()
		s.speed.ObserveWork(took, w.usual.or(took), now)
		s.ownWork++
		d.distrustedReports += uint64(s.speed.Distrusts() - before)
	}
	w.observe(time.Duration(float64(took)/s.speed.Passing(now)), easy)
}

// maxEasyDeviation is how far from the usual speed an endpoint may report to be at ease. Its report may be wrong, so its time is not
// corrected by it.
const maxEasyDeviation = 1.25

// easy reports whether the endpoint has free slots and its usual speed, by its newest report. One that never reports is taken to have
// both, as nothing better can be known.
func (e *endpoint) easy(now time.Time) bool {
	r := &e.state.newest
	if r.at.IsZero() {
		return true
	}
	if now.Sub(r.at) > othersMaxAge || !r.free() {
		return false
	}
	passing := e.state.speed.Passing(now)
	return passing <= maxEasyDeviation && passing >= 1/maxEasyDeviation
}

// EndpointSpeed is what a router believes of the speed of an endpoint.
type EndpointSpeed struct {
	Endpoint directory.Entry
	// Factor is by how much longer work is expected to take there now, and Lasting the part of it that lasts. Age is the time since
	// the newest report or work by which they are known.
	Factor, Lasting float64
	Age             time.Duration
	// Distrusted is set if the speed that the endpoint reports contradicts its work.
	Distrusted bool
}

// EndpointSpeed returns what this router believes of the speed of the endpoint. ok is false if the directory does not list it.
func (d *Dispatcher) EndpointSpeed(id string, now time.Time) (s EndpointSpeed, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byID[id]
	if e == nil {
		return s, false
	}
	return e.speed(now), true
}

func (e *endpoint) speed(now time.Time) EndpointSpeed {
	t := &e.state.speed
	return EndpointSpeed{Endpoint: e.entry, Factor: t.Factor(now), Lasting: t.Lasting(), Age: t.Age(now), Distrusted: t.Distrusted(now)}
}
