package dispatch

import (
	"time"

	"savoryfall/core/directory"
)

const (
	// pauseJitterShare and maxPauseJitter bound the random time that is added to a pause, as a share of the pause and in
	// all. Without it, the routers that were refused together would return together.
	pauseJitterShare = 0.25
	maxPauseJitter   = time.Second
	// fullWindow is the number of unanswered requests from which a returning endpoint is no longer limited.
	fullWindow = 32
)

// pause keeps requests from an endpoint that refused one and asked for none until a time. Afterwards requests return
// slowly: one is sent first, and each answer doubles how many may be unanswered. The endpoint is empty by then, so
// without the limit every router would send it whatever arrives, and it would refuse again. A nil pause is none.
type pause struct {
	until time.Time
	// window is how many requests may be unanswered, 0 for no limit. unanswered counts those sent while it applied.
	window, unanswered int
	// began is when the current pause began, and refusals how many requests were refused in it. ended is set once its
	// end has been reported.
	began    time.Time
	refusals int
	ended    bool
}

func (p *pause) active(now time.Time) bool { return p != nil && now.Before(p.until) }

// extend begins a pause or extends the current one, and reports whether it began. A shorter pause does not end a longer
// one, because answers may arrive in another order than they were written.
func (p *pause) extend(until, now time.Time) (began bool) {
	if began = !p.active(now); began {
		p.began, p.refusals, p.ended = now, 0, false
	}
	p.refusals++
	if until.After(p.until) {
		p.until = until
	}
	p.window = 1
	return began
}

// limited reports whether the endpoint has as many unanswered requests as it may have for now.
func (p *pause) limited() bool { return p != nil && p.window > 0 && p.unanswered >= p.window }

// grow allows more requests after one was answered.
func (p *pause) grow(now time.Time) {
	if p == nil || p.window == 0 || p.active(now) {
		return
	}
	p.window *= 2
	if p.window > fullWindow {
		p.window = 0
	}
}

// shrink returns to a single request after the endpoint has refused one.
func (p *pause) shrink() {
	if p != nil && p.window > 0 {
		p.window = 1
	}
}

// Pause records that the endpoint refused the request and wants no further ones for the duration, and reports whether a
// pause began.
func (a *Attempt) Pause(asked time.Duration, now time.Time) (began bool) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.e.pause == nil {
		a.e.pause = &pause{}
	}
	a.d.withdrawals.Add(1)
	jitter := min(time.Duration(pauseJitterShare*float64(asked)), maxPauseJitter)
	return a.e.pause.extend(now.Add(asked+time.Duration(a.d.randomFloat()*float64(jitter))), now)
}

// countUnanswered counts the attempt among the unanswered ones while these are limited.
func (a *Attempt) countUnanswered() {
	if a.e.pause != nil && a.e.pause.window > 0 {
		a.e.pause.unanswered++
		a.limited = true
	}
}

// answered removes the attempt from the unanswered ones.
func (a *Attempt) answered() {
	if a.limited {
		a.e.pause.unanswered--
		a.limited = false
	}
}

// EndedPause is a pause that is over.
type EndedPause struct {
	Endpoint directory.Entry
	// Duration is how long the endpoint got no requests, and Refusals how many it had refused by then.
	Duration time.Duration
	Refusals int
}

// EndedPauses returns the pauses that have ended since the last call.
func (d *Dispatcher) EndedPauses(now time.Time) (list []EndedPause) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		p := e.pause
		if p == nil || p.ended || p.active(now) {
			continue
		}
		p.ended = true
		list = append(list, EndedPause{Endpoint: e.entry, Duration: p.until.Sub(p.began), Refusals: p.refusals})
	}
	return list
}

// PausedFor returns after what time an endpoint of the service may get requests again, 0 if one may now or none will.
func (d *Dispatcher) PausedFor(service string, now time.Time) (remaining time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pausedFor(service, now)
}

func (d *Dispatcher) pausedFor(service string, now time.Time) (remaining time.Duration) {
	for _, e := range d.pools[service] {
		switch {
		case !d.isWithdrawn(e, now):
			return 0
		case e.leaving || d.isDrained(e):
		case remaining == 0 || e.pause.until.Sub(now) < remaining:
			remaining = e.pause.until.Sub(now)
		}
	}
	return remaining
}
