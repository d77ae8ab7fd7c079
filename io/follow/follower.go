package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/compactedlog"
)

// Topic reads the records of a topic.
type Topic interface {
	Newest(ctx context.Context) (p compactedlog.Page, err error)
	Since(ctx context.Context, from int64, wait time.Duration) (p compactedlog.Page, err error)
	// Generation returns the highest generation of the log that any answer of the store has shown to this router, 0 if
	// none has.
	Generation() int64
}

// Sink receives the records that were read.
type Sink interface {
	// Replace receives the newest record of every key, Apply the records written since then.
	Replace(records []compactedlog.Record)
	Apply(records []compactedlog.Record)
	// Read reports that a read sent at the given time since boot found nothing newer than the records already
	// passed on.
	Read(sent time.Duration)
	// Failed reports a read that failed.
	Failed(err error)
	// Restored reports, before what is read next, that the store came back from an older copy. What the copy lacks may be
	// written again soon.
	Restored()
}

// Options configure how a topic is followed.
type Options struct {
	// Name is the name of the topic in logs.
	Name string
	// PollWait is how long a read at the end of the topic waits for a new record.
	PollWait time.Duration
	// MinInterval is the minimum time between two reads, so that a topic that changes many times a second is read in
	// batches.
	MinInterval time.Duration
	// Grace is how long a router that knows of newer records waits to receive them from the hub before it reads
	// them itself.
	Grace time.Duration
	// MaxAge is the age at which a router reads the topic itself, if its hub does not answer or UnassistedInterval allows it.
	MaxAge time.Duration
	// UnassistedInterval returns the time between two reads of a router whose hub answers with old data, after a number of reads that
	// failed in a row, or 0 if the router relies on the hub however old its data are. The store may turn away the hub and those that
	// read for it. It may be nil.
	UnassistedInterval func(failures int) time.Duration
	// StartupWait is how long a starting router without data waits for another router to send it.
	StartupWait time.Duration
	// Clock returns the time since boot, including time spent suspended.
	Clock func() time.Duration
}

// Follower follows one topic until it is stopped, with its own reads or through the hub.
type Follower struct {
	topic      Topic
	sink       Sink
	options    Options
	logger     log.Logger
	cancel     context.CancelFunc
	goroutines background.Group
	wake       chan struct{}
	// led wakes up a router that waits, after a failed read or for the answer to one, and is to read for others now.
	led chan struct{}

	mu sync.Mutex
	// position is up to where the topic is known.
	position    compactedlog.Position
	synced      bool
	leader      bool
	confirmedAt time.Duration
	backlog     backlog
	// hubAnsweredAt is when the hub last answered. startupDeadline is when a starting router without data stops
	// waiting for it.
	hubAnsweredAt   time.Duration
	startupDeadline time.Duration

	// failures is the number of reads that failed in a row, failedSince when the first of them did, and failedSent the clock time at
	// which the last one was sent.
	failures    int
	failedSince time.Time
	failedSent  time.Duration
	// retryAt is the clock time from which on a router whose hub answers with old data may read again after a failure.
	retryAt time.Duration
	// hurriedAt is the clock time at which this router last began to read for others without a delay.
	hurriedAt time.Duration
}

// New returns a follower that passes the records it reads to the sink.
func New(t Topic, s Sink, o Options, logger log.Logger) *Follower {
	return &Follower{topic: t, sink: s, options: o, logger: logger, wake: make(chan struct{}, 1), led: make(chan struct{}, 1)}
}

// Start follows the topic in the background until Stop.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.startupDeadline = f.options.Clock() + f.options.StartupWait
	f.goroutines.Go(func() { f.run(ctx) })
	return nil
}

// EndStartupWait ends the startup wait because no other router can send the contents of the topic.
func (f *Follower) EndStartupWait() {
	f.mu.Lock()
	waiting := !f.synced && f.startupDeadline > 0
	f.startupDeadline = 0
	f.mu.Unlock()
	if waiting {
		f.signal()
	}
}

// HubAnswered records that the hub has just answered. As long as it does, this router does not read because its data is
// old, unless it may read unassisted: if the hub cannot read, it assigns a few other routers at a time to try, and reads by
// hundreds of routers would only make an outage worse.
func (f *Follower) HubAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hubAnsweredAt = f.options.Clock()
}

// Stop stops following.
func (f *Follower) Stop(context.Context) error {
	if f.cancel != nil {
		f.cancel()
	}
	f.goroutines.Stop()
	return nil
}

// SetLeader sets whether this router reads for others. A leader reads continuously; other routers read only what they
// do not receive from the hub. A router that becomes a leader reads at once, also if it is waiting after a failed read, unless
// it became one within hurryInterval before.
func (f *Follower) SetLeader(leader bool) {
	f.mu.Lock()
	began := leader && !f.leader
	f.leader = leader
	hurried := began && f.mayHurry()
	if hurried {
		f.failures = min(f.failures, 1)
	}
	f.mu.Unlock()
	if began {
		f.signal()
	}
	if hurried {
		signal(f.led)
	}
}

// mayHurry reports whether this router may read before its delay after failed reads has passed, and counts that it does.
func (f *Follower) mayHurry() bool {
	now := f.options.Clock()
	if f.hurriedAt > 0 && now < f.hurriedAt+hurryInterval {
		return false
	}
	f.hurriedAt = now
	return true
}

// dropLed takes back the wake-up of a router that reads already.
func (f *Follower) dropLed() {
	select {
	case <-f.led:
	default:
	}
}

func (f *Follower) signal() { signal(f.wake) }

func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		idleTime := f.idleTime()
		if idleTime > 0 {
			background.Sleep(ctx, idleTime, f.wake)
			continue
		}
		began := time.Now()
		f.dropLed()
		sent := f.options.Clock()
		err := f.tryRead(ctx, sent)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errHurried) {
			continue
		}
		if err != nil {
			// The wake channel is not used here: a request for newer records must not shorten the delay after a
			// failure.
			background.Sleep(ctx, f.recordFailure(err, sent), f.led)
			continue
		}
		background.Sleep(ctx, f.pauseAfterRead()-time.Since(began), f.wake)
	}
}

// idleTime returns how long this router may still rely on the hub before it reads itself.
func (f *Follower) idleTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader {
		return 0
	}
	now := f.options.Clock()
	if !f.synced {
		return f.startupDeadline - now
	}
	if f.outdated(f.position) || f.backlog.pending {
		return 0
	}
	if f.behind() {
		return f.backlog.since + f.options.Grace - now
	}
	due := max(f.confirmedAt, f.hubAnsweredAt) + f.options.MaxAge
	if f.unassistedInterval() > 0 {
		due = min(due, max(f.confirmedAt+f.options.MaxAge, f.retryAt))
	}
	return due - now
}

// unassistedInterval returns the time between two reads that this router makes although its hub answers, 0 if it makes none.
func (f *Follower) unassistedInterval() time.Duration {
	if f.options.UnassistedInterval == nil {
		return 0
	}
	return f.options.UnassistedInterval(f.failures)
}
