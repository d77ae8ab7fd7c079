package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/health"
)

// A router starts while the VM list still shows the mark of an engine that has been replaced. It must learn from a peer
// that the mark isn't the successor's, whichever of the two calls the other.
func TestStartingRouterLearnsListedIncarnation(t *testing.T) {
	const engine = "engine-01"
	for _, caller := range []string{"running", "starting"} {
		t.Run(caller+" calls", func(t *testing.T) {
			agents := map[string]*Agent{"running": newAgent(t, "running", nil, nil), "starting": newAgent(t, "starting", nil, nil)}
			for name, a := range agents {
				a.Health.Configure([]string{engine})
				for other, b := range agents {
					if other != name {
						setMembers(a, map[string]string{other: b.Address()})
					}
				}
			}
			now := time.Now()
			running, starting := agents["running"].Health, agents["starting"].Health
			running.RecordAnswer(engine, "one", false, now)
			running.Listed(engine, true)
			running.RecordAnswer(engine, "two", false, now.Add(time.Second))
			starting.Listed(engine, true)
			starting.RecordAnswer(engine, "two", false, now.Add(time.Second))
			assert.Equal(t, starting.State(engine, now), health.Leaving)
			for range 2 {
				agents[caller].exchangeAll(t.Context(), agents[caller].peers())
			}
			assert.Equal(t, starting.State(engine, now), health.Up)
			assert.Equal(t, running.State(engine, now), health.Up)
		})
	}
}
