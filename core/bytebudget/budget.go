package bytebudget

import (
	"sync"

	"savoryfall/core/jointlimit"
)

const (
	// fullShare is the share of the budget from which no new holders are to be taken on.
	fullShare = 0.9
	// freeShare is the share of the budget up to which an account may hold as much as its limit allows. Beyond it, an account is
	// kept to an even part, so that the largest holders are the first that get no more.
	freeShare = 0.5
)

// Budget is the number of bytes that a process may hold. It is safe for concurrent use. The zero value is unlimited and only
// counts.
type Budget struct {
	mu       sync.Mutex
	joint    *jointlimit.Limit
	size     int64
	held     int64
	accounts int
	denied   uint64
	// released is closed and replaced whenever bytes were released while an account waited for some.
	released chan struct{}
}

// Account is what one connection holds.
type Account struct {
	b      *Budget
	limit  int64
	held   int64
	closed bool
}

// SetSize sets the size of the budget in bytes, 0 for no limit. Bytes that are held already stay.
func (b *Budget) SetSize(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = n
	b.wake()
}

// SetJoint sets the limit of what this budget and others hold together. It must be set before anything is held.
func (b *Budget) SetJoint(l *jointlimit.Limit) { b.joint = l }

// Open returns an account that may hold up to limit bytes. It must be closed.
func (b *Budget) Open(limit int64) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts++
	return &Account{b: b, limit: limit}
}

// Full reports whether so much is held that no new stream should begin.
func (b *Budget) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size > 0 && float64(b.held) >= fullShare*float64(b.size)
}

// Usage returns the bytes held, the size of the budget, the number of open accounts, and how many reservations were denied.
func (b *Budget) Usage() (held, size int64, accounts int, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.size, b.accounts, b.denied
}

// Reserve adds n bytes to the account, and returns false if it may not hold them. An account that holds nothing may always hold
// some bytes while the budget has any: a connection that cannot make progress at all would keep its memory for ever.
func (a *Account) Reserve(n int64) (ok bool) {
	b := a.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || !b.allows(a, n) {
		b.denied++
		return false
	}
	a.add(n)
	return true
}

// allows reports whether the account may hold n more bytes.
func (b *Budget) allows(a *Account, n int64) bool {
	if a.held+n > a.limit || !b.joint.Allows(n) {
		return false
	}
	if b.size <= 0 {
		return true
	}
	if b.held+n > b.size {
		return false
	}
	return float64(b.held+n) <= freeShare*float64(b.size) || a.held+n <= b.size/int64(max(b.accounts, 1)) || a.held == 0
}

// Force adds n bytes to the account whatever its limit: what has been received already is held in any case.
func (a *Account) Force(n int64) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	if !a.closed {
		a.add(n)
	}
}

func (a *Account) add(n int64) {
	a.held += n
	a.b.held += n
	a.b.joint.Add(n)
}

// Release takes n bytes off the account.
func (a *Account) Release(n int64) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.release(min(n, a.held))
}

func (a *Account) release(n int64) {
	a.held -= n
	a.b.held -= n
	a.b.joint.Add(-n)
	if n > 0 {
		a.b.wake()
	}
}

// Close releases what the account holds. Further reservations are denied.
func (a *Account) Close() {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.b.accounts--
	a.release(a.held)
	a.b.wake()
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	return a.held
}

// Released returns a channel that is closed when an account has released bytes after the call. It must be called before the
// reservation that may fail.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

func (b *Budget) wake() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
