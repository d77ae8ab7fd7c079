package jointlimit

import "sync/atomic"

// Limit is how many bytes budgets may hold together. It is safe for concurrent use. The zero value is unlimited and only counts, and a
// nil Limit does nothing.
type Limit struct{ size, held atomic.Int64 }

// SetSize sets the limit in bytes, 0 for none. Bytes that are held already stay.
func (l *Limit) SetSize(n int64) { l.size.Store(n) }

// Held returns the bytes that are held.
func (l *Limit) Held() int64 {
	if l == nil {
		return 0
	}
	return l.held.Load()
}

// Allows reports whether n more bytes may be held.
func (l *Limit) Allows(n int64) bool {
	if l == nil {
		return true
	}
	size := l.size.Load()
	return size <= 0 || l.held.Load()+n <= size
}

// Add counts n more bytes, or fewer if n is negative.
func (l *Limit) Add(n int64) {
	if l != nil {
		l.held.Add(n)
	}
}
