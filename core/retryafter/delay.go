package retryafter

import "time"

const (
	// minDelay is the shortest delay: the time of some plain calls, or of some steps of streams.
	minDelay = 200 * time.Millisecond
	// goalFraction is the part of the latency goal that a client may spend on waiting before one retry: what is left
	// is enough to serve it on time.
	goalFraction = 0.5
	// maxLeftFraction bounds the delay as a part of the client's remaining time. The request must still be served
	// after it.
	maxLeftFraction = 1.0 / 3
	// jitter is how far a delay may be from its mean, as a part of it: clients that were refused together would
	// otherwise retry together.
	jitter = 0.25
)

// Delay returns the delay after which to retry at a service that has been full for the given time. How long an
// overload will still last is not known; the best estimate is as long as it has lasted. Clients try only a few times, so
// a client that retries during the same overload often has no attempt left. Early in an overload the delay is short
// enough to serve the client on time, in case the overload is short. draw is a uniform random number in [0, 1).
func Delay(full, goal, left time.Duration, draw float64) time.Duration {
	delay := max(full, time.Duration(goalFraction*float64(goal)), minDelay)
	delay = time.Duration(float64(delay) * (1 - jitter + 2*jitter*draw))
	return max(min(delay, time.Duration(maxLeftFraction*float64(left))), 0)
}
