package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"savoryfall/core/bytebudget"
)

const (
	// slowWrite is how long a write to a client may take until its stream is read ahead. It is longer than the wait for the
	// record of a stream's origin, which is no fault of the client.
	slowWrite = 100 * time.Millisecond
	// readAheadSize is how many bytes are read at once, and reserved before, while a stream is read ahead.
	readAheadSize = 4 << 10
	// blamePause is for how long reading must have been paused for the end of the response to be put down to that.
	blamePause = time.Second
)

// readAhead reads the response of an endpoint. While the client does not take what was read, it goes on reading and keeps the
// bytes within the memory budget: an endpoint cuts off a response that stays unread for some seconds, and its slot is free
// only once it has written everything. Nothing is kept, and no goroutine is started, for clients that read as fast as the
// endpoint writes.
type readAhead struct {
	response io.Reader
	budget   *bytebudget.Budget
	account  *bytebudget.Account
	// ctx ends when the attempt is given up.
	ctx    context.Context
	cancel context.CancelFunc
	// onRead is called after bytes were read ahead, onEnd when the whole response was.
	onRead, onEnd func()

	mu    sync.Mutex
	timer *time.Timer
	// writing is set while a write to the client is in progress. started is set once the response is read by a goroutine.
	writing, started bool
	chunks           [][]byte
	err              error
	// changed is signalled when chunks or err change, done is closed when the goroutine has ended.
	changed     chan struct{}
	done        chan struct{}
	pausedSince time.Time
	pausedFor   time.Duration
}

// newReadAhead returns a reader of the attempt's response that may keep up to limit bytes.
func newReadAhead(a *attempt, b *bytebudget.Budget, limit int64) *readAhead {
	return &readAhead{
		response: a.response, budget: b, account: b.Open(limit), ctx: a.ctx, cancel: a.cancel, onRead: func() { a.RecordEvents(0, time.Now()) },
		onEnd:   func() { a.RecordSent(time.Now()) },
		changed: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Read returns bytes of the response in order, whether they were read ahead or not.
func (r *readAhead) Read(p []byte) (n int, err error) {
	for {
		r.mu.Lock()
		if !r.started {
			r.mu.Unlock()
			return r.response.Read(p)
		}
		n, err = r.take(p)
		r.mu.Unlock()
		if n > 0 || err != nil {
			r.account.Release(int64(n))
			return n, err
		}
		<-r.changed
	}
}

func (r *readAhead) take(p []byte) (n int, err error) {
	if len(r.chunks) == 0 {
		return 0, r.err
	}
	n = copy(p, r.chunks[0])
	r.chunks[0] = r.chunks[0][n:]
	if len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	return n, nil
}

// beginWrite is called before a write to the client, endWrite after it. The response is read ahead from the first write on that
// takes long.
func (r *readAhead) beginWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = true
	switch {
	case r.started:
	case r.timer == nil:
		r.timer = time.AfterFunc(slowWrite, r.start)
	default:
		r.timer.Reset(slowWrite)
	}
}

func (r *readAhead) endWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	if r.timer != nil {
		r.timer.Stop()
	}
}

// start hands the response over to a goroutine. It has an effect only during a write, when nobody else reads.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing || r.started {
		return
	}
	r.started = true
	go r.run()
}

func (r *readAhead) run() {
	defer close(r.done)
	buf := make([]byte, readAheadSize)
	for r.reserve() {
		n, err := r.response.Read(buf)
		r.account.Release(readAheadSize - int64(n))
		r.put(buf[:n], err)
		if errors.Is(err, io.EOF) {
			r.onEnd()
		}
		if err != nil {
			return
		}
		r.onRead()
	}
	r.put(nil, r.ctx.Err())
}

// reserve waits until the next read is within the budget. It returns false if the attempt ended before.
func (r *readAhead) reserve() (ok bool) {
	defer r.endPause()
	for {
		released := r.budget.Released()
		if r.account.Reserve(readAheadSize) {
			return true
		}
		r.beginPause()
		select {
		case <-released:
		case <-r.ctx.Done():
			return false
		}
	}
}

func (r *readAhead) beginPause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pausedSince.IsZero() {
		r.pausedSince = time.Now()
	}
}

func (r *readAhead) endPause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pausedSince.IsZero() {
		return
	}
	r.pausedFor += time.Since(r.pausedSince)
	r.pausedSince = time.Time{}
}

func (r *readAhead) put(p []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(p) > 0 {
		r.chunks = append(r.chunks, append([]byte(nil), p...))
	}
	r.err = err
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// close gives back the memory, and waits until nobody reads the response any more.
func (r *readAhead) close() {
	r.mu.Lock()
	started := r.started
	// A timer that has fired already must not start a goroutine any more.
	r.writing = false
	ended := r.err != nil
	r.mu.Unlock()
	if started {
		if !ended {
			r.cancel()
		}
		<-r.done
	}
	r.account.Close()
}

// isSlow reports whether the response is read ahead, so that the times of events say nothing of the endpoint.
func (r *readAhead) isSlow() bool {
	slow, _ := r.slow()
	return slow
}

// slow reports whether the response was read ahead, and for how long reading was paused for want of memory.
func (r *readAhead) slow() (yes bool, paused time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started, r.pausedFor
}

// endedByPause reports whether the endpoint may have ended the response because this router did not read it.
func (r *readAhead) endedByPause() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pausedFor >= blamePause
}
