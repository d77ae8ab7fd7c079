package dispatch

import (
	"math/bits"

	"savoryfall/core/scatter"
)

const (
	// suspectRate is the share of failures from which on an endpoint counts as one that fails.
	suspectRate = 0.1
	// mostAvoided is how many times their even share the endpoints that do not fail may get because others do.
	mostAvoided = 1.5
)

// judgeFailures takes how often attempts fail at each endpoint, and which part of the prompts may keep away from those that fail.
// While few fail all do. When most fail, the others would be sent several times their share before any router sees them fill,
// beyond the users' bound: only as many prompts leave as the others can take.
func (c *contest) judgeFailures() {
	c.fails = make([]float64, len(c.pool))
	suspect := 0
	for i, e := range c.pool {
		c.fails[i] = e.failing(c.now)
		if c.fails[i] >= suspectRate {
			suspect++
		}
	}
	c.avoided = 1
	if suspect > 0 {
		c.avoided = min(1, (mostAvoided-1)*float64(len(c.pool)-suspect)/float64(suspect))
	}
}

// avoidance is the share of failures of an endpoint as it counts for this request. A request that was tried elsewhere before
// does not put up with another failure.
func (c *contest) avoidance(i int) float64 {
	if c.avoided == 1 || len(c.q.Tried) > 0 || len(c.q.Prompt) == 0 {
		return c.fails[i]
	}
	// Another hash than that of the rank, so that what moves is not what ranks first there.
	if fraction(scatter.Mix(bits.RotateLeft64(c.q.Prompt.Key(), 32))^c.pool[i].hash) < c.avoided {
		return c.fails[i]
	}
	return 0
}
