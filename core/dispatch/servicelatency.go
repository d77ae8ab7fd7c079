package dispatch

import (
	"math"
	"time"

	"savoryfall/core/fleetstate"
	"savoryfall/core/latencylimit"
)

// Bounds of the limit that follows latency, as factors of the slots. What waits at an engine can be neither reordered nor refused any
// more, so none is let in beyond the slots.
const (
	minLimitFactor = 0.5
	maxLimitFactor = 1.0
)

// latencyHalfLife is the half-life of answers and their times: as long as that of the demand of accounts.
const latencyHalfLife = time.Second

// serviceLimit follows the latency of a service while overload control is active.
type serviceLimit struct {
	limit latencylimit.Limit
	// own sums this router's answers, decayed to ownAt.
	own   fleetstate.ServiceLatency
	ownAt time.Time
	// sampled is set once endpoints have reported their load: those that never do have no limit but a fixed factor.
	sampled bool
}

func (l *serviceLimit) decayTo(now time.Time) {
	f := float32(math.Exp2(-float64(now.Sub(l.ownAt)) / float64(latencyHalfLife)))
	l.own.Answers *= f
	l.own.TotalMs *= f
	l.own.Refusals *= f
	l.ownAt = now
}

func (d *Dispatcher) serviceLimit(service string) *serviceLimit {
	l := d.limits[service]
	if l == nil {
		if d.limits == nil {
			d.limits = map[string]*serviceLimit{}
		}
		l = &serviceLimit{own: fleetstate.ServiceLatency{Service: serviceHash(service)}}
		l.limit.SetBounds(minLimitFactor, maxLimitFactor)
		d.limits[service] = l
	}
	l.limit.SetTerm(d.overload.reportTerm())
	return l
}

// recordAnswer records that the endpoint has answered the request, or has refused it.
func (a *Attempt) recordAnswer(v Verdict, took time.Duration, now time.Time) {
	if v != Served && v != Refused || !a.d.overload.LatencyLimit || !a.d.overloadControl(a.q.Service, now) {
		return
	}
	l := a.d.serviceLimit(a.q.Service)
	l.decayTo(now)
	if v == Refused {
		l.own.Refusals++
		return
	}
	l.own.Answers++
	l.own.TotalMs += float32(inMs(took))
}

// limitFactor returns the part of the slots that the service is kept full to. It is below 1 only for engines whose limit follows latency.
func (c *scoring) limitFactor() float64 {
	if !c.engine || !c.d.overload.LatencyLimit || !c.controlled() {
		return 1
	}
	return c.d.serviceLimit(c.q.Service).factor(c.now)
}

// factor returns the part of the slots that the service is kept full to, 1 if its endpoints never report their load.
func (l *serviceLimit) factor(now time.Time) float64 {
	if !l.sampled {
		return 1
	}
	return l.limit.Factor(now)
}

// LimitFactor returns the part of its slots that an engine service is kept full to.
func (d *Dispatcher) LimitFactor(service string, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scoring(Query{Service: service}, d.pools[service], now).limitFactor()
}

func (d *Dispatcher) ownLatencies(now time.Time) (list []fleetstate.ServiceLatency) {
	for _, l := range d.limits {
		l.decayTo(now)
		if l.own.Answers >= minReportedWeight || l.own.Refusals >= minReportedWeight {
			list = append(list, l.own)
		}
	}
	return list
}

func (d *Dispatcher) setLatencies(total, _ []fleetstate.ServiceLatency, now time.Time) {
	for service, pool := range d.pools {
		_, _, engine := d.serviceCapacity(service)
		if !engine || !d.overload.LatencyLimit || !d.overloadControl(service, now) {
			continue
		}
		l := d.serviceLimit(service)
		s := d.sample(service, pool, now)
		for _, t := range total {
			// The time to the first event of a stream is mostly that of reading the prompt, which fewer requests do not shorten. So what
			// waits and what is refused decide.
			if t.Service == serviceHash(service) && t.Answers+t.Refusals > 0 {
				s.Refused = float64(t.Refusals / (t.Answers + t.Refusals))
			}
		}
		if s.Slots > 0 {
			l.sampled = true
			l.limit.Observe(s, now)
		}
	}
}

// sample sums what the endpoints of a service last reported. An endpoint that reports more than it can have counts as full.
func (d *Dispatcher) sample(service string, pool []*endpoint, now time.Time) (s latencylimit.Sample) {
	slots, _, _ := d.serviceCapacity(service)
	for _, e := range pool {
		n := e.entry.Slots
		if n == 0 {
			n = slots
		}
		r, ok := e.reported(now)
		if !ok || n == 0 {
			continue
		}
		s.Slots += float64(n)
		s.Running += float64(min(r.Running, n))
		s.Waiting += float64(min(r.Waiting, int(maxReportedFactor)*n))
	}
	return s
}
