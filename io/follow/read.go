package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

const (
	// answerTimeout is how much longer than the requested wait a read may take. There is no other sign of a
	// connection that has gone silent, and a configuration must be in force within two seconds.
	answerTimeout = 700 * time.Millisecond
	// leaderRetryMin and leaderRetryMax bound the delay after a failed read. It doubles with each failure, so that
	// routers do not all call a recovering store at once, yet the router that reads for the others notices the
	// recovery within a second.
	leaderRetryMin = 80 * time.Millisecond
	leaderRetryMax = 800 * time.Millisecond
	// followerRetryMin and followerRetryMax are the bounds for the other routers, which learn from the hub that the
	// store is available again. With the hub's shorter delays, four fifths of the calls that eighty routers made in a
	// day were made during the store's outages.
	followerRetryMin = 600 * time.Millisecond
	followerRetryMax = 2 * time.Second
	// hurryInterval is the minimum time between two times that a router which is to read for others does without its delay. A hub
	// that learns from it what others have read asks it again and again, though its own reads fail.
	hurryInterval = 5 * time.Second
	// slowAnswerTimeout is the read timeout after repeated failures, in case the store is slow rather than
	// unavailable.
	slowAnswerTimeout = 2 * time.Second
)

// readOnce makes one read. If records have been trimmed unread, or the log is of another generation, it starts over from
// the newest value of each key. It also reads these if the log has grown by more than the next answer can hold.
func (f *Follower) readOnce(ctx context.Context) (err error) {
	sent := f.options.Clock()
	f.mu.Lock()
	from, synced := f.position, f.synced && !f.outdated(f.position)
	skip := synced && f.backlog.skip
	f.mu.Unlock()
	var p compactedlog.Page
	if synced && !skip {
		p, err = f.readSince(ctx, from.Offset)
	} else {
		p, err = f.readNewest(ctx)
	}
	var trimmed compactedlog.TrimmedError
	if errors.As(err, &trimmed) {
		if f.restored() {
			return f.readOnce(ctx)
		}
		_ = f.logger.Log(field.Event, event.RecordsTrimmed, field.Topic, f.options.Name, field.Want, trimmed.Requested, field.First, trimmed.First)
		f.mu.Lock()
		f.synced = false
		f.dropBacklog(compactedlog.Position{})
		f.mu.Unlock()
		if synced {
			return f.readOnce(ctx)
		}
		return nil
	}
	if err != nil {
		return err
	}
	if synced && p.Generation > from.Generation {
		return f.readOnce(ctx)
	}
	return f.applyPage(p, from, synced && !skip, sent)
}

// errOutdated is returned for a page of an earlier generation: it was answered before the log came back from an older
// copy, and shows nothing. If all pages are, the store's generation has gone back, which it must not.
var errOutdated = errors.New("the store answered with an earlier generation of its log")

// errLogShrank is returned for the newest records of a log that ends before the position that this router has reached.
var errLogShrank = errors.New("the log ends before the records that were read of it")

// applyPage passes a page to the sink, unless this router has received newer records during the read: older
// records would undo them. continued says that the page continues from the position before.
func (f *Follower) applyPage(p compactedlog.Page, from compactedlog.Position, continued bool, sent time.Duration) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated(p.End()) {
		return errOutdated
	}
	if f.synced && f.position != from {
		return nil
	}
	if f.synced && p.End().Before(f.position) {
		// The next read continues from the position, which the store then refuses.
		f.backlog.skip = false
		return errLogShrank
	}
	f.recordRestore(p.End())
	if continued {
		f.sink.Apply(p.Records)
	} else {
		f.sink.Replace(p.Records)
	}
	f.moveTo(p.End())
	f.recordPage(p, from, sent)
	return nil
}

func (f *Follower) readSince(ctx context.Context, from int64) (p compactedlog.Page, err error) {
	wait := f.options.PollWait
	if f.failureCount() > 0 || !f.isLeader() {
		// Do not wait for a new record when the result is needed now: after a failure it shows that the store is
		// back, and without the hub it shows what is in force.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.readTimeout())
	defer cancel()
	return f.topic.Since(ctx, from, wait)
}

func (f *Follower) isLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

func (f *Follower) readNewest(ctx context.Context) (p compactedlog.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.readTimeout())
	defer cancel()
	return f.topic.Newest(ctx)
}

func (f *Follower) readTimeout() time.Duration {
	if f.failureCount() > 1 {
		return slowAnswerTimeout
	}
	return answerTimeout
}

func (f *Follower) recordFailure(err error) (pause time.Duration) {
	f.sink.Failed(err)
	if f.failureCount() == 0 {
		f.failedSince = time.Now()
		_ = f.logger.Log(field.Event, event.StoreLost, field.Topic, f.options.Name, field.Err, err)
	}
	retryMin, retryMax := followerRetryMin, followerRetryMax
	if f.isLeader() {
		retryMin, retryMax = leaderRetryMin, leaderRetryMax
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	f.failedAt = f.options.Clock()
	pause = min(retryMin<<min(f.failures-1, 8), retryMax)
	return pause/2 + rand.N(pause/2)
}

func (f *Follower) recordSuccess() {
	f.mu.Lock()
	failures, end := f.failures, f.position
	f.failures = 0
	f.mu.Unlock()
	if failures == 0 {
		return
	}
	_ = f.logger.Log(field.Event, event.StoreRegained, field.Topic, f.options.Name, field.Failures, failures,
		field.AfterMs, time.Since(f.failedSince).Milliseconds(), field.Offset, end.Offset)
}

func (f *Follower) failureCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures
}

// Behind returns whether there are newer records that this router has not read.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind() || !f.synced
}

// Failing returns whether this router's own reads fail.
func (f *Follower) Failing() bool { return f.failureCount() > 0 }

// FailedSince returns whether this router's own reads fail and the last one has failed since the given time since boot.
func (f *Follower) FailedSince(t time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures > 0 && f.failedAt >= t
}
