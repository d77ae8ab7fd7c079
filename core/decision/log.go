package decision

import (
	"sync"
	"time"

	"savoryfall/core/outcome"
)

// Log keeps the newest DefaultSize decisions. The zero value is ready to use.
type Log struct {
	mu        sync.Mutex
	byRequest map[string]*Decision
	order     []string
}

// DefaultSize is the number of decisions that a Log keeps.
const DefaultSize = 4096

// Decision records where a request was sent and why, and the result that its caller received.
type Decision struct {
	Request  string          `json:"request"`
	At       time.Time       `json:"at"`
	Account  string          `json:"account"`
	Pool     string          `json:"pool"`
	Key      string          `json:"key"`
	WaitedMs int64           `json:"waitedMs"`
	Attempts []Attempt       `json:"attempts"`
	Status   int             `json:"status"`
	Outcome  outcome.Outcome `json:"told"`
	Problem  string          `json:"problem,omitempty"`
}

// Attempt is one attempt of a request at an endpoint.
type Attempt struct {
	ID         string          `json:"id"`
	Endpoint   string          `json:"endpoint"`
	Reason     string          `json:"reason"`
	Requests   float64         `json:"requests"`
	Tokens     float64         `json:"tokens"`
	MeanTokens float64         `json:"meanTokens"`
	Usable     int             `json:"usable"`
	Members    int             `json:"members"`
	Ms         int64           `json:"ms"`
	Outcome    outcome.Outcome `json:"outcome"`
	Problem    string          `json:"problem,omitempty"`
	// NotConnected is set if no connection was established, so that the attempt caused no load on the endpoint.
	NotConnected bool `json:"unreached,omitempty"`
}

// Add records a decision and discards the oldest one if there are too many.
func (l *Log) Add(d *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRequest == nil {
		l.byRequest = map[string]*Decision{}
	}
	l.byRequest[d.Request] = d
	l.order = append(l.order, d.Request)
	if len(l.order) > DefaultSize {
		delete(l.byRequest, l.order[0])
		l.order = l.order[1:]
	}
}

// Find returns the decision on the request with the given id.
func (l *Log) Find(request string) (d *Decision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok = l.byRequest[request]
	return d, ok
}
