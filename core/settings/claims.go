package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Claims holds the section claims: the limits within which a non-repeatable call is guaranteed to run at most once.
type Claims struct {
	window     time.Duration
	term       time.Duration
	partitions int64
}

func readClaims(t *tomldoc.Table) (c Claims) {
	c.window = t.Duration("window", 12*time.Hour, time.Second, 1000*time.Hour)
	c.term = t.Duration("term", 5*time.Second, 10*time.Millisecond, time.Hour)
	c.partitions = t.Int("partitions", 16, 1, 1<<16)
	return c
}

// KeyRetention returns how long an idempotency key is remembered.
func (c Claims) KeyRetention() time.Duration { return c.window }

// Validity returns how long a claim is valid after it was appended to the log.
func (c Claims) Validity() time.Duration { return c.term }

// Partitions returns the number of streams that the keys are distributed over. It must be the same on all routers and
// must never change.
func (c Claims) Partitions() int { return int(c.partitions) }
