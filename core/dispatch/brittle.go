package dispatch

import "time"

const (
	// freelyUsedShare is the share of a brittle engine's slots up to which every router may use it, whatever its part of
	// the slots: up to there, what the other routers send before they are heard of still finds a slot. Calls of plain
	// endpoints end before anything is heard of them, so that for them it is freelyUsedByCalls.
	freelyUsedShare   = 0.35
	freelyUsedByCalls = 0.25
	// brittleTimeout is how long after the last answer that said so a service is no longer brittle, once answers say
	// nothing of it. Answers on different connections overtake each other.
	brittleTimeout = time.Second
	// refusedPause is how long a brittle endpoint that had no capacity for a request gets no further ones.
	refusedPause = time.Second
)

// RecordBrittle records whether an answer said that the endpoint falls over if it has to turn away too many requests in a
// second. It holds for the service.
func (a *Attempt) RecordBrittle(brittle bool, now time.Time) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	switch {
	case brittle:
		a.d.brittleAt[a.q.Service] = now
	case now.Sub(a.d.brittleAt[a.q.Service]) > brittleTimeout:
		delete(a.d.brittleAt, a.q.Service)
	}
}

func (d *Dispatcher) isBrittle(service string) bool {
	_, brittle := d.brittleAt[service]
	return brittle
}

// brittleLimitReached reports whether a request to a brittle endpoint might find no slot there. Routers learn some hundred
// milliseconds late what the others send, and by then an endpoint that all of them saw empty has fallen over. So each
// keeps to its part of the slots once a share of them is taken, by what was heard or by what it sends itself. Beyond its part it
// may use slots that the others do not, as far as these will not send as many before they are heard of.
func (c *scoring) brittleLimitReached(i int) bool {
	e := c.pool[i]
	if !c.brittle {
		return false
	}
	if c.now.Sub(e.refusedAt) < refusedPause {
		return true
	}
	slots := c.capacity(e)
	free := freelyUsedByCalls
	if c.engine {
		free = freelyUsedShare
	}
	if slots == 0 || max(c.loads[i], c.projectedLoad) < free*float64(slots) {
		return false
	}
	if e.running < c.d.fleet.Share(e.hash, slots) {
		return false
	}
	others, known := c.othersHold()
	return !known || float64(e.running+1)+e.currentOthers(c.now)+others > float64(slots)
}

// projectLoad sets the mean load of an endpoint if all routers have as many requests at the service as this one.
func (c *scoring) projectLoad() {
	own := 0
	for _, e := range c.pool {
		own += e.running
	}
	c.projectedLoad = float64(own*c.d.fleet.Size()) / float64(max(len(c.pool), 1))
}
