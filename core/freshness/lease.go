package freshness

import (
	"sync/atomic"
	"time"
)

// Lease permits a router to serve requests that need a key with the configuration that it has.
//
// A key may be withdrawn while a router cannot read the configuration because it is partitioned from the store,
// was suspended, or is rejected by the store. A read proves that nothing newer existed at the time it was sent, so
// it allows requests to be served for as long as a withdrawn key may still be used, and no longer. The clock must
// keep running while the VM is suspended: otherwise a router would resume and accept a key that was withdrawn in
// the meantime. The zero value has never been renewed.
type Lease struct {
	term      atomic.Int64
	renewedAt atomic.Int64
}

// SetTerm sets how long the lease is valid after a read.
func (l *Lease) SetTerm(term time.Duration) { l.term.Store(int64(term)) }

// Renew records a read that was sent at the given time since boot. Reads older than the newest one are ignored.
func (l *Lease) Renew(sent time.Duration) {
	for {
		old := l.renewedAt.Load()
		if int64(sent) <= old || l.renewedAt.CompareAndSwap(old, int64(sent)) {
			return
		}
	}
}

// Age returns the time since the newest read was sent; known is false before the first read.
func (l *Lease) Age(now time.Duration) (age time.Duration, known bool) {
	renewedAt := l.renewedAt.Load()
	if renewedAt == 0 {
		return 0, false
	}
	return now - time.Duration(renewedAt), true
}

// Valid returns whether requests that need a key may be served at the given time since boot.
func (l *Lease) Valid(now time.Duration) bool {
	age, known := l.Age(now)
	return known && age < time.Duration(l.term.Load())
}
