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
func (c *Tracker) Observe(l Lease, known bool, now time.Time) {
	if !known {
		l = Lease{LastOffset: NoRecord}
	}
	if c.observed && l == c.lease {
		return
	}
	c.lease, c.observedAt, c.observed = l, now, true
	if l.Holder == c.self {
		c.startTerm(l.Seq)
	}
}

// startTerm starts the term at the time when the append of the record with this sequence number began. A renewal may be
// read late, when a newer one is already in flight. Using the newer one's time would extend the term beyond the time
// that a challenger waits.
func (c *Tracker) startTerm(seq int64) {
	c.termStart = c.pendingAppends[seq]
	for older, at := range c.pendingAppends {
		if at.Before(c.termStart) {
			delete(c.pendingAppends, older)
		}
	}
}

// NextRecord returns the record to append now, if any: a renewal after a third of the term, or an acquisition when the
// holder has been silent for its whole term plus the longest action.
func (c *Tracker) NextRecord(now time.Time) (r Record, ok bool) {
	if !c.observed || !c.lastAppend.IsZero() && now.Sub(c.lastAppend) < c.terms.Term/3 {
		return Record{}, false
	}
	switch {
	case c.lease.Holder == c.self && c.termStart.IsZero():
		// A previous process with this router's name held the lease; its last action may still be in progress.
		return c.acquireAfter(now, c.takeoverDelay())
	case c.lease.Holder == c.self:
		if now.Sub(c.termStart) < c.terms.Term/3 {
			return Record{}, false
		}
		return Record{Kind: KindRenew, Duty: c.duty, Holder: c.self, Fence: c.lease.Fence}, true
	case c.lease.Holder == "":
		return c.acquireAfter(now, 0)
	}
	return c.acquireAfter(now, c.takeoverDelay())
}

// takeoverDelay is long enough for the old holder to have finished. Its renewal began before this router could read it,
// so its term ends within one term of the read, and an action started at the very end takes at most Longest more.
func (c *Tracker) takeoverDelay() time.Duration {
	return c.terms.Term + c.terms.MaxAction
}

func (c *Tracker) acquireAfter(now time.Time, delay time.Duration) (r Record, ok bool) {
	if now.Sub(c.observedAt) < delay {
		return Record{}, false
	}
	return Record{Kind: KindAcquire, Duty: c.duty, Holder: c.self, After: c.lease.LastOffset}, true
}

// BeginAppend records that the wanted record is about to be appended, and returns it with a sequence number.
func (c *Tracker) BeginAppend(r Record, now time.Time) Record {
	r.Seq = now.UnixNano()
	c.lastAppend = now
	c.pendingAppends[r.Seq] = now
	return r
}

// Relinquish makes this router stop acting at once.
func (c *Tracker) Relinquish() { c.termStart = time.Time{} }

// MayAct reports whether an action that begins now and takes at most Longest is covered by the lease, and returns its
// fencing number. It must be called right before the action: if a holder were paused between check and action, it would
// act after its lease has expired, with a fencing number that an endpoint without fencing checks accepts.
func (c *Tracker) MayAct(now time.Time) (fence int64, ok bool) {
	if c.lease.Holder != c.self || c.termStart.IsZero() || now.Sub(c.termStart) >= c.terms.Term {
		return 0, false
	}
	return c.lease.Fence, true
}

// Holds reports whether the stream names this router as the holder.
func (c *Tracker) Holds() bool { return c.observed && c.lease.Holder == c.self }

// Current returns the latest state of the lease that was read.
func (c *Tracker) Current() Lease { return c.lease }
