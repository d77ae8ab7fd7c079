package answertimes

import (
	"sync"
	"time"
)

const (
	// period is how long answers are collected for before a new collection begins. The previous one still counts.
	period = time.Minute
	// minAnswers is how many answers must be known before they tell how long another one may take.
	minAnswers = 10
	// margin is the factor by which another answer may take longer than the longest known one.
	margin = 1.1
	// maxKinds bounds the kinds of requests for which answers are kept.
	maxKinds = 1024
)

// History keeps the longest answers by service and route. The zero value is empty. It may be used by several goroutines.
type History struct {
	mu    sync.Mutex
	kinds map[kind]*kindHistory
}

// kind is what answers of about the same length have in common.
type kind struct{ service, route string }

type kindHistory struct {
	current, previous collection
}

// collection are the answers of one period.
type collection struct {
	began   time.Time
	answers int
	longest time.Duration
}

// Observe records an answer that was complete after the given time, or a request that was given up without one.
func (h *History) Observe(service, route string, took time.Duration, complete bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.of(kind{service, route}, now)
	k.advance(now)
	k.current.longest = max(k.current.longest, took)
	if complete {
		k.current.answers++
	}
}

// Expect returns within which time another answer is expected. ok is false if too few were seen in the last one to two periods.
func (h *History) Expect(service, route string, now time.Time) (within time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.kinds[kind{service, route}]
	if k == nil {
		return 0, false
	}
	k.advance(now)
	if k.current.answers+k.previous.answers < minAnswers {
		return 0, false
	}
	return time.Duration(margin * float64(max(k.current.longest, k.previous.longest))), true
}

func (h *History) of(k kind, now time.Time) *kindHistory {
	if known := h.kinds[k]; known != nil {
		return known
	}
	if h.kinds == nil || len(h.kinds) >= maxKinds {
		h.kinds = map[kind]*kindHistory{}
	}
	created := &kindHistory{current: collection{began: now}}
	h.kinds[k] = created
	return created
}

// advance begins a new collection if the current one is complete, and forgets those that are too old.
func (k *kindHistory) advance(now time.Time) {
	age := now.Sub(k.current.began)
	switch {
	case age < period:
		return
	case age < 2*period:
		k.previous = k.current
	default:
		k.previous = collection{}
	}
	k.current = collection{began: now}
}
