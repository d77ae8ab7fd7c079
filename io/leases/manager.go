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

// Stream is the name of the log stream that carries the leases.
const Stream = "leases"

const (
	maxPageRecords = 500
	longPollWait   = 20 * time.Second
	readTimeout    = 30 * time.Second
	appendTimeout  = 2 * time.Second
	maxRetryDelay  = time.Second
	stepsPerTerm   = 10
)

// Log is the part of the log service's client that the manager uses.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// Manager acquires and renews the leases of the duties that are assigned to this router.
type Manager struct {
	log      Log
	logger   log.Logger
	self     string
	terms    lease.Terms
	assigned func(duty string) bool
	mu       sync.Mutex
	table    lease.Table
	trackers map[string]*lease.Tracker
	caughtUp bool
	cancel   context.CancelFunc
	tasks    background.Group
}

// New returns a manager; assigned reports which duties this router should try to hold.
func New(l Log, self string, terms lease.Terms, assigned func(duty string) bool, logger log.Logger) *Manager {
	return &Manager{log: l, self: self, terms: terms, assigned: assigned, logger: logger, trackers: map[string]*lease.Tracker{}}
}

// Watch starts tracking the lease of a duty.
func (m *Manager) Watch(duty string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.trackers[duty] == nil {
		m.trackers[duty] = lease.NewTracker(m.self, duty, m.terms)
	}
}

// MayAct reports whether this router may act for the duty now, and with which fencing token.
func (m *Manager) MayAct(duty string) (fence int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	tracker := m.trackers[duty]
	if tracker == nil {
		return 0, false
	}
	return tracker.MayAct(time.Now())
}

// Start follows the stream and renews leases in the background until Stop is called.
func (m *Manager) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tasks.Go(func() { m.follow(ctx) })
	m.tasks.Go(func() {
		background.Every(ctx, m.terms.Term/stepsPerTerm, func(now time.Time) { m.appendDue(ctx, now) })
	})
	return nil
}

// Stop releases the held leases, so that other routers need not wait until they expire.
func (m *Manager) Stop(ctx context.Context) error {
	m.cancel()
	m.tasks.Stop()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for _, r := range m.releaseAll() {
		_, err := m.log.Append(ctx, Stream, r.Encode())
		if err != nil {
			_ = m.logger.Log("event", "leaseNotReleased", "duty", r.Duty, "err", err)
		}
	}
	return nil
}

func (m *Manager) releaseAll() (records []lease.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for duty, tracker := range m.trackers {
		if tracker.Holds() {
			records = append(records, lease.Record{Kind: lease.KindRelease, Duty: duty, Holder: m.self, Fence: tracker.Current().Fence})
			tracker.Relinquish()
		}
	}
	return records
}

func (m *Manager) follow(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := m.readPage(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		_ = m.logger.Log("event", "leasesBehind", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

func (m *Manager) readPage(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m.mu.Lock()
	next, wait := m.table.Next(), time.Duration(0)
	if m.caughtUp {
		wait = longPollWait
	}
	m.mu.Unlock()
	p, err := m.log.Read(ctx, Stream, next, maxPageRecords, wait)
	var trimmed platformlog.TrimmedError
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.As(err, &trimmed) {
		m.table.SkipTo(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	for _, r := range p.Records {
		m.table.Apply(r.Offset, r.Data)
	}
	m.caughtUp = m.table.Next() >= p.Next
	m.updateTrackers()
	return nil
}

// updateTrackers updates the trackers only when the stream was read to its end, since the holder in an old record may
// be gone.
func (m *Manager) updateTrackers() {
	if !m.caughtUp {
		return
	}
	now := time.Now()
	for duty, tracker := range m.trackers {
		l, known := m.table.Lease(duty)
		held := tracker.Holds()
		tracker.Observe(l, known, now)
		if tracker.Holds() != held {
			_ = m.logger.Log("event", "lease", "duty", duty, "held", !held, "holder", l.Holder, "fence", l.Fence)
		}
	}
}

func (m *Manager) appendDue(ctx context.Context, now time.Time) {
	for _, r := range m.dueRecords(now) {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := m.log.Append(ctx, Stream, r.Encode())
		cancel()
		if err != nil {
			_ = m.logger.Log("event", "leaseNotWritten", "duty", r.Duty, "kind", r.Kind, "err", err)
		}
	}
}

func (m *Manager) dueRecords(now time.Time) (records []lease.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.caughtUp {
		m.updateTrackers()
	}
	for duty, tracker := range m.trackers {
		if !tracker.Holds() && !m.assigned(duty) {
			continue
		}
		if r, ok := tracker.NextRecord(now); ok {
			r.First = m.table.First()
			records = append(records, tracker.BeginAppend(r, time.Now()))
		}
	}
	return records
}
