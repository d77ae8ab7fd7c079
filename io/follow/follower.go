package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/keyed"
)

// Topic is where records are read.
type Topic interface {
	Newest(ctx context.Context) (p keyed.Page, err error)
	Since(ctx context.Context, from int64, wait time.Duration) (p keyed.Page, err error)
}

// Sink takes what was read.
type Sink interface {
	// Replace takes the newest record of every key, Apply those that were written since.
	Replace(records []keyed.Record)
	Apply(records []keyed.Record)
	// Read notes a read that was sent at the time since boot and found nothing newer than what was given.
	Read(sent time.Duration)
	// Failed notes a read that failed.
	Failed(err error)
}

// Options say how a topic is followed.
type Options struct {
	// Name is that of the topic in logs.
	Name string
	// Wait is how long a read waits at the end of the topic for a record.
	Wait time.Duration
	// Pause is the least time between two reads: a topic that changes many times a second is read in batches.
	Pause time.Duration
	// Grace is how long a router that was told of something newer waits to be given it before it reads itself.
	Grace time.Duration
	// Stale is the age of what is known from which on a router reads for itself, when nobody reads for it.
	Stale time.Duration
	// First is how long a starting router that knows nothing waits for another to tell it.
	First time.Duration
	// Clock is the time since boot, suspension included.
	Clock func() time.Duration
}

// Follower reads one topic for ever, itself or through the hub.
type Follower struct {
	topic   Topic
	sink    Sink
	options Options
	logger  log.Logger
	cancel  context.CancelFunc
	running background.Group
	wake    chan struct{}

	mu     sync.Mutex
	next   int64
	whole  bool
	behind bool
	lead   bool
	// behindAt is when this router was told of something newer, by the clock.
	behindAt time.Duration
	known    time.Duration
	// attended is when the hub answered last, firstBy until when a router that knows nothing waits for it.
	attended time.Duration
	firstBy  time.Duration

	failed int
	lostAt time.Time
}

const (
	// answerWithin is how much longer than it asked to wait a read may take. A connection that has gone silent shows
	// no other sign, and the bound for a configuration to be in force is two seconds.
	answerWithin = 700 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read; it doubles, so that a store that is coming back
	// is not met by all routers at once, yet is found within a second by the router that reads for the others.
	retryFirst = 80 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// followFirst and followMost are the same for the others, who hear from the hub when the store is back: with the
	// pauses of the hub, eighty routers made four of five calls of a day in its outages.
	followFirst = 600 * time.Millisecond
	followMost  = 2 * time.Second
	// slowAnswer is what a read may take after failures, when the store is slow rather than away.
	slowAnswer = 2 * time.Second
)

// New makes a follower that hands what it reads to the sink.
func New(t Topic, s Sink, o Options, logger log.Logger) *Follower {
	return &Follower{topic: t, sink: s, options: o, logger: logger, wake: make(chan struct{}, 1)}
}

// Start reads in the background until Stop.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.firstBy = f.options.Clock() + f.options.First
	f.running.Go(func() { f.run(ctx) })
	return nil
}

// Unaided ends a starting router's wait: there is nobody that could tell it what the topic holds.
func (f *Follower) Unaided() {
	f.mu.Lock()
	waits := !f.whole && f.firstBy > 0
	f.firstBy = 0
	f.mu.Unlock()
	if waits {
		f.rouse()
	}
}

// Attend notes that the hub has just answered. While it does, this router reads nothing because of age: what the hub cannot
// read it has others try, a few at a time, and hundreds of routers would only add to an outage.
func (f *Follower) Attend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attended = f.options.Clock()
}

// Stop ends the reading.
func (f *Follower) Stop(context.Context) error {
	if f.cancel != nil {
		f.cancel()
	}
	f.running.Stop()
	return nil
}

// Lead sets whether this router reads for others, and so all the time; else it reads only what it is not told.
func (f *Follower) Lead(lead bool) {
	f.mu.Lock()
	changed := f.lead != lead
	f.lead = lead
	f.mu.Unlock()
	if changed && lead {
		f.rouse()
	}
}

// Known is up to which offset the topic is known, and when the read was sent that last showed that there was no more.
func (f *Follower) Known() (next int64, sent time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.known, f.whole
}

// Confirm notes that another router found the topic to end at the offset, by a read that was sent at the time since
// boot. Where this router has not read that far, it reads unless it is given what it lacks.
func (f *Follower) Confirm(next int64, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.whole || f.next < next {
		if !f.behind {
			f.behindAt = f.options.Clock()
		}
		f.behind = true
		f.rouse()
		return
	}
	f.read(sent)
}

