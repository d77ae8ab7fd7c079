package dispatch

import (
	"math/bits"

	"savoryfall/core/hashmix"
)

const (
	// suspectFailureRate is the failure rate from which an endpoint counts as failing.
	suspectFailureRate = 0.1
	// maxShareOfOthers is how many times their even share the healthy endpoints may get because others fail.
	maxShareOfOthers = 1.5
)

// computeFailureRates computes the failure rate of each endpoint, and the share of prompts that may avoid the failing
// ones. While few endpoints fail, all prompts do. When most fail, the others would be sent several times their share,
// beyond the users' bound on load, before any router sees them fill: only as many prompts move as the others can take.
func (c *scoring) computeFailureRates() {
	c.failureRates = make([]float64, len(c.pool))
	failing := 0
	for i, e := range c.pool {
		c.failureRates[i] = e.failureRate(c.now)
		if c.failureRates[i] >= suspectFailureRate {
			failing++
		}
	}
	c.avoidingShare = 1
	if failing > 0 {
		c.avoidingShare = min(1, (maxShareOfOthers-1)*float64(len(c.pool)-failing)/float64(failing))
	}
}

// effectiveFailureRate returns the failure rate of an endpoint as it counts for this request. A retry always avoids
// failing endpoints.
func (c *scoring) effectiveFailureRate(i int) float64 {
	if c.avoidingShare == 1 || len(c.q.Tried) > 0 || len(c.q.Prompt) == 0 {
		return c.failureRates[i]
	}
	// This hash differs from that of the rank, so that the prompts which move are not chosen by where they rank first.
	if unitFraction(hashmix.Mix(bits.RotateLeft64(c.q.Prompt.RoutingKey(), 32))^c.pool[i].hash) < c.avoidingShare {
		return c.failureRates[i]
	}
	return 0
}
