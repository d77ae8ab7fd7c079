package http1

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of a response in bytes, and with it each line. An endpoint repeats the id that a client
	// chose, and clients may send heads of 16 KB; as much is left for what it adds.
	maxHeadBytes = 32 << 10
	// maxLargeHeads bounds the bytes of all heads that are being read, as far as they go beyond the read buffers of their
	// connections. Sound heads take less than a buffer.
	maxLargeHeads = 8 << 20
)

// errHeadTooLarge is returned for a head that is larger than it may be, or does not end.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headBudget is what the large heads of all connections hold, in bytes. The zero value is empty.
type headBudget struct{ held atomic.Int64 }

func (b *headBudget) reserve(n int64) (ok bool) {
	if b.held.Add(n) > maxLargeHeads {
		b.held.Add(-n)
		return false
	}
	return true
}

// headLimiter limits what is read of a connection while the head of a response is read. The zero value does not limit anything.
type headLimiter struct {
	from   io.Reader
	budget *headBudget
	// limited is set while a head is read, of which read bytes have been read, and reserved of the budget are held for it.
	limited        bool
	read, reserved int64
}

// Read reads from the connection, up to the limit of the head that is being read.
func (l *headLimiter) Read(p []byte) (n int, err error) {
	if !l.limited {
		return l.from.Read(p)
	}
	left := maxHeadBytes - l.read
	if left <= 0 || !l.reserve(int64(len(p))) {
		return 0, errHeadTooLarge
	}
	n, err = l.from.Read(p[:min(int64(len(p)), left)])
	l.read += int64(n)
	return n, err
}

// reserve counts the next n bytes of the head unless they fit into a read buffer.
func (l *headLimiter) reserve(n int64) (ok bool) {
	if l.read < readBufferSize {
		return true
	}
	if !l.budget.reserve(n) {
		return false
	}
	l.reserved += n
	return true
}

// begin begins a head, of which the given number of bytes are in the read buffer already.
func (l *headLimiter) begin(buffered int) { l.limited, l.read = true, int64(buffered) }

func (l *headLimiter) end() {
	l.budget.held.Add(-l.reserved)
	l.limited, l.reserved = false, 0
}
