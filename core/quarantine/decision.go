package quarantine

import (
	"slices"
	"time"
)

// Decision is what to do with a request.
type Decision struct {
	// Refused means that the request must not be sent, because of Cause.
	Refused bool
	// Cause is the quarantined request or part that it is refused or tried for.
	Cause Status
	// Trial means that the request is sent to learn whether it still crashes endpoints. EndTrial must be called at its end.
	Trial bool
	// Wait is how long to wait before a trial is sent.
	Wait time.Duration
}

// maxWaitShare is the part of the time that a request has left which its trial may wait.
const maxWaitShare = 0.25

// WaitWithin returns how long to wait before a trial is sent that has the time left.
func (d Decision) WaitWithin(left time.Duration) time.Duration {
	return min(d.Wait, time.Duration(maxWaitShare*float64(left)))
}

// Crashes returns how many endpoints crashed under the request.
func (t *Table) Crashes(s Subject) int {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[s.request()]; r != nil {
		return r.events()
	}
	return 0
}

// Decide decides on a request that is about to be sent for the first time.
func (t *Table) Decide(s Subject, now time.Time) (d Decision) {
	if t.Empty() {
		return Decision{}
	}
	t.change(now, func() {
		blocking := t.blocking(s, quarantineEvents)
		if len(blocking) == 0 {
			return
		}
		d.Trial = !slices.ContainsFunc(blocking, func(k Key) bool { return !t.mayTry(k, len(blocking)-1, now) })
		d.Cause = t.records[blocking[0]].status(blocking[0], now)
		d.Refused = !d.Trial
		if d.Trial {
			for _, k := range blocking {
				t.records[k].trial.begin(now)
				t.touch(k, now)
				if k.Request {
					d.Wait = announceTime
				}
			}
		}
	})
	return d
}

// mayTry reports whether this router may begin a trial of the part or request now. Requests that are refused for less go first: the
// others may crash endpoints for something else that they have.
func (t *Table) mayTry(k Key, others int, now time.Time) bool {
	due := t.records[k].trial.due.Add(time.Duration(others) * trialStagger)
	if !k.Request {
		due = due.Add(time.Duration(t.fleet.Rank(k.Part)) * trialStagger)
	}
	return !now.Before(due)
}

// MayRetry reports whether a request may be sent to another endpoint. atCrash is set if it was at a crash itself.
func (t *Table) MayRetry(s Subject, atCrash bool) bool {
	if t.Empty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	events := quarantineEvents
	if atCrash {
		events = retryEvents
	}
	return len(t.blocking(s, events)) == 0
}

// EndTrial ends a trial. One that showed nothing is repeated soon: its request did not run or, for a part, crashed an endpoint and has
// another suspected part that was not tried with it.
func (t *Table) EndTrial(s Subject, conclusive bool, now time.Time) {
	t.change(now, func() {
		ambiguous := slices.ContainsFunc(s.parts(), t.untried)
		for _, k := range t.blocking(s, quarantineEvents) {
			showed := conclusive && (k.Request || !ambiguous)
			if r := t.records[k]; !showed && r.trial.count > 0 {
				r.trial.takeBack(now)
				t.touch(k, now)
			}
		}
	})
}

// untried reports whether the part is suspected and was not tried.
func (t *Table) untried(k Key) bool {
	r := t.records[k]
	return r != nil && r.trial.count == 0 && r.events() >= retryEvents
}

// blocking returns the request's own key if it is quarantined, and its parts that were at this many crashes or more which nothing
// else explains.
func (t *Table) blocking(s Subject, events int) (keys []Key) {
	if r := t.records[s.request()]; r != nil && r.quarantined() {
		keys = append(keys, s.request())
	}
	var others []*record
	for _, k := range s.parts() {
		r := t.records[k]
		if r == nil || r.events() < events {
			continue
		}
		if others == nil {
			others = t.quarantinedBeside(s.keys())
		}
		if c := r.unexplained(others); c.events() >= events && c.concern(s.account()) {
			keys = append(keys, k)
		}
	}
	return keys
}

// quarantinedBeside returns what is quarantined and not among the keys.
func (t *Table) quarantinedBeside(keys []Key) (others []*record) {
	for k := range t.quarantined {
		if !slices.Contains(keys, k) {
			others = append(others, t.records[k])
		}
	}
	return others
}
