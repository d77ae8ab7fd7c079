package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// callerBody is the body of a request. It bounds the time for which its caller is waited for, and counts no other: while
// the body is passed on, its reader is the endpoint's connection, and a deadline that ran on would cut the call of a caller
// who has sent everything, whenever the endpoint reads slowly.
type callerBody struct {
	body    io.Reader
	control *http.ResponseController

	mu sync.Mutex
	// left is how much longer the caller may be waited for, until when that is over for the present read.
	left    time.Duration
	until   time.Time
	reading bool
	// whole tells that the end was read: from then on net/http reads, to notice that the caller goes, and without a deadline.
	whole bool
	// answered tells that the deadline stands and reads leave it alone, ended that net/http has the connection back.
	answered bool
	ended    bool
	late     bool
}

func newCallerBody(w http.ResponseWriter, r *http.Request, limit int64, patience time.Duration) *callerBody {
	b := &callerBody{control: http.NewResponseController(w), left: patience, whole: r.Body == nil || r.Body == http.NoBody}
	if !b.whole {
		b.body = http.MaxBytesReader(w, r.Body, limit)
	}
	return b
}

// Read reads with a deadline that holds for this read only.
func (b *callerBody) Read(p []byte) (n int, err error) {
	if b.body == nil {
		return 0, io.EOF
	}
	began := time.Now()
	b.await()
	n, err = b.body.Read(p)
	b.took(time.Since(began), err)
	return n, err
}

func (b *callerBody) await() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = true
	b.bound(b.left)
}

// bound sets the deadline, unless it stands or nothing is left to wait for.
func (b *callerBody) bound(d time.Duration) {
	if b.whole || b.answered {
		return
	}
	b.until = time.Now().Add(d)
	_ = b.control.SetReadDeadline(b.until)
}

// took notes how a read ended. After an error the deadline stays: net/http reads on before it answers, and would wait for
// the rest for ever.
func (b *callerBody) took(d time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.left -= d
	switch {
	case errors.Is(err, io.EOF):
		b.whole = true
		// The deadline may have been set between the end of the body and here. Not once net/http has the connection back: it
		// ends its own read by a deadline, and would wait for that read for ever.
		if b.answered && !b.ended {
			_ = b.control.SetReadDeadline(time.Time{})
		}
	case err != nil:
		b.late = b.late || errors.Is(err, os.ErrDeadlineExceeded)
	case !b.answered:
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

// answer lets the deadline stand from the beginning of the answer, which may come before the end of the body: net/http then
// reads what is left by itself, or waits for who does, before it sends the answer.
func (b *callerBody) answer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stand(b.left)
}

// restOfBody is how long the rest of a body that nobody wants is waited for: longer than a process may stand still whose
// core is shared, for the body may lie there unread.
const restOfBody = 300 * time.Millisecond

// giveUp is called before an answer that does not need the body. net/http reads what is left of it before it sends the
// answer, so that the connection can be kept; without a bound, a body that stalls would hold the answer back for ever.
func (b *callerBody) giveUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stand(restOfBody)
}

// end is called when the handler ends: an attempt may still read, and must not touch the deadline any more.
func (b *callerBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stand(restOfBody)
	b.ended = true
}

func (b *callerBody) stand(d time.Duration) {
	b.bound(d)
	b.answered = true
}

// tooLate tells whether the caller took too long. A read whose time is over counts before it returns: the request's context
// ends first, and with it the attempt.
func (b *callerBody) tooLate() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.late || b.reading && !time.Now().Before(b.until)
}
