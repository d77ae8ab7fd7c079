package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// requestBody is the body of a request. It limits the time spent waiting for the client, and counts no other time:
// while the body is streamed to the endpoint, a deadline that also ran between reads would fail the request of a
// client that has sent everything whenever the endpoint reads slowly.
type requestBody struct {
	body    io.Reader
	control *http.ResponseController

	mu sync.Mutex
	// remaining is how much longer to wait for the client, and deadline when that ends for the current read.
	remaining time.Duration
	deadline  time.Time
	reading   bool
	// complete is set once the body has been read to its end. From then on net/http reads from the connection, without
	// a deadline, to notice when the client disconnects.
	complete bool
	// deadlineFixed is set when reads must no longer change the deadline, and ended when net/http owns the connection
	// again.
	deadlineFixed bool
	ended         bool
	timedOut      bool
}

func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) *requestBody {
	b := &requestBody{control: http.NewResponseController(w), remaining: timeout, complete: r.Body == nil || r.Body == http.NoBody}
	if !b.complete {
		b.body = http.MaxBytesReader(w, r.Body, limit)
	}
	return b
}

// Read reads with a deadline that applies to this read only.
func (b *requestBody) Read(p []byte) (n int, err error) {
	if b.body == nil {
		return 0, io.EOF
	}
	start := time.Now()
	b.beginRead()
	n, err = b.body.Read(p)
	b.endRead(time.Since(start), err)
	return n, err
}

func (b *requestBody) beginRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = true
	b.setDeadline(b.remaining)
}

// setDeadline sets the read deadline, unless the body is complete or the deadline is fixed.
func (b *requestBody) setDeadline(timeout time.Duration) {
	if b.complete || b.deadlineFixed {
		return
	}
	b.deadline = time.Now().Add(timeout)
	_ = b.control.SetReadDeadline(b.deadline)
}

// endRead records how a read has ended. After an error the deadline stays in place: before it responds, net/http reads
// the rest of the body, and without a deadline it would wait forever.
func (b *requestBody) endRead(elapsed time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.remaining -= elapsed
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		// The deadline may have been set between the end of the body and this point. It must not be cleared once
		// net/http owns the connection again: net/http ends its own background read by setting a deadline, and would
		// wait forever for that read.
		if b.deadlineFixed && !b.ended {
			_ = b.control.SetReadDeadline(time.Time{})
		}
	case err != nil:
		b.timedOut = b.timedOut || errors.Is(err, os.ErrDeadlineExceeded)
	case !b.deadlineFixed:
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

// startResponse fixes the deadline when the response starts, which may be before the body has been read: net/http then
// reads the rest, or waits until another reader has, before it sends the response.
func (b *requestBody) startResponse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixDeadline(b.remaining)
}

// discardTimeout limits the wait for the rest of an unwanted body. It is longer than a process on a shared core may be
// paused, during which the body may have arrived without having been read.
const discardTimeout = 300 * time.Millisecond

// discard is called before a response that doesn't need the body. To keep the connection open, net/http reads the rest
// of the body before it sends the response; without a deadline, a stalled body would delay the response forever.
func (b *requestBody) discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixDeadline(discardTimeout)
}

// end is called when the handler returns: an attempt may still be reading the body, and must no longer change the
// deadline.
func (b *requestBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixDeadline(discardTimeout)
	b.ended = true
}

func (b *requestBody) fixDeadline(timeout time.Duration) {
	b.setDeadline(timeout)
	b.deadlineFixed = true
}

// hasTimedOut reports whether the client took too long to send the body. It also counts a read that hasn't returned
// although its deadline has passed, because the request's context, and with it the attempt, ends before the read
// returns.
func (b *requestBody) hasTimedOut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.timedOut || b.reading && !time.Now().Before(b.deadline)
}
