package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/keyed"
)

// Topic is where records are read.
type Topic interface {
	Newest(ctx context.Context) (p keyed.Page, err error)
	Since(ctx context.Context, from int64, wait time.Duration) (p keyed.Page, err error)
}

// Sink takes what was read; the follower calls it from one goroutine.
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
	// Clock is the time since boot, suspension included.
	Clock func() time.Duration
}

// Follower reads one topic for ever.
type Follower struct {
	topic   Topic
	sink    Sink
	options Options
	logger  log.Logger
	cancel  context.CancelFunc
	running background.Group

	next   int64
	whole  bool
	failed int
	lostAt time.Time
}

const (
	// answerWithin is how much longer than it asked to wait a read may take. A connection that has gone silent shows
	// no other sign, and the bound for a configuration to be in force is two seconds.
	answerWithin = 700 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read; it doubles, so that a store that is coming back
	// is not met by all routers at once, yet is found within a second.
	retryFirst = 80 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// slowAnswer is what a read may take after failures, when the store is slow rather than away.
	slowAnswer = 2 * time.Second
)

// New makes a follower that hands what it reads to the sink.
func New(t Topic, s Sink, o Options, logger log.Logger) *Follower {
	return &Follower{topic: t, sink: s, options: o, logger: logger}
}

// Start reads in the background until Stop.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { f.run(ctx) })
	return nil
}

// Stop ends the reading.
func (f *Follower) Stop(context.Context) error {
	if f.cancel != nil {
		f.cancel()
	}
	f.running.Stop()
	return nil
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := f.options.Pause - time.Since(began)
		if err != nil {
			pause = f.lost(err)
		} else {
			f.regained()
		}
		sleep(ctx, pause)
	}
}

// step makes one read. After a gap only the newest values tell what is in force.
func (f *Follower) step(ctx context.Context) (err error) {
	sent := f.options.Clock()
	var p keyed.Page
	if f.whole {
		p, err = f.since(ctx)
	} else {
		p, err = f.newest(ctx)
	}
	if err != nil {
		var trimmed keyed.TrimmedError
		if errors.As(err, &trimmed) {
			_ = f.logger.Log("event", "recordsTrimmed", "topic", f.options.Name, "want", trimmed.Want, "first", trimmed.First)
			f.whole = false
			return nil
		}
		return err
	}
	if f.whole {
		f.sink.Apply(p.Records)
	} else {
		f.sink.Replace(p.Records)
	}
	f.next, f.whole = p.Next, true
	f.sink.Read(sent)
	return nil
}

func (f *Follower) since(ctx context.Context) (p keyed.Page, err error) {
	wait := f.options.Wait
	if f.failed > 0 {
		// The first read after a failure answers at once, so that the loss is over as soon as the store is back.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.patience())
	defer cancel()
	return f.topic.Since(ctx, f.next, wait)
}

func (f *Follower) newest(ctx context.Context) (p keyed.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.patience())
	defer cancel()
	return f.topic.Newest(ctx)
}

func (f *Follower) patience() time.Duration {
	if f.failed > 1 {
		return slowAnswer
	}
	return answerWithin
}

func (f *Follower) lost(err error) (pause time.Duration) {
	f.sink.Failed(err)
	if f.failed == 0 {
		f.lostAt = time.Now()
		_ = f.logger.Log("event", "storeLost", "topic", f.options.Name, "err", err)
	}
	f.failed++
	pause = min(retryFirst<<min(f.failed-1, 8), retryMost)
	return pause/2 + rand.N(pause/2)
}

func (f *Follower) regained() {
	if f.failed == 0 {
		return
	}
	_ = f.logger.Log("event", "storeRegained", "topic", f.options.Name, "failures", f.failed,
		"afterMs", time.Since(f.lostAt).Milliseconds(), "offset", f.next)
	f.failed = 0
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
