package ledger

import (
	"time"
)

// InFlight is a request of this router that is in progress on an endpoint.
type InFlight struct {
	ledger *Ledger
	name   string
	tokens float64
	ended  bool
}

// StartRequest records a request sent to an endpoint, with its expected cost in tokens.
func (l *Ledger) StartRequest(name string, tokens float64) *InFlight {
	f := &InFlight{ledger: l, name: name, tokens: tokens}
	l.adjustOwn(name, 1, tokens)
	return f
}

// SetExpectedTokens replaces the expected remaining cost in tokens.
func (f *InFlight) SetExpectedTokens(tokens float64) {
	f.ledger.adjustOwn(f.name, 0, tokens-f.tokens)
	f.tokens = tokens
}

// End removes the request from the load of the endpoint; further calls do nothing.
func (f *InFlight) End() {
	if f.ended {
		return
	}
	f.ended = true
	f.ledger.adjustOwn(f.name, -1, -f.tokens)
}

func (l *Ledger) adjustOwn(name string, requests, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.indexByName[name]
	if !ok {
		return
	}
	e := l.loads[i]
	e.requests = max(e.requests+requests, 0)
	e.tokens = max(e.tokens+tokens, 0)
	if requests != 0 {
		e.recordChange(requests, time.Now())
	}
	l.recompute(i)
}
