package freshness

import (
	"sync/atomic"
	"time"
)

// Lease is the right to serve keyed requests by the configuration that this router knows.
//
// A key may be withdrawn while a router cannot read the configuration, because it is cut off, was suspended, or is
// turned away. Each read proves that nothing newer existed when it was sent, so requests may be served by it for as
// long as a withdrawn key may still be used, and no longer. The clock must run while the VM is suspended: a router
// that wakes would otherwise serve with a key withdrawn in its sleep. The zero value has never been renewed.
type Lease struct {
	term    atomic.Int64
	renewed atomic.Int64
}

// SetTerm sets how long a read counts.
func (l *Lease) SetTerm(term time.Duration) { l.term.Store(int64(term)) }

// Renew notes a read that was sent at the time since boot; an older one changes nothing.
func (l *Lease) Renew(sent time.Duration) {
	for {
		old := l.renewed.Load()
		if int64(sent) <= old || l.renewed.CompareAndSwap(old, int64(sent)) {
			return
		}
	}
}

// Age is how long ago the newest read was sent; known is false before the first.
func (l *Lease) Age(now time.Duration) (age time.Duration, known bool) {
	renewed := l.renewed.Load()
	if renewed == 0 {
		return 0, false
	}
	return now - time.Duration(renewed), true
}

// Valid tells whether keyed requests may be served at the time since boot.
func (l *Lease) Valid(now time.Duration) bool {
	age, known := l.Age(now)
	return known && age < time.Duration(l.term.Load())
}
