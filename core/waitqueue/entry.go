package waitqueue

import (
	"cmp"
	"time"
)

// Entry is a request that waits.
type Entry struct {
	// ID tells the entries of a queue apart.
	ID uint64
	// Rank is the request's priority, 0 for the most urgent.
	Rank int
	// Deficit is how far the request's account is under its fair share, from 0 to 1.
	Deficit float64
	// Retrying is set if the client has tried the request before.
	Retrying bool
	// StartBy is the point at which the request must start to be served in time, zero if only MaxWait limits the wait.
	StartBy time.Time

	joined   time.Time
	sequence uint64
}

// compare orders the entry that gets a place first before the other one. The order of arrival decides between equals.
func (e *Entry) compare(o *Entry) int {
	return cmp.Or(
		cmp.Compare(e.Rank, o.Rank), cmp.Compare(o.Deficit, e.Deficit), compareBool(o.Retrying, e.Retrying),
		e.compareStartBy(o), cmp.Compare(e.sequence, o.sequence),
	)
}

// compareStartBy orders entries without a StartBy after all others.
func (e *Entry) compareStartBy(o *Entry) int {
	if e.StartBy.IsZero() || o.StartBy.IsZero() {
		return compareBool(e.StartBy.IsZero(), o.StartBy.IsZero())
	}
	return e.StartBy.Compare(o.StartBy)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
