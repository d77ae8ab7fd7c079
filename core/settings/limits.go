package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Limits holds the section limits: concurrency, queue length, timeouts and retries.
type Limits struct {
	deadline      time.Duration
	firstToken    time.Duration
	betweenTokens time.Duration
	attempts      int64
	retryRatio    float64
	concurrency   int64
	queue         int64
	drain         time.Duration
}

func readLimits(t *tomldoc.Table) (l Limits) {
	l.deadline = t.Duration("deadline", 5*time.Minute, 10*time.Millisecond, 24*time.Hour)
	l.firstToken = t.Duration("firstToken", 30*time.Second, 10*time.Millisecond, time.Hour)
	l.betweenTokens = t.Duration("betweenTokens", 10*time.Second, 10*time.Millisecond, time.Hour)
	l.attempts = t.Int("attempts", 3, 1, 10)
	l.retryRatio = t.Float("retryRatio", 0.2, 0, 1)
	l.concurrency = t.Int("requestsPerEndpoint", 64, 1, 100000)
	l.queue = t.Int("queue", 1000, 0, 1000000)
	l.drain = t.Duration("drain", 2*time.Minute, 0, time.Hour)
	return l
}

// Deadline returns the time limit of a request. It is the default for callers that set none, and the maximum for those
// that do.
func (l Limits) Deadline() time.Duration { return l.deadline }

// FirstToken returns how long an attempt may take until the response starts.
func (l Limits) FirstToken() time.Duration { return l.firstToken }

// BetweenTokens returns how long a stream may be silent before it is considered broken.
func (l Limits) BetweenTokens() time.Duration { return l.betweenTokens }

// Attempts returns the maximum number of attempts per request.
func (l Limits) Attempts() int { return int(l.attempts) }

// RetryRatio returns the number of retries allowed per first attempt.
func (l Limits) RetryRatio() float64 { return l.retryRatio }

// RequestsPerEndpoint returns the maximum number of concurrent requests at an endpoint of weight 1.
func (l Limits) RequestsPerEndpoint() int { return int(l.concurrency) }

// QueueLength returns the maximum number of requests queued in this router.
func (l Limits) QueueLength() int { return int(l.queue) }

// DrainTimeout returns how long a planned shutdown waits for requests in flight.
func (l Limits) DrainTimeout() time.Duration { return l.drain }
