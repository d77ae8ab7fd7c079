package hub

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetload"
)

// leadTopic is a topic reader that records whether this router reads for others.
type leadTopic struct {
	unreadTopic
	reads *atomic.Bool
}

func (l leadTopic) SetLeader(leader bool) { l.reads.Store(leader) }

// idleLoads is the load of a router without requests.
type idleLoads struct{}

func (idleLoads) OwnWorkload(time.Time) (w fleetload.Workload)          { return w }
func (idleLoads) TakeReads() []fleetload.PrefixRead                     { return nil }
func (idleLoads) SetFleetWorkload(_, _ fleetload.Workload, _ time.Time) {}
func (idleLoads) RecordReads([]fleetload.PrefixRead)                    {}

// Routers that start together add themselves to the list before they read it. A root polls the store all the time, so
// no router may act as root before it knows the others; one that cannot read the list must do so eventually.
func TestStartingRouterWaitsForTheRouterList(t *testing.T) {
	for _, listed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newTestHub(t, "first")
			a, reads := s.agent, &atomic.Bool{}
			a.Configuration, a.Registry, a.Loads = leadTopic{reads: reads}, leadTopic{reads: &atomic.Bool{}}, idleLoads{}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				a.run(ctx)
			}()
			time.Sleep(listLoadTimeout - time.Millisecond)
			assert.Assert(t, !reads.Load())
			if listed {
				close(a.listLoaded)
				synctest.Wait()
				assert.Assert(t, reads.Load())
			}
			time.Sleep(2 * time.Millisecond)
			assert.Assert(t, reads.Load())
			cancel()
			<-ended
		})
	}
}
