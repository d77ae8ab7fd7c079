package settings

import (
	"time"

	"savoryfall/core/placement"
	"savoryfall/core/tomldoc"
)

// Routing says how requests are placed on endpoints.
type Routing struct {
	policy      string
	bound       float64
	ticketKey   string
	probePeriod time.Duration
	newBound    float64
	maturity    time.Duration
}

func readRouting(t *tomldoc.Table) (r Routing) {
	r.policy = t.Choice("policy", "bounded", placement.Names()...)
	r.bound = t.Real("bound", 1.3, 1.01, 100)
	r.ticketKey = t.Text("ticketKeyFile", "")
	r.probePeriod = t.Duration("probePeriod", 1500*time.Millisecond, 20*time.Millisecond, time.Minute)
	r.newBound = t.Real("newBound", 1, 1, 100)
	r.maturity = t.Duration("maturity", time.Minute, 0, 24*time.Hour)
	return r
}

// Policy is the name of the placement policy.
func (r Routing) Policy() string { return r.policy }

// Bound is the multiple of the mean load that no endpoint is loaded beyond.
func (r Routing) Bound() float64 { return r.bound }

// TicketKey is the file of the secret that seals tickets; empty means no tickets.
func (r Routing) TicketKey() string { return r.ticketKey }

// ProbePeriod is how often an endpoint that is not heard otherwise is asked for its report.
func (r Routing) ProbePeriod() time.Duration { return r.probePeriod }

// NewBound is the bound for chats that are new, and lose nothing by going elsewhere.
func (r Routing) NewBound() float64 { return r.newBound }

// Maturity is how long returning chats pass an endpoint over that has just come.
func (r Routing) Maturity() time.Duration { return r.maturity }
