package dispatch

import (
	"slices"
	"time"
)

const (
	// initialPause is the first pause after an endpoint was silent or unreachable: as long as it took one request to
	// find that out.
	initialPause = 500 * time.Millisecond
	// maxPause bounds the pauses, which double: an endpoint that recovers has work again after at most this long. Lost
	// endpoints leave the directory within three heartbeats, about four seconds.
	maxPause = 2 * time.Second
)

// breaker is a circuit breaker that keeps requests from an endpoint that does not answer. A lost endpoint has no load,
// so without a breaker it looks like the best one of a busy service until the directory drops it, and each request
// sent to it loses half a second or is refused. After a pause, one request probes it. The zero value is closed and
// lets everything through.
type breaker struct {
	trips     int
	openUntil time.Time
	// probing is set while a request is probing whether the endpoint is back.
	probing bool
}

// isOpen reports whether the endpoint gets no requests now.
func (b *breaker) isOpen(now time.Time) bool { return now.Before(b.openUntil) }

// trip records that the endpoint did not answer. A request that was sent before the pause and fails during it is no
// new evidence.
func (b *breaker) trip(now time.Time) {
	if b.isOpen(now) && !b.probing {
		return
	}
	b.openUntil = now.Add(min(initialPause<<min(b.trips, 8), maxPause))
	b.trips++
	b.probing = false
}

// onSend records that a request is sent. Until the endpoint has answered again, one request at a time is enough to
// probe it.
func (b *breaker) onSend(now time.Time) {
	if b.trips > 0 {
		b.openUntil, b.probing = now.Add(maxPause), true
	}
}

// reset records that the endpoint answered.
func (b *breaker) reset() { *b = breaker{} }

// withoutSilent leaves out the endpoints whose breakers are open, unless all are: then this router itself is cut off,
// or no endpoint answers and sending to one costs nothing.
func withoutSilent(pool []*endpoint, now time.Time) (kept []*endpoint) {
	isSilent := func(e *endpoint) bool { return e.breaker.isOpen(now) }
	if !slices.ContainsFunc(pool, isSilent) {
		return pool
	}
	kept = slices.DeleteFunc(slices.Clone(pool), isSilent)
	if len(kept) == 0 {
		return pool
	}
	return kept
}
