package entry

import (
	"sync"
	"time"

	"savoryfall/core/waitqueue"
)

// waiters are the requests of this router that wait for a place, by service. The zero value admits none until limits are set.
type waiters struct {
	mu       sync.Mutex
	limits   waitqueue.Limits
	services map[string]*serviceWaiters
	// total is how many requests wait at all services.
	total  int
	lastID uint64
	closed bool
}

// serviceWaiters are the requests that wait for a place at one service. All fields are guarded by the mutex of waiters.
type serviceWaiters struct {
	all   *waiters
	queue waitqueue.Queue
	byID  map[uint64]*waiter
	// timer ends the wait of requests that can no longer be served in time. It is set for timerAt, which is zero while it is not
	// running.
	timer   *time.Timer
	timerAt time.Time
}

// waiter is one request that waits.
type waiter struct {
	service *serviceWaiters
	entry   waitqueue.Entry
	joined  time.Time
	// wake receives what becomes of the request. It has room for one value, and the next is sent only after that was received.
	wake chan wakeup
	left bool
}

// wakeup offers a waiting request a place, or ends its wait.
type wakeup struct {
	place  *place
	result waitResult
}

// waitResult is how a wait ended, or why there was none.
type waitResult string

// The results of a wait.
const (
	waitPlaced waitResult = "placed"
	// waitNotJoined means that no place was expected in time, so that the request did not wait.
	waitNotJoined waitResult = "notJoined"
	waitExpired   waitResult = "expired"
	// waitDisplaced means that others were ordered before the request, or fewer places became free than expected.
	waitDisplaced  waitResult = "displaced"
	waitStopped    waitResult = "stopping"
	waitNoEndpoint waitResult = "noEndpoint"
	waitClientGone waitResult = "clientGone"
	// waitWithdrawn means that the configuration no longer allows the request.
	waitWithdrawn waitResult = "withdrawn"
)

// place is a place that may be free. It is offered to one waiting request at a time.
type place struct {
	// offers is to how many more requests it is offered.
	offers int
	// declined are the requests that could not use it. They do not return to the queue before it is given up.
	declined []*waiter
	// more is set if further places may be free.
	more bool
}

const (
	// maxOffers is to how many requests a place is offered. Each offer costs a choice among the endpoints. One that is full for
	// the first request in order is rarely free for a later one: if that has other cached parts, or another account's share.
	maxOffers = 3
	// furtherOffers is to how many requests a further place is offered, which may not exist.
	furtherOffers = 1
)

func (ws *waiters) setLimits(l waitqueue.Limits) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.limits = l
	for _, s := range ws.services {
		s.expire(time.Now())
		s.timerAt = time.Time{}
		s.resetTimer()
	}
}

// of returns the requests that wait for a place at the service.
func (ws *waiters) of(service string) *serviceWaiters {
	s := ws.services[service]
	if s == nil {
		s = &serviceWaiters{all: ws, byID: map[uint64]*waiter{}}
		if ws.services == nil {
			ws.services = map[string]*serviceWaiters{}
		}
		ws.services[service] = s
	}
	return s
}

// onCapacity offers a place to the requests that wait for the service. freed is the number of places that have become free, 0
// if it is not known whether any has.
func (ws *waiters) onCapacity(service string, freed int) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	s, now := ws.of(service), time.Now()
	s.queue.RecordFree(freed, now)
	s.offer(&place{offers: maxOffers, more: freed == 0}, now)
}

// recordStart records the time from the start of a request of the kind at the service to its first event.
func (ws *waiters) recordStart(service, kind string, took time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.of(service).queue.RecordStart(kind, took)
}

// usualStart returns the mean time from the start of a request of the kind at the service to its first event, 0 if none is known.
func (ws *waiters) usualStart(service, kind string) time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.of(service).queue.UsualStart(kind)
}

// join adds a request to those that wait. It returns nil if the request must not wait.
func (ws *waiters) join(service string, e waitqueue.Entry) *waiter {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	s, now := ws.of(service), time.Now()
	ws.lastID++
	e.ID = ws.lastID
	s.limit()
	if ws.closed || !s.queue.Push(e, now) {
		return nil
	}
	w := &waiter{service: s, entry: e, joined: now, wake: make(chan wakeup, 1)}
	s.byID[e.ID] = w
	ws.total++
	s.expire(now)
	s.startTimer(s.queue.Until(e))
	return w
}

// close ends all waits, and lets no further request wait.
func (ws *waiters) close() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.closed = true
	for _, s := range ws.services {
		s.endAll(waitStopped)
	}
}

