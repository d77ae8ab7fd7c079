package waitqueue

import (
	"math"
	"slices"
	"time"
)

// Limits bound a queue.
type Limits struct {
	// MaxWait is how long a request may wait, and MaxWaiting how many may wait. With either at 0 none may.
	MaxWait    time.Duration
	MaxWaiting int
}

// Queue holds the requests that wait for a place at one service. It is not safe for concurrent use. The zero value admits none
// until limits are set.
type Queue struct {
	limits Limits
	// entries are sorted, the first in order at the end, and byID has them by their IDs.
	entries  []*Entry
	byID     map[uint64]*Entry
	sequence uint64
	// dropped are the entries that were removed and that Expire has not returned yet.
	dropped []Entry
	// freed counts the places that have become free, decayed to freedAt.
	freed   float64
	freedAt time.Time
	// usualStarts has the mean times from the start of a request to its first event, by kind of request.
	usualStarts map[string]time.Duration
}

const (
	// freedHalfLife is the half-life of places in the rate. It is of the order of the longest useful wait: a service that stalls
	// is noticed while those that wait can still be told in time.
	freedHalfLife = 500 * time.Millisecond
	// stayFactor is how many times as many places as lately must suffice for a waiting request to stay. The rate of a few places
	// varies by about this factor; without it, requests would join and be dropped in turn.
	stayFactor = 2
	// startWeight is the weight of a new time in the mean of the times to the first event.
	startWeight = 1.0 / 16
	// maxKinds bounds the kinds of requests whose times are known. Kinds have the names of routes, which configurations change.
	maxKinds = 256
)

// SetLimits replaces the limits. They apply also to the requests that wait.
func (q *Queue) SetLimits(l Limits) { q.limits = l }

// RecordFree records that places at the service have become free.
func (q *Queue) RecordFree(places int, now time.Time) {
	q.decayTo(now)
	q.freed += float64(places)
}

func (q *Queue) decayTo(now time.Time) {
	if elapsed := now.Sub(q.freedAt); elapsed > 0 {
		q.freed *= math.Exp2(-float64(elapsed) / float64(freedHalfLife))
		q.freedAt = now
	}
}

// placesWithin returns how many places are expected to become free within the duration.
func (q *Queue) placesWithin(d time.Duration) float64 {
	return q.freed * math.Ln2 * float64(d) / float64(freedHalfLife)
}

// RecordStart records the time from the start of a request of the kind to its first event.
func (q *Queue) RecordStart(kind string, took time.Duration) {
	mean, known := q.usualStarts[kind]
	switch {
	case known:
		took = mean + time.Duration(startWeight*float64(took-mean))
	case q.usualStarts == nil || len(q.usualStarts) >= maxKinds:
		q.usualStarts = map[string]time.Duration{}
	}
	q.usualStarts[kind] = took
}

// UsualStart returns the mean time from the start of a request of the kind to its first event, 0 if none is known.
func (q *Queue) UsualStart(kind string) time.Duration { return q.usualStarts[kind] }

// Push adds a request, unless so few places have become free lately that it cannot expect one in time, behind those ordered
// before it. If the queue is full, a request that is ordered behind gives way, which Expire returns.
func (q *Queue) Push(e Entry, now time.Time) (joined bool) {
	e.joined, e.sequence = now, q.sequence+1
	ahead := q.ahead(&e)
	q.decayTo(now)
	if ahead >= q.limits.MaxWaiting || float64(ahead+1) > q.placesWithin(q.until(&e).Sub(now)) {
		return false
	}
	q.sequence++
	q.insert(&e)
	return true
}

// Return puts back a request that Pop has returned and that could not use the place. It keeps its position.
func (q *Queue) Return(e Entry) { q.insert(&e) }

func (q *Queue) insert(e *Entry) {
	if q.byID == nil {
		q.byID = map[uint64]*Entry{}
	}
	q.byID[e.ID] = e
	q.entries = slices.Insert(q.entries, q.position(e), e)
}

// position returns the index of the entry in entries, or the one that it would get.
func (q *Queue) position(e *Entry) int {
	i, _ := slices.BinarySearchFunc(q.entries, e, func(a, b *Entry) int { return b.compare(a) })
	return i
}

// ahead returns how many requests are ordered before the entry.
func (q *Queue) ahead(e *Entry) int { return len(q.entries) - q.position(e) }

// Until returns until when the request may wait.
func (q *Queue) Until(e Entry) time.Time { return q.until(&e) }

func (q *Queue) until(e *Entry) time.Time {
	until := e.joined.Add(q.limits.MaxWait)
	if !e.StartBy.IsZero() && e.StartBy.Before(until) {
		return e.StartBy
	}
	return until
}

func (q *Queue) expired(e *Entry, now time.Time) bool { return !q.until(e).After(now) }

// Pop removes and returns the first request that can still be served in time. Expire returns those that it passed over.
func (q *Queue) Pop(now time.Time) (e Entry, ok bool) {
	for len(q.entries) > 0 {
		first := q.entries[len(q.entries)-1]
		q.removeAt(len(q.entries) - 1)
		if !q.expired(first, now) {
			return *first, true
		}
		q.dropped = append(q.dropped, *first)
	}
	return Entry{}, false
}

// Expire removes and returns the requests that can no longer be served in time, that exceed the limits, or that cannot expect a
// place any more because others are ordered before them.
func (q *Queue) Expire(now time.Time) (list []Entry) {
	list, q.dropped = q.dropped, nil
	q.decayTo(now)
	ahead := 0
	for i := len(q.entries) - 1; i >= 0; i-- {
		if e := q.entries[i]; q.expired(e, now) || !q.mayStay(e, ahead, now) {
			list = append(list, *e)
			q.entries[i] = nil
			delete(q.byID, e.ID)
			continue
		}
		ahead++
	}
	q.entries = slices.DeleteFunc(q.entries, func(e *Entry) bool { return e == nil })
	return list
}

// mayStay reports whether a waiting request may go on waiting behind the given number of others.
func (q *Queue) mayStay(e *Entry, ahead int, now time.Time) bool {
	return ahead < q.limits.MaxWaiting && float64(ahead) <= stayFactor*q.placesWithin(q.until(e).Sub(now))
}

// NextExpiry returns when the next request can no longer be served in time. ok is false if none waits.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	for _, e := range q.entries {
		if until := q.until(e); !ok || until.Before(at) {
			at, ok = until, true
		}
	}
	return at, ok
}

// Remove removes the request and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	e := q.byID[id]
	if e == nil {
		return false
	}
	q.removeAt(q.position(e))
	return true
}

func (q *Queue) removeAt(i int) {
	delete(q.byID, q.entries[i].ID)
	q.entries = slices.Delete(q.entries, i, i+1)
}

// Clear removes and returns all requests.
func (q *Queue) Clear() (list []Entry) {
	for i := len(q.entries) - 1; i >= 0; i-- {
		list = append(list, *q.entries[i])
	}
	list = append(list, q.dropped...)
	q.entries, q.byID, q.dropped = nil, nil, nil
	return list
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.entries) }
