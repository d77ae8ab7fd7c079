package hub

import (
	"context"
	"sync"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/members"
)

func hopPause(failed int) time.Duration {
	if failed == 0 {
		return 0
	}
	return min(hopFirst<<min(failed-1, 8), hopMost)
}

// look finds out which of some routers can be reached: to wait for one after the other, when many were lost together, would
// take longer than what is known may be old.
func (a *Agent) look(ctx context.Context, routers []members.Member) {
	var looks sync.WaitGroup
	for _, m := range routers {
		looks.Go(func() {
			c, err := a.Network.Dial(ctx, m.Address)
			if err != nil {
				a.Members.Failed(m.Name, time.Now())
				return
			}
			_ = c.Close()
			a.Members.Reached(m.Name)
		})
	}
	looks.Wait()
}

// retry looks, beside the reports, whether hubs that did not answer can be reached again.
func (a *Agent) retry(ctx context.Context) {
	background.Every(ctx, retryEvery, func(now time.Time) {
		a.look(ctx, a.Members.Retry(a.Self.Name, 1<<mostLooks, now))
	})
}
