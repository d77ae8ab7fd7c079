package entry

import (
	"sync"
	"time"
)

const (
	// minSilence is how long to wait in a resumable stream for an endpoint that sends this router nothing at all, in
	// addition to the time that it is expected to need for reading prompts. A sound endpoint may be silent for a second and
	// go on, and must not still work on a stream that another one has continued. It leaves time for a second endpoint
	// before the client gives up.
	minSilence = 1100 * time.Millisecond
	// slowPrefillTokensPerMs is how many prompt tokens a slow engine reads in a millisecond.
	slowPrefillTokensPerMs = 40
	// maxSilence limits the wait regardless of how many prompt tokens the endpoint has to read: clients cancel a stream
	// that is silent for two seconds or more.
	maxSilence = 1500 * time.Millisecond
	// recheckPeriod is when a silent endpoint is checked again if no other endpoint can take the stream.
	recheckPeriod = 200 * time.Millisecond
)

// silenceWatch cancels an attempt that another endpoint could continue if its endpoint has sent this router nothing on
// any request for too long. A pause of this stream alone may be caused by a long prompt of another request. No attempt
// is cancelled while no other endpoint can take the stream: a busy engine responds late, and cancelling would only lose
// the attempt's place in it. Extending a read deadline instead would not work: the reader of a chunked body keeps
// failing after its first timeout.
type silenceWatch struct {
	attempt *attempt
	// canMove reports whether another endpoint could take the stream now.
	canMove func() bool
	mu      sync.Mutex
	timer   *time.Timer
	done    bool
}

func (w *silenceWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit(time.Now()), w.check)
}

func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now := time.Now()
	left := w.limit(now) - w.attempt.SilentFor(now)
	switch {
	case left > 0:
		w.timer.Reset(left)
	case w.canMove():
		w.attempt.cancel()
	default:
		w.timer.Reset(recheckPeriod)
	}
}

// stop ends the watch before the connection may be used for another request.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *silenceWatch) limit(now time.Time) time.Duration {
	prefill := time.Duration(w.attempt.UnreadPromptTokens(now)/slowPrefillTokensPerMs) * time.Millisecond
	return min(minSilence+prefill, maxSilence)
}
