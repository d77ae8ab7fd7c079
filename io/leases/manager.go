package leases

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/lease"
	"savoryfall/io/platformlog"
)

// Stream is the stream of the log that carries the leases.
const Stream = "leases"

const (
	pageRecords   = 500
	longPoll      = 20 * time.Second
	readTimeout   = 30 * time.Second
	appendTimeout = 2 * time.Second
	maxRetry      = time.Second
	steps         = 10
)

// Log is what the keeper needs of the log service.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// Keeper holds the leases of the duties that this router shall do.
type Keeper struct {
	log     Log
	logger  log.Logger
	self    string
	terms   lease.Terms
	mine    func(duty string) bool
	mu      sync.Mutex
	table   lease.Table
	clocks  map[string]*lease.Clock
	fresh   bool
	cancel  context.CancelFunc
	running background.Group
}

// New makes a keeper; mine tells which duties this router shall try to hold.
func New(l Log, self string, terms lease.Terms, mine func(duty string) bool, logger log.Logger) *Keeper {
	return &Keeper{log: l, self: self, terms: terms, mine: mine, logger: logger, clocks: map[string]*lease.Clock{}}
}

// Watch begins to look after a duty.
func (k *Keeper) Watch(duty string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clocks[duty] == nil {
		k.clocks[duty] = lease.NewClock(k.self, duty, k.terms)
	}
}

// MayAct tells whether this router may act for the duty right now, and under which fencing number.
func (k *Keeper) MayAct(duty string) (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.clocks[duty]
	if c == nil {
		return 0, false
	}
	return c.MayAct(time.Now())
}

// Start reads and renews in the background until Stop.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.running.Go(func() { k.tail(ctx) })
	k.running.Go(func() {
		background.Every(ctx, k.terms.Term/steps, func(now time.Time) { k.step(ctx, now) })
	})
	return nil
}

// Stop gives the leases back, so that another router need not wait for their term to end.
func (k *Keeper) Stop(ctx context.Context) error {
	k.cancel()
	k.running.Stop()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for _, r := range k.releases() {
		_, err := k.log.Append(ctx, Stream, r.Encode())
		if err != nil {
			_ = k.logger.Log("event", "leaseNotReleased", "duty", r.Duty, "err", err)
		}
	}
	return nil
}

func (k *Keeper) releases() (records []lease.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for duty, c := range k.clocks {
		if c.Holds() {
			records = append(records, lease.Record{Kind: lease.KindRelease, Duty: duty, Holder: k.self, Fence: c.Seen().Fence})
			c.Released()
		}
	}
	return records
}

func (k *Keeper) tail(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = maxRetry
	for ctx.Err() == nil {
		err := k.readPage(ctx)
		if err == nil {
			wait.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		_ = k.logger.Log("event", "leasesBehind", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (k *Keeper) readPage(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	k.mu.Lock()
	next, wait := k.table.Next(), time.Duration(0)
	if k.fresh {
		wait = longPoll
	}
	k.mu.Unlock()
	p, err := k.log.Read(ctx, Stream, next, pageRecords, wait)
	var trimmed platformlog.TrimmedError
	k.mu.Lock()
	defer k.mu.Unlock()
	if errors.As(err, &trimmed) {
		k.table.SkipTo(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	for _, r := range p.Records {
		k.table.Apply(r.Offset, r.Data)
	}
	k.fresh = k.table.Next() >= p.Next
	k.observe()
	return nil
}

// observe is called only when the stream was read to its end: a holder seen in an old record may be long gone.
func (k *Keeper) observe() {
	if !k.fresh {
		return
	}
	now := time.Now()
	for duty, c := range k.clocks {
		l, known := k.table.Lease(duty)
		held := c.Holds()
		c.Observe(l, known, now)
		if c.Holds() != held {
			_ = k.logger.Log("event", "lease", "duty", duty, "held", !held, "holder", l.Holder, "fence", l.Fence)
		}
	}
}

func (k *Keeper) step(ctx context.Context, now time.Time) {
	for _, r := range k.wanted(now) {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := k.log.Append(ctx, Stream, r.Encode())
		cancel()
		if err != nil {
			_ = k.logger.Log("event", "leaseNotWritten", "duty", r.Duty, "kind", r.Kind, "err", err)
		}
	}
}

func (k *Keeper) wanted(now time.Time) (records []lease.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fresh {
		k.observe()
	}
	for duty, c := range k.clocks {
		if !c.Holds() && !k.mine(duty) {
			continue
		}
		if r, ok := c.Wanted(now); ok {
			records = append(records, c.Appending(r, time.Now()))
		}
	}
	return records
}
