package background

import (
	"context"
	"time"
)

// Pause waits until the time is over, the context ends or, where wake is given, something comes on it.
func Pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
