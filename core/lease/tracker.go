package lease

import "time"

// Terms are the durations that prevent two holders from acting at the same time.
type Terms struct {
	// Term is how long a holder may act, counted from when it began to append its latest renewal.
	Term time.Duration
	// MaxAction is the maximum duration of one action, from the last lease check to its end.
	MaxAction time.Duration
}

// Tracker tracks the lease on one duty by the clock of one router; create one with NewTracker.
type Tracker struct {
	terms          Terms
	self           string
	duty           string
	lease          Lease
	observedAt     time.Time
	termStart      time.Time
	lastAppend     time.Time
	pendingAppends map[int64]time.Time
	observed       bool
}

// NewTracker tracks the lease on the duty for the router self.
func NewTracker(self, duty string, terms Terms) *Tracker {
	return &Tracker{self: self, duty: duty, terms: terms, pendingAppends: map[int64]time.Time{}}
}

// Observe updates the lease with its state as read from the stream.
func (t *Tracker) Observe(l Lease, known bool, now time.Time) {
	if !known {
		l = Lease{LastOffset: NoRecord}
	}
	if t.observed && l == t.lease {
		return
	}
	t.lease, t.observedAt, t.observed = l, now, true
	if l.Holder == t.self {
		t.startTerm(l.Seq)
	}
}

// startTerm starts the term at the time when the append of the record with this sequence number began. A renewal may be
// read late, when a newer one is already in flight. Using the newer one's time would extend the term beyond the time
// that a challenger waits.
func (t *Tracker) startTerm(seq int64) {
	t.termStart = t.pendingAppends[seq]
	for older, at := range t.pendingAppends {
		if at.Before(t.termStart) {
			delete(t.pendingAppends, older)
		}
	}
}

// NextRecord returns the record to append now, if any: a renewal after a third of the term, or an acquisition when the
// holder has been silent for its whole term plus the longest action.
func (t *Tracker) NextRecord(now time.Time) (r Record, ok bool) {
	if !t.observed || !t.lastAppend.IsZero() && now.Sub(t.lastAppend) < t.terms.Term/3 {
		return Record{}, false
	}
	switch {
	case t.lease.Holder == t.self && t.termStart.IsZero():
		// A previous process with this router's name held the lease; its last action may still be in progress.
		return t.acquireAfter(now, t.takeoverDelay())
	case t.lease.Holder == t.self:
		if now.Sub(t.termStart) < t.terms.Term/3 {
			return Record{}, false
		}
		return Record{Kind: KindRenew, Duty: t.duty, Holder: t.self, Fence: t.lease.Fence}, true
	case t.lease.Holder == "":
		return t.acquireAfter(now, 0)
	}
	return t.acquireAfter(now, t.takeoverDelay())
}

// takeoverDelay is long enough for the old holder to have finished. Its renewal began before this router could read it,
// so its term ends within one term of the read, and an action started at the very end takes at most MaxAction more.
func (t *Tracker) takeoverDelay() time.Duration {
	return t.terms.Term + t.terms.MaxAction
}

func (t *Tracker) acquireAfter(now time.Time, delay time.Duration) (r Record, ok bool) {
	if now.Sub(t.observedAt) < delay {
		return Record{}, false
	}
	return Record{Kind: KindAcquire, Duty: t.duty, Holder: t.self, After: t.lease.LastOffset}, true
}

// BeginAppend records that the wanted record is about to be appended, and returns it with a sequence number.
func (t *Tracker) BeginAppend(r Record, now time.Time) Record {
	r.Seq = now.UnixNano()
	t.lastAppend = now
	t.pendingAppends[r.Seq] = now
	return r
}

// Relinquish makes this router stop acting at once.
func (t *Tracker) Relinquish() { t.termStart = time.Time{} }

// MayAct reports whether an action that begins now and takes at most MaxAction is covered by the lease, and returns its
// fencing number. It must be called right before the action: if a holder were paused between check and action, it would
// act after its lease has expired, with a fencing number that an endpoint without fencing checks accepts.
func (t *Tracker) MayAct(now time.Time) (fence int64, ok bool) {
	if t.lease.Holder != t.self || t.termStart.IsZero() || now.Sub(t.termStart) >= t.terms.Term {
		return 0, false
	}
	return t.lease.Fence, true
}

// Holds reports whether the stream names this router as the holder.
func (t *Tracker) Holds() bool { return t.observed && t.lease.Holder == t.self }

// Current returns the latest state of the lease that was read.
func (t *Tracker) Current() Lease { return t.lease }
