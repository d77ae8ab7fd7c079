package versionlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/versionhistory"
	"savoryfall/core/versionrecord"
)

// Topic is a compacted topic of the store.
type Topic interface {
	Newest(ctx context.Context) (p compactedlog.Page, err error)
	// PutAt writes the value of a key if the log ends at the offset, and returns where it ends then. The error is
	// compactedlog.ErrConflict if it does not.
	PutAt(ctx context.Context, key string, value []byte, at int64) (end int64, err error)
	// Generation returns the highest generation of the log that any answer of the store has shown, 0 if none has.
	Generation() int64
}

// Recorder keeps the record of software versions in the store. The exported fields are set before its use.
type Recorder struct {
	Topic   Topic
	History *versionhistory.History
	// Required reports whether the versions of the service must be recorded before its endpoints are used.
	Required func(service string) bool
	// Maintains reports whether this router keeps the record up to date for all, as one that reads the store.
	Maintains func() bool
	// OlderRouters reports whether routers that write no record are running, as far as this router knows.
	OlderRouters func() bool
	// OlderRoutersListed reports whether routers that write no record may have written to the store's list of routers at the
	// offset or later, and where the list ends.
	OlderRoutersListed func(ctx context.Context, since int64) (older bool, end int64, err error)
	// OnOffered is called after versions were found in the record, or written to it.
	OnOffered func()
	Logger    log.Logger

	wake chan struct{}
	// urgent is set while a version waits that no hub reports as recorded, and waitingSince is since when one waits.
	urgent       atomic.Bool
	waitingSince time.Time
	hubWait      time.Duration
	cancel       context.CancelFunc
	goroutines   background.Group
	// busy holds a value while a call to the store is made for the record. It guards the fields below.
	busy chan struct{}
	// known is set while end is where the topic ends, as far as this router knows, in a store of the generation.
	known      bool
	end        int64
	generation int64
	routersEnd int64
	verifiedAt time.Time
	learnedAt  time.Time
	learned    bool
	failing    bool
}

const (
	// recordKey is the key of the record. All services share one, so that it is read and written whole.
	recordKey = "versions"
	// verifyInterval is how often a router that maintains the record looks whether another one has written it: one that lists other
	// endpoints may have recorded a version as absent that this one offers.
	verifyInterval = 5 * time.Second
	// checkInterval is how often a router checks whether the record is to be written.
	checkInterval = time.Second
	// callTimeout limits a call to the store, which may be slow.
	callTimeout = 2 * time.Second
	// retryMin and retryMax bound the delay after a call that failed, and conflictDelay the one after another router's write.
	retryMin      = 50 * time.Millisecond
	retryMax      = time.Second
	conflictDelay = 20 * time.Millisecond
	// minHubWait and maxHubWait bound how long a router that follows a hub waits for it to report a version as recorded. They differ
	// by router, so that not all of them write at once beside a hub that reports nothing.
	minHubWait = time.Second
	maxHubWait = 2 * time.Second
	// learnInterval is the minimum time between two reads of the record for streams that clients resume.
	learnInterval = 200 * time.Millisecond
)

// Init prepares the recorder. It must be called before any other method.
func (r *Recorder) Init() {
	r.wake, r.busy = make(chan struct{}, 1), make(chan struct{}, 1)
	r.hubWait = minHubWait + rand.N(maxHubWait-minHubWait)
}

// Start keeps the record in the background until Stop.
func (r *Recorder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.goroutines.Go(func() { r.run(ctx) })
	return nil
}

// Stop ends the calls to the store.
func (r *Recorder) Stop(context.Context) error {
	r.cancel()
	r.goroutines.Stop()
	return nil
}

// Record has the recorder record the listed versions at once.
func (r *Recorder) Record() {
	r.urgent.Store(true)
	r.Wake()
}

// Wake has the recorder check at once whether the record is to be written.
func (r *Recorder) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Recorder) run(ctx context.Context) {
	for delay := retryMin; ctx.Err() == nil; {
		err := r.update(ctx)
		switch {
		case err == nil:
			r.recordSuccess()
			delay = retryMin
			background.Sleep(ctx, checkInterval, r.wake)
		case errors.Is(err, compactedlog.ErrConflict):
			background.Sleep(ctx, rand.N(conflictDelay), nil)
		case ctx.Err() == nil:
			r.recordFailure(err)
			background.Sleep(ctx, delay/2+rand.N(delay), nil)
			delay = min(2*delay, retryMax)
		}
	}
}

