package dispatch

import (
	"math"
	"time"

	"savoryfall/core/fleetstate"
	"savoryfall/core/latencylimit"
)

// Bounds of the limit that follows latency, as factors of the slots. What waits at an engine can be neither reordered nor refused any
// more, so none is let in beyond the slots; calls of a plain service are short, and some may wait.
const (
	minEngineFactor, maxEngineFactor = 0.5, 1.0
	minPlainFactor                   = 1.0
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
	// target is the shortest latency target of the requests since the last sample, 0 if none was stated.
	target time.Duration
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
		_, _, engine := d.serviceCapacity(service)
		if engine {
			l.limit.SetBounds(minEngineFactor, maxEngineFactor)
		} else {
			l.limit.SetBounds(minPlainFactor, maxPlainFactor)
		}
		d.limits[service] = l
	}
	l.limit.SetTerm(d.overload.reportTerm())
	return l
}

// recordLatency records the time to the first event of a stream, or to the whole plain answer.
func (a *Attempt) recordLatency(took time.Duration, now time.Time) {
	if !a.controlled {
		return
	}
	l := a.d.serviceLimit(a.q.Service)
	l.decayTo(now)
	l.own.Answers++
	l.own.TotalMs += float32(inMs(took))
	if t := a.q.LatencyTarget; t > 0 && (l.target == 0 || t < l.target) {
		l.target = t
	}
}

// recordFull records that an endpoint refused the request.
func (a *Attempt) recordFull(now time.Time) {
	if !a.controlled {
		return
	}
	l := a.d.serviceLimit(a.q.Service)
	l.decayTo(now)
	l.own.Refusals++
}

// factor returns up to which factor of its slots the service is kept full.
func (l *serviceLimit) factor(engine bool, now time.Time) float64 {
	switch {
	case l.sampled:
		return l.limit.Factor(now)
	case engine:
		return maxEngineFactor
	}
	return queueFactor
}

// LimitFactor returns up to which factor of its slots the service is kept full while overload control is active.
func (d *Dispatcher) LimitFactor(service string, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _, engine := d.serviceCapacity(service)
	return d.serviceLimit(service).factor(engine, now)
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
		if !d.overloadControl(service, now) {
			continue
		}
		l := d.serviceLimit(service)
		s := d.sample(service, pool, now)
		for _, t := range total {
			if t.Service == serviceHash(service) && t.Answers > 0 {
				s.Latency = time.Duration(t.TotalMs / t.Answers * float32(time.Millisecond))
				s.Refused = float64(t.Refusals / (t.Answers + t.Refusals))
			}
		}
		if _, _, engine := d.serviceCapacity(service); engine {
			// The time to the first event is mostly that of reading the prompt, which fewer requests do not shorten.
			s.Latency = 0
		} else {
			s.AtEase, s.Target = d.plainTime(service), l.target
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
