package follow

import (
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

// backlog is what this router has not read yet of a topic. The zero value is none.
type backlog struct {
	// end is the furthest end of the log that is known, from an answer of the store or from another router, and since the
	// clock time since which this router is behind it.
	end   compactedlog.Position
	since time.Duration
	// target is the end of the log as stated by an answer that did not reach it, and sent the clock time at which that
	// read was sent. Later answers state later ends; a log that grows as fast as it is read would never be confirmed by
	// these.
	target  compactedlog.Position
	sent    time.Duration
	pending bool
	// skip is set if the rest is longer than what an answer brings.
	skip bool
	// logged is set once the backlog has been logged.
	logged bool
}

// reached returns when the read was sent whose stated end the position has reached. ok is false if none was open, or the
// log came back from an older copy meanwhile: what it lost may have been newer.
func (b *backlog) reached(p compactedlog.Position) (sent time.Duration, ok bool) {
	if !b.pending || p.Before(b.target) {
		return 0, false
	}
	ok = p.Generation == b.target.Generation
	b.pending, b.skip = false, false
	return b.sent, ok
}

// behind reports whether there are records that this router has not read.
func (f *Follower) behind() bool { return f.position.Before(f.backlog.end) }

// recordEnd records where the log ends, as stated by an answer or by another router.
func (f *Follower) recordEnd(end compactedlog.Position) {
	if !f.behind() {
		f.backlog.since = f.options.Clock()
	}
	if f.backlog.end.Before(end) {
		f.backlog.end = end
	}
}

// dropBacklog forgets what is known to lie beyond a position.
func (f *Follower) dropBacklog(end compactedlog.Position) {
	f.backlog.end, f.backlog.pending, f.backlog.skip = end, false, false
}

// recordPage records how far a read that was sent at the given time went. A page that reaches the end of the log shows
// that nothing newer existed then. One that does not shows this only once this router has read up to the end that it
// states.
func (f *Follower) recordPage(p compactedlog.Page, from compactedlog.Position, sent time.Duration) {
	if p.Complete() {
		f.dropBacklog(f.position)
		f.logCaughtUp()
		f.confirmRead(sent)
		return
	}
	f.recordEnd(p.StatedEnd())
	if !f.backlog.pending {
		f.backlog.target, f.backlog.sent, f.backlog.pending = p.StatedEnd(), sent, true
	}
	f.backlog.skip = p.LogEnd-p.Next > p.Next-from.Offset
	f.logBehind()
}

// pauseAfterRead returns the minimum time from the beginning of a read to the next one.
func (f *Follower) pauseAfterRead() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backlog.pending {
		return 0
	}
	return f.options.MinInterval
}

// Lag returns how many records of the topic are known to exist that this router has not read, and since when. It returns
// zeros if there are none.
func (f *Follower) Lag() (records int64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.behind() {
		return 0, 0
	}
	if f.backlog.end.Generation == f.position.Generation {
		records = f.backlog.end.Offset - f.position.Offset
	} else {
		records = f.backlog.end.Offset
	}
	return records, f.options.Clock() - f.backlog.since
}

func (f *Follower) logBehind() {
	if f.backlog.logged {
		return
	}
	f.backlog.logged = true
	_ = f.logger.Log(field.Event, event.TopicBehind, field.Topic, f.options.Name, field.Offset, f.position.Offset, field.End, f.backlog.end.Offset)
}

func (f *Follower) logCaughtUp() {
	if !f.backlog.logged || f.behind() {
		return
	}
	f.backlog.logged = false
	_ = f.logger.Log(field.Event, event.TopicCaughtUp, field.Topic, f.options.Name, field.Offset, f.position.Offset,
		field.AfterMs, (f.options.Clock() - f.backlog.since).Milliseconds())
}
