package entry

import (
	"math"
	"sync"
	"time"
)

const (
	// retryingFraction is the part of the longest time that a route's requests state below which a client has tried before: first
	// attempts state at least 0.85 of it.
	retryingFraction = 0.8
	// statedHalfLife is the half-life of the longest stated time, so that clients which give up earlier than before are told from
	// retries again after some time.
	statedHalfLife = 30 * time.Second
	// maxStatedRoutes bounds the routes for which the longest stated time is kept.
	maxStatedRoutes = 1024
)

// statedTimes keeps the longest time that the requests of each route lately stated their clients wait.
type statedTimes struct {
	mu      sync.Mutex
	byRoute map[string]statedTime
}

type statedTime struct {
	longest time.Duration
	at      time.Time
}

func (t statedTime) now(now time.Time) time.Duration {
	return time.Duration(float64(t.longest) * math.Exp2(-float64(now.Sub(t.at))/float64(statedHalfLife)))
}

// observe records the time that a request states, and returns the longest of its route, itself included.
func (s *statedTimes) observe(route string, stated time.Duration, now time.Time) (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, known := s.byRoute[route]
	longest = t.now(now)
	if stated <= longest {
		return longest
	}
	if s.byRoute == nil {
		s.byRoute = map[string]statedTime{}
	}
	if !known && len(s.byRoute) >= maxStatedRoutes {
		s.dropOldest()
	}
	s.byRoute[route] = statedTime{longest: stated, at: now}
	return stated
}

func (s *statedTimes) dropOldest() {
	oldest, at := "", time.Time{}
	for route, t := range s.byRoute {
		if at.IsZero() || t.at.Before(at) {
			oldest, at = route, t.at
		}
	}
	delete(s.byRoute, oldest)
}

// retrying reports whether the client has tried the request before, as far as the time that it has left tells.
func (x *exchange) retrying() bool {
	if x.request.Timeout <= 0 {
		return false
	}
	stated := x.timeout()
	return float64(stated) < retryingFraction*float64(x.handler.stated.observe(x.route.Name, stated, x.began))
}

// recognizedAfter returns how long the client must wait for its next attempt to be recognized as one that retries.
func (x *exchange) recognizedAfter(now time.Time) time.Duration {
	if x.request.Timeout <= 0 {
		return 0
	}
	longest := x.handler.stated.observe(x.route.Name, x.timeout(), x.began)
	return x.deadline.Sub(now) - time.Duration(retryingFraction*float64(longest))
}
