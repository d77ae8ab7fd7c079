package dispatch

import "time"

const (
	// defaultEvents is the expected number of events of a stream until one is learned.
	defaultEvents = 20.0
	// defaultTokensPerEvent is the number of tokens of an event until hints have shown it.
	defaultTokensPerEvent = 8.0
)

// expectedEvents returns how many events the answer to the request is expected to have.
func (d *Dispatcher) expectedEvents(q Query) float64 {
	if events := d.lengths.Predict(q.Kind, q.LengthHint); events > 0 {
		return events
	}
	return defaultEvents
}

// expectedOutputTokens returns how many tokens the answer to the request is expected to have.
func (d *Dispatcher) expectedOutputTokens(q Query) float64 {
	tokens := d.lengths.TokensPerEvent()
	if tokens == 0 {
		tokens = defaultTokensPerEvent
	}
	return tokens * d.expectedEvents(q)
}

// RecordOutput records how many events the complete answer to a request has had.
func (d *Dispatcher) RecordOutput(q Query, events int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.overloadControl(q.Service, now) {
		d.lengths.Observe(q.Kind, q.LengthHint, events)
	}
}

// holdTokens counts the prompt and the expected output in the endpoint's memory.
func (a *Attempt) holdTokens(now time.Time) {
	if a.d.overloadControl(a.q.Service, now) {
		a.heldTokens = a.q.Prompt.Tokens() + int(a.d.expectedOutputTokens(a.q))
		a.e.state.heldTokens += a.heldTokens
	}
}

func (a *Attempt) releaseTokens() {
	a.e.state.heldTokens -= a.heldTokens
	a.heldTokens = 0
}
