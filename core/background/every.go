package background

import (
	"context"
	"time"
)

// Every calls the function once a period until the context ends; a call that takes longer than a period delays the next.
func Every(ctx context.Context, period time.Duration, do func(now time.Time)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			do(now)
		}
	}
}
