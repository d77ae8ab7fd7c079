package settings

import (
	"time"

	"savoryfall/core/placement"
	"savoryfall/core/tomldoc"
)

// Routing holds the section routing: how requests are placed on endpoints.
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
	r.bound = t.Float("bound", 1.3, 1.01, 100)
	r.ticketKey = t.String("ticketKeyFile", "")
	r.probePeriod = t.Duration("probePeriod", 1500*time.Millisecond, 20*time.Millisecond, time.Minute)
	r.newBound = t.Float("newBound", 1, 1, 100)
	r.maturity = t.Duration("maturity", time.Minute, 0, 24*time.Hour)
	return r
}

// Policy returns the name of the placement policy.
func (r Routing) Policy() string { return r.policy }

// Bound returns the maximum load of an endpoint as a multiple of the mean load.
func (r Routing) Bound() float64 { return r.bound }

// TicketKeyFile returns the file of the secret that authenticates tickets; empty disables tickets.
func (r Routing) TicketKeyFile() string { return r.ticketKey }

// ProbePeriod returns the interval at which an endpoint is probed for its report, unless one has arrived otherwise.
func (r Routing) ProbePeriod() time.Duration { return r.probePeriod }

// NewBound returns the bound for new chats. It is separate from Bound because a new chat has no cached prefix to lose
// by being placed on another endpoint.
func (r Routing) NewBound() float64 { return r.newBound }

// Maturity returns how long a newly added endpoint is skipped when returning chats are placed.
func (r Routing) Maturity() time.Duration { return r.maturity }
