package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Orders holds the section orders: the limits on orders from this router to engines.
type Orders struct {
	term           time.Duration
	longestOrder   time.Duration
	period         time.Duration
	loadsPerSecond float64
}

func readOrders(t *tomldoc.Table) (o Orders) {
	o.term = t.Duration("leaseTerm", 10*time.Second, 100*time.Millisecond, time.Hour)
	o.longestOrder = t.Duration("longestOrder", 2*time.Second, 10*time.Millisecond, time.Hour)
	o.period = t.Duration("period", 2*time.Second, 10*time.Millisecond, time.Hour)
	o.loadsPerSecond = t.Float("loadsPerSecond", 2, 0.01, 1000)
	if o.longestOrder*3 > o.term {
		t.AddError("longestOrder", o.longestOrder.String(), "at most a third of orders.leaseTerm")
	}
	return o
}

// LeaseTerm returns the duration of a lease on giving orders, unless it is renewed.
func (o Orders) LeaseTerm() time.Duration { return o.term }

// MaxAction returns the time limit of one order.
func (o Orders) MaxAction() time.Duration { return o.longestOrder }

// Period returns the interval at which the reported and the wanted state are compared.
func (o Orders) Period() time.Duration { return o.period }

// LoadsPerSecond returns the number of loads per second that the weight store sustains.
func (o Orders) LoadsPerSecond() float64 { return o.loadsPerSecond }
