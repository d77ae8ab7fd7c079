package background

import (
	"context"
	"time"
)

// Sleep sleeps until d has passed, the context ends, or wake (unless nil) receives a value or is closed.
func Sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
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
