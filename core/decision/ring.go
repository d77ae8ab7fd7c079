package decision

import (
	"sync"
	"time"

	"savoryfall/core/outcome"
)

// Ring keeps the latest decisions up to a bound; the zero value keeps DefaultSize.
type Ring struct {
	mu    sync.Mutex
	by    map[string]*Decision
	order []string
}

// DefaultSize is how many decisions are kept.
const DefaultSize = 4096

// Decision is one request, where it went and why, and what its caller was told.
type Decision struct {
	Request  string          `json:"request"`
	At       time.Time       `json:"at"`
	Account  string          `json:"account"`
	Pool     string          `json:"pool"`
	Key      string          `json:"key"`
	WaitedMs int64           `json:"waitedMs"`
	Attempts []Attempt       `json:"attempts"`
	Status   int             `json:"status"`
	Told     outcome.Outcome `json:"told"`
	Problem  string          `json:"problem,omitempty"`
}

// Attempt is one try at one endpoint.
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
	// Unreached tells that no connection was made, so that the attempt put no load on anybody.
	Unreached bool `json:"unreached,omitempty"`
}

// Add keeps a decision and forgets the oldest when there are too many.
func (r *Ring) Add(d *Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string]*Decision{}
	}
	r.by[d.Request] = d
	r.order = append(r.order, d.Request)
	if len(r.order) > DefaultSize {
		delete(r.by, r.order[0])
		r.order = r.order[1:]
	}
}

// Find returns the decision on the request of that id.
func (r *Ring) Find(request string) (d *Decision, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok = r.by[request]
	return d, ok
}