// count returns how many requests wait for the service, and for how long the oldest has.
func (ws *waiters) count(service string, now time.Time) (n int, oldest time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	s := ws.services[service]
	if s == nil {
		return 0, 0
	}
	for _, w := range s.byID {
		oldest = max(oldest, now.Sub(w.joined))
	}
	return len(s.byID), oldest
}

// offer offers the place to the first request in order, or gives it up.
func (s *serviceWaiters) offer(p *place, now time.Time) {
	if p.offers > 0 {
		p.offers--
		if e, ok := s.queue.Pop(now); ok {
			s.byID[e.ID].entry = e
			s.byID[e.ID].wake <- wakeup{place: p}
			return
		}
	}
	s.giveUp(p, now)
}

// giveUp returns the requests that could not use the place to the queue.
func (s *serviceWaiters) giveUp(p *place, now time.Time) {
	for _, w := range p.declined {
		switch {
		case w.left:
		case s.all.closed:
			s.end(w.entry, waitStopped)
		default:
			s.queue.Return(w.entry)
		}
	}
	// The timer ends the waits of all others in time.
	if len(p.declined) > 0 || s.queue.Len() == 0 {
		s.expire(now)
		s.timerAt = time.Time{}
		s.resetTimer()
	}
	p.declined = nil
}

// decline offers the place, which the request could not use, to the next one. The request goes on waiting.
func (w *waiter) decline(p *place) {
	s := w.service
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	p.declined = append(p.declined, w)
	s.offer(p, time.Now())
}

// use ends the wait of a request that has taken the place.
func (w *waiter) use(p *place) {
	s := w.service
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	w.remove()
	now := time.Now()
	s.giveUp(p, now)
	if p.more {
		s.offer(&place{offers: furtherOffers, more: true}, now)
	}
}

// leave ends the wait of a request that needs no place any more. One that it was offered goes to the next.
func (w *waiter) leave(p *place) {
	s := w.service
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	w.remove()
	if p == nil {
		select {
		case k := <-w.wake:
			p = k.place
		default:
		}
	}
	if p != nil {
		p.offers++
		s.offer(p, time.Now())
		return
	}
	if s.queue.Len() == 0 {
		s.expire(time.Now())
		s.resetTimer()
	}
}

func (w *waiter) remove() {
	w.left = true
	w.service.queue.Remove(w.entry.ID)
	w.service.forget(w.entry.ID)
}

// forget removes the request from those that count as waiting.
func (s *serviceWaiters) forget(id uint64) {
	if s.byID[id] != nil {
		delete(s.byID, id)
		s.all.total--
	}
}

// end ends the wait of a request that is not in the queue any more.
func (s *serviceWaiters) end(e waitqueue.Entry, r waitResult) {
	w := s.byID[e.ID]
	s.forget(e.ID)
	w.wake <- wakeup{result: r}
}

// endAll ends the waits of all requests in the queue.
func (s *serviceWaiters) endAll(r waitResult) {
	for _, e := range s.queue.Clear() {
		s.end(e, r)
	}
	s.resetTimer()
}

// expire ends the waits of the requests that must not wait any longer.
func (s *serviceWaiters) expire(now time.Time) {
	s.limit()
	for _, e := range s.queue.Expire(now) {
		r := waitDisplaced
		if !s.queue.Until(e).After(now) {
			r = waitExpired
		}
		s.end(e, r)
	}
}

// limit leaves the queue as much room as those that wait elsewhere do not take.
func (s *serviceWaiters) limit() {
	l := s.all.limits
	l.MaxWaiting -= s.all.total - s.queue.Len()
	s.queue.SetLimits(l)
}

// startTimer starts the timer for the time, unless it fires before. It never fires later than the first request in the queue can no
// longer be served in time.
func (s *serviceWaiters) startTimer(at time.Time) {
	if !s.timerAt.IsZero() && !at.Before(s.timerAt) {
		return
	}
	s.timerAt = at
	if s.timer == nil {
		s.timer = time.AfterFunc(time.Until(at), s.onTimer)
		return
	}
	s.timer.Reset(time.Until(at))
}

// resetTimer stops the timer if no request waits, and starts it otherwise.
func (s *serviceWaiters) resetTimer() {
	if s.queue.Len() > 0 {
		if s.timerAt.IsZero() {
			at, _ := s.queue.NextExpiry()
			s.startTimer(at)
		}
		return
	}
	s.timerAt = time.Time{}
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *serviceWaiters) onTimer() {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	s.timerAt = time.Time{}
	s.expire(time.Now())
	s.resetTimer()
}
