package dispatch

// queueFactor is how many times its slots a plain endpoint may be given before requests are refused: a request that
// waits for more than one turn is late.
const queueFactor = 2

// capacity returns how many requests an endpoint may be given, 0 if unknown. A brittle endpoint may let none wait.
func (c *scoring) capacity(e *endpoint) int {
	slots := e.entry.Slots
	if slots == 0 {
		slots = c.slots
	}
	switch {
	case c.engine || c.brittle:
		return slots
	case c.view != nil:
		return c.timelyCapacity(e, slots)
	}
	return slots * queueFactor
}

// timelyCapacity returns how many requests a plain endpoint may be given so that the last of them waits for no more than a share of
// its latency target.
func (c *scoring) timelyCapacity(e *endpoint, slots int) int {
	return int(float64(slots) * c.timelyFactor(e.slowdown(c.now)))
}

// timelyFactor returns how many times its slots a plain endpoint may be given.
func (c *scoring) timelyFactor(slowdown float64) float64 {
	if c.q.LatencyTarget <= 0 {
		return queueFactor
	}
	turns := 1 + maxWaitShare*float64(c.q.LatencyTarget)/(float64(c.d.plainTime(c.q.Service))*slowdown)
	return min(max(turns, 1), maxPlainFactor)
}

// maxWaitMs is the longest backlog of prompts, in milliseconds of reading, with which an engine is given another one:
// a quarter of the usual latency goal. An engine can have free slots and no time left: a request that waits longer is
// late, and delays the events of all streams on the engine. With 400 ms, a third more attempts ended by their deadline
// in surges of 3.5 and 12 times the usual load.
const maxWaitMs = 200.0

// saturated reports whether an endpoint cannot take the request without making it wait long.
func (c *scoring) saturated(e *endpoint) bool {
	capacity := c.capacity(e)
	return capacity > 0 && c.confirmedLoad(e) >= float64(capacity) || c.waitMs(e) > maxWaitMs
}

// full reports whether an endpoint of the pool cannot take the request now.
func (c *scoring) full(e *endpoint) bool {
	if c.view != nil {
		return !c.feasible(c.index(e))
	}
	return c.saturated(e)
}

// waitMs returns how many milliseconds of prompts the endpoint has to read before it begins with another one.
func (c *scoring) waitMs(e *endpoint) float64 { return float64(e.backlog(c.now)) / c.d.prefill.perMs() }
