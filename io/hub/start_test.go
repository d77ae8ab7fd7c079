package hub

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/board"
)

// leading is a topic that notes whether this router reads it for others.
type leading struct {
	unread
	leads *atomic.Bool
}

func (l leading) Lead(lead bool) { l.leads.Store(lead) }

// idle is a router that has nothing going on.
type idle struct{}

func (idle) Work(time.Time) (w board.Work)       { return w }
func (idle) Placed() []board.Read                { return nil }
func (idle) Others(_, _ board.Work, _ time.Time) {}
func (idle) Learn([]board.Read)                  {}

// All routers start together, and each has listed itself before it reads the list. Who leads reads the store all the time, so
// none may before it knows the others; one that cannot read the list must lead after all.
func TestStartingRouterDoesNotLeadBeforeItKnowsTheOthers(t *testing.T) {
	for _, listed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := made(t, "first")
			a, leads := s.agent, &atomic.Bool{}
			a.Configuration, a.Registry, a.Loads = leading{leads: leads}, leading{leads: &atomic.Bool{}}, idle{}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				a.run(ctx)
			}()
			time.Sleep(listWithin - time.Millisecond)
			assert.Assert(t, !leads.Load())
			if listed {
				close(a.entered)
				synctest.Wait()
				assert.Assert(t, leads.Load())
			}
			time.Sleep(2 * time.Millisecond)
			assert.Assert(t, leads.Load())
			cancel()
			<-ended
		})
	}
}
