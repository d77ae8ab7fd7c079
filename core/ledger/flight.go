package ledger

import (
	"time"
)

// Flight is a request of our own that an endpoint holds.
type Flight struct {
	ledger *Ledger
	name   string
	tokens float64
	ended  bool
}

// Send books a request on an endpoint with the tokens that it is expected to cost.
func (l *Ledger) Send(name string, tokens float64) *Flight {
	f := &Flight{ledger: l, name: name, tokens: tokens}
	l.book(name, 1, tokens)
	return f
}

// Expect replaces the tokens that the request is expected to cost still.
func (f *Flight) Expect(tokens float64) {
	f.ledger.book(f.name, 0, tokens-f.tokens)
	f.tokens = tokens
}

// End takes the request off the books; a second call does nothing.
func (f *Flight) End() {
	if f.ended {
		return
	}
	f.ended = true
	f.ledger.book(f.name, -1, -f.tokens)
}

func (l *Ledger) book(name string, requests, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[name]
	if !ok {
		return
	}
	e := l.entries[i]
	e.requests = max(e.requests+requests, 0)
	e.tokens = max(e.tokens+tokens, 0)
	if requests != 0 {
		e.record(requests, time.Now())
	}
	l.refresh(i)
}
