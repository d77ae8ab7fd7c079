package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

const (
	// answerTimeout is how much longer than the requested wait a read may take before the next one is sent. There is no
	// other sign of a connection that has gone silent, and a configuration must be in force within two seconds.
	answerTimeout = 700 * time.Millisecond
	// lateAnswerTimeout is how much longer than the requested wait a read may take before it is given up, in case the
	// store is slow rather than unavailable.
	lateAnswerTimeout = 2 * time.Second
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
	// hurryAfter is the age of a read from which on a router that is to read for others sends another one. A younger one may
	// well be answered.
	hurryAfter = 100 * time.Millisecond
)

// Reasons to send another read while one is not answered.
var (
	errLate    = errors.New("the store does not answer")
	errHurried = errors.New("the store does not answer, and this router is to read for others")
)

// tryRead makes a read, and returns an error if it fails or is not answered in time. A late read goes on, and what it returns is still
// used, but the next read does not wait for it: a call that was sent in an outage of the store may never be answered, and the
// router would stay on old data after the store's return until the call times out.
func (f *Follower) tryRead(ctx context.Context, sent time.Duration) (err error) {
	wait := f.pollWait()
	done := make(chan error, 1)
	f.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, wait+lateAnswerTimeout)
		defer cancel()
		err := f.readOnce(ctx, wait)
		if err == nil {
			f.recordSuccess(sent)
		}
		done <- err
	})
	return f.awaitRead(ctx, done, wait+f.patience())
}

// awaitRead waits for the outcome of a read for the given time, or until this router is to read for others.
func (f *Follower) awaitRead(ctx context.Context, done <-chan error, patience time.Duration) (err error) {
	began := time.Now()
	late := time.NewTimer(patience)
	defer late.Stop()
	err = errLate
	for {
		select {
		case failed := <-done:
			return failed
		case <-ctx.Done():
			return ctx.Err()
		case <-late.C:
			return err
		case <-f.led:
			err = errHurried
			late.Reset(max(0, min(patience, hurryAfter)-time.Since(began)))
		}
	}
}

// pollWait returns how long the next read waits for a new record.
func (f *Follower) pollWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 || !f.leader || f.options.Clock()-f.confirmedAt > f.options.MaxAge/2 {
		// Do not wait for a new record when the result is needed now: after a failure it shows that the store is
		// back, and without the hub, or for a hub that cannot read, it shows what is in force.
		return 0
	}
	return f.options.PollWait
}

// patience returns how much longer than the requested wait a read may take before another one is sent.
func (f *Follower) patience() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := f.unassistedInterval()
	if f.leader || !f.synced || interval == 0 {
		return answerTimeout
	}
	return min(interval, answerTimeout)
}

// readOnce makes one read. If records have been trimmed unread, or the log is of another generation, it starts over from
// the newest value of each key. It also reads these if the log has grown by more than the next answer can hold.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) (err error) {
	sent := f.options.Clock()
	f.mu.Lock()
	from, synced := f.position, f.synced && !f.outdated(f.position)
	skip := synced && f.backlog.skip
	f.mu.Unlock()
	var p compactedlog.Page
	if synced && !skip {
		p, err = f.topic.Since(ctx, from.Offset, wait)
	} else {
		p, err = f.topic.Newest(ctx)
	}
	var trimmed compactedlog.TrimmedError
	if errors.As(err, &trimmed) {
		if f.restored() {
			return f.readOnce(ctx, wait)
		}
		if f.movedFrom(from) {
			return nil
		}
		_ = f.logger.Log(field.Event, event.RecordsTrimmed, field.Topic, f.options.Name, field.Want, trimmed.Requested, field.First, trimmed.First)
		f.mu.Lock()
		f.synced = false
		f.dropBacklog(compactedlog.Position{})
		f.mu.Unlock()
		if synced {
			return f.readOnce(ctx, wait)
		}
		return nil
	}
	if err != nil {
		return err
	}
	if synced && p.Generation > from.Generation {
		return f.readOnce(ctx, wait)
	}
	return f.applyPage(p, from, synced && !skip, sent)
}

// errOutdated is returned for a page of an earlier generation: it was answered before the log came back from an older
// copy, and shows nothing. If all pages are, the store's generation has gone back, which it must not.
var errOutdated = errors.New("the store answered with an earlier generation of its log")

// errLogShrank is returned for the newest records of a log that ends before the position that this router has reached.
var errLogShrank = errors.New("the log ends before the records that were read of it")

// reaches reports whether a page goes at least as far as this router, which has received newer records during the read.
func (f *Follower) reaches(p compactedlog.Page) bool {
	return p.Generation == f.position.Generation && !p.End().Before(f.position)
}

// applyPage passes a page to the sink, unless this router has received newer records during the read than it has: older
// records would undo them. continued says that the page continues from the position before.
func (f *Follower) applyPage(p compactedlog.Page, from compactedlog.Position, continued bool, sent time.Duration) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated(p.End()) {
		return errOutdated
	}
	moved := f.synced && f.position != from
	if moved && !f.reaches(p) {
		return nil
	}
	if moved && continued {
		p.Records = slices.DeleteFunc(slices.Clone(p.Records), func(r compactedlog.Record) bool { return r.Offset < f.position.Offset })
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

// movedFrom reports whether this router has received newer records than those up to the position.
func (f *Follower) movedFrom(p compactedlog.Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced && f.position != p
}

// recordFailure records that a read which was sent at the given time failed, and returns how long to wait before the next one.
func (f *Follower) recordFailure(err error, sent time.Duration) (pause time.Duration) {
	f.sink.Failed(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures == 0 {
		f.failedSince = time.Now()
		_ = f.logger.Log(field.Event, event.StoreLost, field.Topic, f.options.Name, field.Err, err)
	}
	f.failures++
	f.failedSent = sent
	interval := f.unassistedInterval()
	f.retryAt = sent + interval
	retryMin, retryMax := followerRetryMin, followerRetryMax
	if f.leader {
		retryMin, retryMax = leaderRetryMin, leaderRetryMax
	}
	pause = min(retryMin<<min(f.failures-1, 8), retryMax)
	pause = pause/2 + rand.N(pause/2)
	if !f.leader && interval > 0 {
		pause = min(pause, max(f.retryAt-f.options.Clock(), 0))
	}
	return pause
}

// recordSuccess records that a read which was sent at the given time has been answered. If a later one has failed, it does not
// show that the store serves this router now.
func (f *Follower) recordSuccess(sent time.Duration) {
	f.mu.Lock()
	failures, end := f.failures, f.position
	if failures == 0 || sent < f.failedSent {
		f.mu.Unlock()
		return
	}
	f.failures, f.retryAt = 0, 0
	since := f.failedSince
	f.mu.Unlock()
	_ = f.logger.Log(field.Event, event.StoreRegained, field.Topic, f.options.Name, field.Failures, failures,
		field.AfterMs, time.Since(since).Milliseconds(), field.Offset, end.Offset)
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

// FailedSince returns whether this router's own reads fail, and the last one that failed was sent at the given time since boot or later.
// One that was sent before, in an outage of the store, may fail long after it.
func (f *Follower) FailedSince(t time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures > 0 && f.failedSent >= t
}
