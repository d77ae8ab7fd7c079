package entry

import (
	"fmt"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/field"
	"savoryfall/core/request"
	"savoryfall/core/waitqueue"
)

// SetWaitLimits sets how long a request may wait for a place and how many may wait. They apply also to those that wait.
func (h *Handler) SetWaitLimits(maxWait time.Duration, maxWaiting int) {
	h.waiters.setLimits(waitqueue.Limits{MaxWait: maxWait, MaxWaiting: maxWaiting})
}

// Waiting returns how many requests wait for a place at the service, and for how long the oldest has.
func (h *Handler) Waiting(service string) (n int, oldest time.Duration) {
	return h.waiters.count(service, time.Now())
}

// WaitLimits returns how long a request may wait for a place, and how many may wait.
func (h *Handler) WaitLimits() (maxWait time.Duration, maxWaiting int) {
	h.waiters.mu.Lock()
	defer h.waiters.mu.Unlock()
	return h.waiters.limits.MaxWait, h.waiters.limits.MaxWaiting
}

// mayWait reports whether a request that was not given an endpoint may wait for one: its first attempt, where capacity is missing
// and overload control is active.
func (x *exchange) mayWait(reason dispatch.Reason) bool {
	return len(x.tried) == 0 && lacksCapacity(reason) && x.handler.Dispatcher.OverloadControl(x.service, time.Now())
}

func lacksCapacity(r dispatch.Reason) bool {
	return r == dispatch.ReasonAllFull || r == dispatch.ReasonReserved || r == dispatch.ReasonInfeasible
}

// wait lets the request wait for a place, and chooses again when one is offered. If it gets none, the reason is that of the newest
// choice, and the problem is set if the request is refused for another reason.
func (x *exchange) wait(reason dispatch.Reason) (a *dispatch.Attempt, newest dispatch.Reason, p *request.Problem) {
	h, began, result := x.handler, time.Now(), waitNotJoined
	defer func() {
		x.waited += time.Since(began)
		h.Metrics.recordWait(x.service, result, time.Since(began))
	}()
	w := h.waiters.join(x.service, x.waitEntry())
	if w == nil {
		return nil, reason, nil
	}
	x.hasWaited = true
	for {
		select {
		case k := <-w.wake:
			if k.place == nil {
				w.leave(nil)
				result = k.result
				return nil, reason, x.admitAgain()
			}
			if p = x.admitAgain(); p != nil {
				w.leave(k.place)
				result = waitWithdrawn
				if p.Reason == request.Stopping || p.Reason == request.GraceTooShort {
					result = waitStopped
				}
				return nil, reason, p
			}
			a, reason = h.Dispatcher.Choose(x.query(), time.Now())
			switch {
			case a != nil:
				w.use(k.place)
				result = waitPlaced
				return a, reason, nil
			case lacksCapacity(reason):
				w.decline(k.place)
				continue
			}
			// All that wait learn in this way that no endpoint is left.
			w.leave(k.place)
			result = waitNoEndpoint
			return nil, reason, nil
		case <-x.ctx.Done():
			w.leave(nil)
			result = waitClientGone
			return nil, reason, nil
		}
	}
}

// waitEntry describes the request for the queue.
func (x *exchange) waitEntry() waitqueue.Entry {
	return waitqueue.Entry{
		Rank: x.rank(), Deficit: x.handler.Dispatcher.AccountDeficit(x.query(), time.Now()), Retrying: x.retrying(), StartBy: x.startBy(),
	}
}

// startBy returns when an attempt must begin for the first event to come within the latency target.
func (x *exchange) startBy() time.Time {
	latest := x.deadline.Add(-minAttemptTime)
	if goal := x.route.ResponseGoal; goal > 0 {
		if at := x.began.Add(goal - x.handler.waiters.usualStart(x.service, x.route.Name)); at.Before(latest) {
			return at
		}
	}
	return latest
}

// admitAgain checks the request against the configuration after a wait, in which it may have changed.
func (x *exchange) admitAgain() *request.Problem {
	kind := x.route.Kind
	if p := x.admit(); p != nil {
		return p
	}
	if x.route.Kind != kind || !x.route.HasTarget(x.service) {
		return request.NotRun(request.NoEndpoint, retrySoon)
	}
	return nil
}

// waitFields are the log fields of a request that has waited for a place.
func (x *exchange) waitFields() []any {
	if !x.hasWaited {
		return nil
	}
	return []any{field.WaitedMs, x.waited.Milliseconds()}
}

// recordWait counts a request that found no place at first, and records how long it waited if it did.
func (m *Metrics) recordWait(service string, r waitResult, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_waits_total{service=%q,result=%q}`, service, r)).Inc()
	if r != waitNotJoined {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`savoryfall_wait_seconds{service=%q}`, service)).Update(took.Seconds())
	}
}
