package background

import (
	"context"
	"time"
)

// Every calls f once per period until the context ends. A call that takes longer than a period delays the next one.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f(now)
		}
	}
}
