package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstSilence is how long an endpoint that sends this router nothing at all is waited for at the start of a
	// stream that may go on elsewhere, beside the time that it is expected to read the prompt; nextSilence between
	// two events. Both leave time for a second endpoint before the client gives up.
	firstSilence = 500 * time.Millisecond
	nextSilence  = 700 * time.Millisecond
	// readingRate is how many prompt tokens a slow engine reads in a millisecond, for how long to wait.
	readingRate = 40
)

// watch ends the reading of a stream that could go on elsewhere when its endpoint has sent this router nothing on any
// request for too long. A pause of this stream alone may be a long prompt beside it. A read deadline that is moved on
// would not do: the reader of a chunked body fails for ever after its first time-out.
type watch struct {
	attempt  *attempt
	answered atomic.Bool
	mu       sync.Mutex
	timer    *time.Timer
	done     bool
}

func (w *watch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceLimit(w.attempt, false), w.look)
}

func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	left := silenceLimit(w.attempt, w.answered.Load()) - w.attempt.SilentFor(time.Now())
	if left <= 0 {
		w.attempt.answer.SetDeadline(time.Now())
		return
	}
	w.timer.Reset(left)
}

// stop ends the watch before the connection may serve another request.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

func silenceLimit(a *attempt, answered bool) time.Duration {
	if answered {
		return nextSilence
	}
	return firstSilence + time.Duration(a.Missing()/readingRate)*time.Millisecond
}
