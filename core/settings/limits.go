package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Limits bounds what the fleet takes on and how long it tries.
type Limits struct {
	deadline    time.Duration
	firstToken  time.Duration
	betweenGap  time.Duration
	attempts    int64
	retryRatio  float64
	concurrency int64
	queue       int64
	drain       time.Duration
}

func readLimits(t *tomldoc.Table) (l Limits) {
	l.deadline = t.Duration("deadline", 5*time.Minute, 10*time.Millisecond, 24*time.Hour)
	l.firstToken = t.Duration("firstToken", 30*time.Second, 10*time.Millisecond, time.Hour)
	l.betweenGap = t.Duration("betweenTokens", 10*time.Second, 10*time.Millisecond, time.Hour)
	l.attempts = t.Number("attempts", 3, 1, 10)
	l.retryRatio = t.Real("retryRatio", 0.2, 0, 1)
	l.concurrency = t.Number("requestsPerEndpoint", 64, 1, 100000)
	l.queue = t.Number("queue", 1000, 0, 1000000)
	l.drain = t.Duration("drain", 2*time.Minute, 0, time.Hour)
	return l
}

// Deadline is how long a request may take when its caller does not say.
func (l Limits) Deadline() time.Duration { return l.deadline }

// FirstToken is how long an attempt may take until the answer begins.
func (l Limits) FirstToken() time.Duration { return l.firstToken }

// BetweenTokens is how long a stream may be silent before it counts as cut.
func (l Limits) BetweenTokens() time.Duration { return l.betweenGap }

// Attempts bounds the attempts for one request.
func (l Limits) Attempts() int { return int(l.attempts) }

// RetryRatio is how many retries there may be for each first attempt.
func (l Limits) RetryRatio() float64 { return l.retryRatio }

// Concurrency is how many requests one endpoint of weight one may hold.
func (l Limits) Concurrency() int { return int(l.concurrency) }

// Queue is how many requests may wait in this router.
func (l Limits) Queue() int { return int(l.queue) }

// Drain bounds how long a planned stop waits for requests in flight.
func (l Limits) Drain() time.Duration { return l.drain }
