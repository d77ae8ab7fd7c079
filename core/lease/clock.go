package lease

import "time"

// Terms are the times that keep two holders from acting at once.
type Terms struct {
	// Term is how long after it began to append its newest renewal a holder may act.
	Term time.Duration
	// Longest bounds the time that one act takes, from its last check to its end.
	Longest time.Duration
}

// Clock keeps, on the clock of one router, how it stands to one duty; make one with NewClock.
type Clock struct {
	terms    Terms
	self     string
	duty     string
	seen     Lease
	seenAt   time.Time
	began    time.Time
	newest   time.Time
	pending  map[int64]time.Time
	observed bool
}

// NewClock watches one duty for the router self.
func NewClock(self, duty string, terms Terms) *Clock {
	return &Clock{self: self, duty: duty, terms: terms, pending: map[int64]time.Time{}}
}

// Observe takes the state of the duty as read from the stream.
func (c *Clock) Observe(l Lease, known bool, now time.Time) {
	if !known {
		l = Lease{Last: NoRecord}
	}
	if c.observed && l == c.seen {
		return
	}
	c.seen, c.seenAt, c.observed = l, now, true
	if l.Holder == c.self {
		c.landed(l.Seq)
	}
}

// landed begins the term when the append of that very record began. An older renewal may be read late, while a newer
// one is under way: taking the newer one's time for it would stretch the term beyond what a challenger waits for.
func (c *Clock) landed(seq int64) {
	c.began = c.pending[seq]
	for older, at := range c.pending {
		if at.Before(c.began) {
			delete(c.pending, older)
		}
	}
}

// Wanted is the record to append now, if any: a renewal when a third of the term is over, or an acquisition when the
// holder has been silent for its whole term and the longest act after it.
func (c *Clock) Wanted(now time.Time) (r Record, ok bool) {
	if !c.observed || !c.newest.IsZero() && now.Sub(c.newest) < c.terms.Term/3 {
		return Record{}, false
	}
	switch {
	case c.seen.Holder == c.self && c.began.IsZero():
		// An earlier life of this name held it; its last act may still be under way.
		return c.acquisition(now, c.patience())
	case c.seen.Holder == c.self:
		if now.Sub(c.began) < c.terms.Term/3 {
			return Record{}, false
		}
		return Record{Kind: KindRenew, Duty: c.duty, Holder: c.self, Fence: c.seen.Fence}, true
	case c.seen.Holder == "":
		return c.acquisition(now, 0)
	}
	return c.acquisition(now, c.patience())
}

// patience outlasts whatever the old holder may do: it began its renewal before this router could read it, so its
// term ends before a term from the reading, and an act that it began at the very end is over after Longest more.
func (c *Clock) patience() time.Duration {
	return c.terms.Term + c.terms.Longest
}

func (c *Clock) acquisition(now time.Time, wait time.Duration) (r Record, ok bool) {
	if now.Sub(c.seenAt) < wait {
		return Record{}, false
	}
	return Record{Kind: KindAcquire, Duty: c.duty, Holder: c.self, After: c.seen.Last}, true
}

// Appending notes that the wanted record is about to be appended, and numbers it.
func (c *Clock) Appending(r Record, now time.Time) Record {
	r.Seq = now.UnixNano()
	c.newest = now
	c.pending[r.Seq] = now
	return r
}

// Released forgets the right to act at once.
func (c *Clock) Released() { c.began = time.Time{} }

// MayAct tells whether an act that begins now, and takes Longest at most, ends within the holder's term. It must be
// asked right before the act: a holder that was paused between the check and the act would act after its lease has
// lapsed, under a number that an endpoint which does not check numbers obeys.
func (c *Clock) MayAct(now time.Time) (fence int64, ok bool) {
	if c.seen.Holder != c.self || c.began.IsZero() || now.Sub(c.began) >= c.terms.Term {
		return 0, false
	}
	return c.seen.Fence, true
}

// Holds tells whether the stream names this router as the holder.
func (c *Clock) Holds() bool { return c.observed && c.seen.Holder == c.self }

// Seen is the newest state of the duty that was read.
func (c *Clock) Seen() Lease { return c.seen }
