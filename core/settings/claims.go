package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Claims bounds the promise that a call runs at most once.
type Claims struct {
	window time.Duration
	term   time.Duration
	count  int64
}

func readClaims(t *tomldoc.Table) (c Claims) {
	c.window = t.Duration("window", 12*time.Hour, time.Second, 1000*time.Hour)
	c.term = t.Duration("term", 5*time.Second, 10*time.Millisecond, time.Hour)
	c.count = t.Number("partitions", 16, 1, 1<<16)
	return c
}

// Window is how long a key is remembered.
func (c Claims) Window() time.Duration { return c.window }

// Term is how long after its append a claim may be acted on.
func (c Claims) Term() time.Duration { return c.term }

// Partitions is into how many streams the keys are split; it must be the same on all routers, for good.
func (c Claims) Partitions() int { return int(c.count) }