// Fed notes that another router has told all that changed up to the offset.
func (f *Follower) Fed(next int64, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.whole = max(f.next, next), true
	f.read(sent)
}

func (f *Follower) read(sent time.Duration) {
	f.behind = false
	f.known = max(f.known, sent)
	f.sink.Read(sent)
}

func (f *Follower) rouse() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		rest := f.rest()
		if rest > 0 {
			background.Pause(ctx, rest, f.wake)
			continue
		}
		began := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// Nothing ends this pause sooner: what cannot be read is not read more often because it is wanted.
			background.Pause(ctx, f.lost(err), nil)
			continue
		}
		f.regained()
		background.Pause(ctx, f.options.Pause-time.Since(began), f.wake)
	}
}

// rest is how long this router may rely on what it is told.
func (f *Follower) rest() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lead {
		return 0
	}
	now := f.options.Clock()
	if !f.whole {
		return f.firstBy - now
	}
	if f.behind {
		return f.behindAt + f.options.Grace - now
	}
	return max(f.known, f.attended) + f.options.Stale - now
}

// step makes one read. After a gap only the newest values tell what is in force.
func (f *Follower) step(ctx context.Context) (err error) {
	sent := f.options.Clock()
	f.mu.Lock()
	from, whole := f.next, f.whole
	f.mu.Unlock()
	var p keyed.Page
	if whole {
		p, err = f.since(ctx, from)
	} else {
		p, err = f.newest(ctx)
	}
	var trimmed keyed.TrimmedError
	if errors.As(err, &trimmed) {
		_ = f.logger.Log(field.Event, event.RecordsTrimmed, field.Topic, f.options.Name, field.Want, trimmed.Want, field.First, trimmed.First)
		f.mu.Lock()
		f.whole = false
		f.mu.Unlock()
		if whole {
			return f.step(ctx)
		}
		return nil
	}
	if err != nil {
		return err
	}
	f.take(p, from, whole, sent)
	return nil
}

// take hands on what was read, unless this router was told more in the meantime: older records would undo it.
func (f *Follower) take(p keyed.Page, from int64, whole bool, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if whole && f.next != from {
		return
	}
	if whole {
		f.sink.Apply(p.Records)
		f.next = max(f.next, p.Next)
	} else {
		f.sink.Replace(p.Records)
		f.next, f.whole = p.Next, true
	}
	f.read(sent)
}

func (f *Follower) since(ctx context.Context, from int64) (p keyed.Page, err error) {
	wait := f.options.Wait
	if f.failures() > 0 || !f.leads() {
		// A read that is needed now must not wait for a record: after a failure it shows that the store is back,
		// and without the hub it is what is known to be in force.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.patience())
	defer cancel()
	return f.topic.Since(ctx, from, wait)
}

func (f *Follower) leads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lead
}

func (f *Follower) newest(ctx context.Context) (p keyed.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.patience())
	defer cancel()
	return f.topic.Newest(ctx)
}

func (f *Follower) patience() time.Duration {
	if f.failures() > 1 {
		return slowAnswer
	}
	return answerWithin
}

func (f *Follower) lost(err error) (pause time.Duration) {
	f.sink.Failed(err)
	if f.failures() == 0 {
		f.lostAt = time.Now()
		_ = f.logger.Log(field.Event, event.StoreLost, field.Topic, f.options.Name, field.Err, err)
	}
	first, most := followFirst, followMost
	if f.leads() {
		first, most = retryFirst, retryMost
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed++
	pause = min(first<<min(f.failed-1, 8), most)
	return pause/2 + rand.N(pause/2)
}

func (f *Follower) regained() {
	f.mu.Lock()
	failed, next := f.failed, f.next
	f.failed = 0
	f.mu.Unlock()
	if failed == 0 {
		return
	}
	_ = f.logger.Log(field.Event, event.StoreRegained, field.Topic, f.options.Name, field.Failures, failed,
		field.AfterMs, time.Since(f.lostAt).Milliseconds(), field.Offset, next)
}

func (f *Follower) failures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Wants tells whether there is something newer that this router has not read.
func (f *Follower) Wants() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind || !f.whole
}

// Failing tells whether this router cannot read by itself.
func (f *Follower) Failing() bool { return f.failures() > 0 }

// Given takes the newest record of every key from another router that has read up to the offset. What this router has read
// itself beyond that is newer.
func (f *Follower) Given(records []keyed.Record, next int64, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.whole || next >= f.next {
		f.sink.Replace(records)
	}
	f.next, f.whole = max(f.next, next), true
	f.read(sent)
}
