package hub

import (
	"context"
	"sync"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/members"
)

func hubChangeDelay(failed int) time.Duration {
	if failed == 0 {
		return 0
	}
	return min(firstHubChangeDelay<<min(failed-1, 8), maxHubChangeDelay)
}

// checkReachable dials routers concurrently to find out which of them can be reached. When many are lost together,
// waiting for one after the other would take longer than the maximum age of what is known.
func (a *Agent) checkReachable(ctx context.Context, routers []members.Member) {
	var checks sync.WaitGroup
	for _, m := range routers {
		checks.Go(func() {
			c, err := a.Network.Dial(ctx, m.Address)
			if err != nil {
				a.Members.MarkFailed(m.Name, time.Now())
				return
			}
			_ = c.Close()
			a.Members.MarkReached(m.Name)
		})
	}
	checks.Wait()
}

// recheckFailed checks, independently of the reports, whether hubs that did not respond can be reached again.
func (a *Agent) recheckFailed(ctx context.Context) {
	background.Every(ctx, recheckInterval, func(now time.Time) {
		a.checkReachable(ctx, a.Members.DueRetries(a.Self.Name, 1<<maxChecksLog2, now))
	})
}
