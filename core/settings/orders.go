package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Orders bounds the orders that this router gives to engines.
type Orders struct {
	term    time.Duration
	longest time.Duration
	period  time.Duration
	loads   float64
}

func readOrders(t *tomldoc.Table) (o Orders) {
	o.term = t.Duration("leaseTerm", 10*time.Second, 100*time.Millisecond, time.Hour)
	o.longest = t.Duration("longestOrder", 2*time.Second, 10*time.Millisecond, time.Hour)
	o.period = t.Duration("period", 2*time.Second, 10*time.Millisecond, time.Hour)
	o.loads = t.Real("loadsPerSecond", 2, 0.01, 1000)
	if o.longest*3 > o.term {
		t.Fault("longestOrder", o.longest.String(), "at most a third of orders.leaseTerm")
	}
	return o
}

// Term is how long a lease to give orders lasts without renewal.
func (o Orders) Term() time.Duration { return o.term }

// Longest bounds the time of one order.
func (o Orders) Longest() time.Duration { return o.longest }

// Period is how often reported and wanted state are compared.
func (o Orders) Period() time.Duration { return o.period }

// Loads is how many loads a second the weight store bears.
func (o Orders) Loads() float64 { return o.loads }
