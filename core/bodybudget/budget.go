package bodybudget

import (
	"slices"
	"sync"
	"time"

	"savoryfall/core/jointlimit"
)

// FirstBytes is the size in bytes of the first part of a body. A body that is not larger never waits behind larger ones.
const FirstBytes = 64 << 10

const (
	// largeShare is the share of the budget that what bodies have beyond their first part may take, so that small requests are
	// served while large ones wait.
	largeShare = 2.0 / 3
	// slowArrival is how long a large body may take to arrive while others wait for its memory.
	slowArrival = time.Second
	// evictPeriod is how often a body that waits looks for one that arrives slowly.
	evictPeriod = 100 * time.Millisecond
)

// Budget is the number of bytes of request bodies that a process may hold. It is safe for concurrent use. The zero value is
// unlimited and only counts.
type Budget struct {
	mu sync.Mutex
	// size is the size in bytes, 0 for no limit. held are the bytes held, of which large belong to bodies beyond their first part.
	size, held, large int64
	joint             *jointlimit.Limit
	// denied is how many bodies were denied their memory, or evicted.
	denied  uint64
	waiting []*Body
	// arriving are the large bodies that have their memory and are not complete, in the order in which they got it.
	arriving []*Body
}

// Body is what is held of one body. Its methods must not be called concurrently.
type Body struct {
	budget *Budget
	// interrupt ends the read of a body that arrives too slowly.
	interrupt   func()
	first, rest int64
	grantedAt   time.Time
	granted     chan struct{}
	evicted     bool
}

// SetSize sets the size of the budget in bytes, 0 for no limit. Bytes that are held already stay.
func (b *Budget) SetSize(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = n
	b.grant()
}

// SetJoint sets the limit of what this budget and others hold together. It must be set before anything is held.
func (b *Budget) SetJoint(l *jointlimit.Limit) { b.joint = l }

// Usage returns the bytes held, the size of the budget, the number of bodies that wait, and how many were denied their memory, those
// evicted included.
func (b *Budget) Usage() (held, size int64, waiting int, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.size, len(b.waiting), b.denied
}

// Open begins a body, of which the first n bytes are held, up to FirstBytes. It returns nil if there is no memory for them. The body must
// be closed. interrupt is called, with the budget locked, if the body is evicted: it must make the read of the body fail.
func (b *Budget) Open(n int64, interrupt func()) (body *Body) {
	n = min(n, FirstBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size > 0 && b.held+n > b.size || !b.joint.Allows(n) {
		b.denied++
		return nil
	}
	b.hold(n)
	return &Body{budget: b, interrupt: interrupt, first: n}
}

// Extend adds n bytes to the body, which then holds memory for all of it. It waits for them until done is closed, and returns false if
// they were not granted by then.
func (o *Body) Extend(n int64, done <-chan struct{}) (ok bool) {
	b := o.budget
	b.mu.Lock()
	o.rest, o.granted = n, make(chan struct{})
	b.waiting = append(b.waiting, o)
	b.grant()
	b.mu.Unlock()
	ticker := time.NewTicker(evictPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-o.granted:
			return true
		case now := <-ticker.C:
			b.evictSlowest(now)
		case <-done:
			return b.leave(o)
		}
	}
}

// grant gives bodies that wait their memory, in order of arrival.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].rest) {
		o := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.hold(o.rest)
		b.large += o.rest
		o.grantedAt = time.Now()
		b.arriving = append(b.arriving, o)
		close(o.granted)
	}
}

// fits reports whether n bytes more may be held for large bodies. One of them may be larger than the share of all.
func (b *Budget) fits(n int64) bool {
	if b.large == 0 {
		return true
	}
	if !b.joint.Allows(n) {
		return false
	}
	return b.size <= 0 || float64(b.large+n) <= largeShare*float64(b.size) && b.held+n <= b.size
}

func (b *Budget) hold(n int64) {
	b.held += n
	b.joint.Add(n)
}

// leave ends the wait of a body, and returns whether it got its memory before that.
func (b *Budget) leave(o *Body) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, o)
	if i < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	o.rest = 0
	b.denied++
	b.grant()
	return false
}

// evictSlowest interrupts the large body that has been arriving for longest, if that is too long.
func (b *Budget) evictSlowest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// What other budgets release may have made room.
	b.grant()
	if len(b.arriving) == 0 || now.Sub(b.arriving[0].grantedAt) < slowArrival {
		return
	}
	o := b.arriving[0]
	b.arriving = b.arriving[1:]
	b.denied++
	o.evicted = true
	o.interrupt()
}

// Complete records that the whole body has arrived, with n bytes, and releases what it holds beyond them. It is not evicted any more.
func (o *Body) Complete(n int64) {
	b := o.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endArrival(o)
	first := min(o.first, n)
	b.release(o, o.first-first, o.rest-min(o.rest, n-first))
}

// Evicted reports whether the body was interrupted because others waited for its memory.
func (o *Body) Evicted() bool {
	o.budget.mu.Lock()
	defer o.budget.mu.Unlock()
	return o.evicted
}

// Close releases what the body holds.
func (o *Body) Close() {
	b := o.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endArrival(o)
	b.release(o, o.first, o.rest)
}

func (b *Budget) endArrival(o *Body) {
	i := slices.Index(b.arriving, o)
	if i >= 0 {
		b.arriving = slices.Delete(b.arriving, i, i+1)
	}
}

func (b *Budget) release(o *Body, first, rest int64) {
	o.first -= first
	o.rest -= rest
	b.hold(-first - rest)
	b.large -= rest
	b.grant()
}