// update reads the record if this router needs it, and writes it if it says less than this router knows.
func (r *Recorder) update(ctx context.Context) (err error) {
	maintains := r.Maintains() && r.History.Began()
	if !maintains && !r.mustRecord(time.Now()) {
		return nil
	}
	if !r.acquire(ctx) {
		return ctx.Err()
	}
	defer r.release()
	r.verify(ctx)
	if !r.known || !r.History.Covered() || r.Topic.Generation() > r.generation {
		err = r.read(ctx)
		if err != nil {
			return err
		}
		r.OnOffered()
	}
	if r.OlderRouters() {
		r.History.Uncover(time.Now())
	}
	record, due := r.History.NextRecord(r.generation, time.Now())
	record.RoutersEnd = r.routersEnd
	needed := r.History.Waiting(r.Required) || maintains && due
	if !needed {
		return nil
	}
	err = r.write(ctx, record)
	if err == nil {
		r.OnOffered()
	}
	return err
}

// mustRecord reports whether a version waits that no other router is expected to record.
func (r *Recorder) mustRecord(now time.Time) bool {
	if !r.History.Waiting(r.Required) {
		r.urgent.Store(false)
		r.waitingSince = time.Time{}
		return false
	}
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
	return r.urgent.Load() || now.Sub(r.waitingSince) >= r.hubWait
}

// verify finds out whether another router has written the record since this one last read or wrote it.
func (r *Recorder) verify(ctx context.Context) {
	if !r.known || time.Since(r.verifiedAt) < verifyInterval {
		return
	}
	page, err := r.readTopic(ctx)
	r.verifiedAt = time.Now()
	r.known = err != nil || page.LogEnd == r.end && page.Generation == r.generation
}

func (r *Recorder) acquire(ctx context.Context) (ok bool) {
	select {
	case r.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Recorder) release() { <-r.busy }

// Learn reads the record for a router that does not know for itself which versions there were, unless it has just done so, and reports
// whether the store has answered.
func (r *Recorder) Learn(ctx context.Context) (ok bool) {
	if !r.acquire(ctx) {
		return false
	}
	defer r.release()
	if time.Since(r.learnedAt) < learnInterval {
		return r.learned
	}
	r.learnedAt = time.Now()
	err := r.read(ctx)
	if err != nil {
		r.logUnread(err)
	}
	r.learned = err == nil
	return r.learned
}

// read reads the record.
func (r *Recorder) read(ctx context.Context) (err error) {
	sent := time.Now()
	page, err := r.readTopic(ctx)
	if err != nil {
		r.known = false
		return err
	}
	record, reason := r.judge(page, sent)
	older, routersEnd, err := r.readRouters(ctx, record.RoutersEnd)
	if err != nil {
		r.known = false
		return err
	}
	if older && reason == "" {
		reason = versionrecord.OlderRouters
	}
	r.known, r.end, r.generation, r.routersEnd, r.verifiedAt = true, page.LogEnd, page.Generation, routersEnd, sent
	r.History.SetRecord(record, sent, reason == "")
	_ = r.Logger.Log(field.Event, event.VersionsRead, field.Offset, page.LogEnd, field.Generation, page.Generation, field.Versions, record.Versions(),
		field.CoveredMs, record.CoveredMs, field.Reason, reason)
	return nil
}

func (r *Recorder) readTopic(ctx context.Context) (p compactedlog.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Topic.Newest(ctx)
}

func (r *Recorder) readRouters(ctx context.Context, since int64) (older bool, end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.OlderRoutersListed(ctx, since)
}

// judge returns the record that a page holds, and why it proves nothing about the time before the read, if so.
func (r *Recorder) judge(page compactedlog.Page, now time.Time) (record versionrecord.Record, reason versionrecord.Unusable) {
	for _, stored := range page.Records {
		if stored.Key != recordKey {
			continue
		}
		record, err := versionrecord.Decode(stored.Value)
		if err != nil {
			_ = r.Logger.Log(field.Event, event.VersionsUnreadable, field.Offset, stored.Offset, field.Err, err)
			return versionrecord.Record{}, versionrecord.Unreadable
		}
		return record, record.Check(page.Generation, now)
	}
	if page.LogEnd > 0 || page.Generation > firstGeneration {
		return versionrecord.Record{}, versionrecord.Missing
	}
	return versionrecord.Complete(page.Generation, now), ""
}

// firstGeneration is the generation of a store that has never come back from an older copy.
const firstGeneration = 1

// write writes the record in place of the one that this router knows.
func (r *Recorder) write(ctx context.Context, record versionrecord.Record) (err error) {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	end, err := r.Topic.PutAt(ctx, recordKey, data, r.end)
	if err != nil {
		r.known = false
		return err
	}
	r.end, r.verifiedAt = end, sent
	r.History.RecordWritten(record, sent)
	_ = r.Logger.Log(field.Event, event.VersionsRecorded, field.Offset, end, field.Generation, record.Generation, field.Versions, record.Versions(),
		field.CoveredMs, record.CoveredMs)
	return nil
}

func (r *Recorder) recordFailure(err error) {
	if !r.failing {
		r.logUnread(err)
	}
	r.failing = true
}

func (r *Recorder) logUnread(err error) {
	_ = r.Logger.Log(field.Event, event.VersionsUnavailable, field.Err, err)
}

func (r *Recorder) recordSuccess() { r.failing = false }
