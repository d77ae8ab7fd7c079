package follow

import (
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

// Position returns the position up to which the topic is known, and the time of the read that last showed that there
// was nothing newer; ok is false if the topic has not been read yet.
func (f *Follower) Position() (end compactedlog.Position, sent time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.confirmedAt, f.synced
}

// ConfirmEnd records that another router found the end of the topic there, with a read sent at the given time since
// boot. If this router is behind that position, it reads the missing records unless it receives them in time.
func (f *Follower) ConfirmEnd(end compactedlog.Position, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || f.position.Before(end) {
		f.recordEnd(end)
		f.signal()
		return
	}
	if f.outdated(end) {
		return
	}
	f.confirmRead(sent)
}

// AdvanceTo records that another router has sent all changes up to the position.
func (f *Follower) AdvanceTo(end compactedlog.Position, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated(end) {
		return
	}
	f.recordRestore(end)
	f.moveTo(end)
	f.confirmRead(sent)
}

// outdated reports whether a position belongs to an earlier generation of the log than the newest one known. What was
// read up to there says nothing about the log as it is now.
func (f *Follower) outdated(p compactedlog.Position) bool {
	return p.Generation < max(f.position.Generation, f.topic.Generation())
}

// recordRestore reports that the log came back from an older copy if the position, up to which it is about to be known, is
// of a later generation.
func (f *Follower) recordRestore(end compactedlog.Position) {
	if f.synced && end.Generation > f.position.Generation {
		f.sink.Restored()
		_ = f.logger.Log(field.Event, event.StoreRestored, field.Topic, f.options.Name, field.Generation, end.Generation, field.From, f.position.Generation,
			field.Want, f.position.Offset, field.Offset, end.Offset)
	}
}

// moveTo advances the position. A later generation may well have lower offsets.
func (f *Follower) moveTo(end compactedlog.Position) {
	if !f.synced || f.position.Before(end) {
		f.position = end
	}
	f.synced = true
	if sent, ok := f.backlog.reached(f.position); ok {
		f.confirmRead(sent)
	}
	f.logCaughtUp()
}

// confirmRead records that nothing newer than the position existed when a read was sent, by this router or another.
func (f *Follower) confirmRead(sent time.Duration) {
	f.confirmedAt = max(f.confirmedAt, sent)
	f.sink.Read(sent)
}

// restored reports whether the log has come back from an older copy since the topic was read.
func (f *Follower) restored() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced && f.outdated(f.position)
}

// ApplySnapshot applies the newest record of every key, from another router that has read up to the position. The records
// are ignored if this router has read further itself.
func (f *Follower) ApplySnapshot(records []compactedlog.Record, end compactedlog.Position, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated(end) {
		return
	}
	f.recordRestore(end)
	if !f.synced || !end.Before(f.position) {
		f.sink.Replace(records)
	}
	f.moveTo(end)
	f.confirmRead(sent)
}
