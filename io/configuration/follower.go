package configuration

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"savoryfall/core/annotate"
	"savoryfall/core/inforce"
	"savoryfall/io/platformlog"
)

// Stream is the stream of the log that carries the configuration.
const Stream = "configuration"

const (
	pageRecords = 500
	longPoll    = 20 * time.Second
	readTimeout = 30 * time.Second
	maxRetry    = 2 * time.Second
	keptRecords = 1024
)

// Log is what the follower needs of the log service.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// Peers are asked for a snapshot when the log cannot give the configuration.
type Peers interface {
	Snapshot(ctx context.Context) (c *inforce.Configuration, err error)
}

// Follower keeps the configuration in force; it is fed by the log, and by peers that heard of a record sooner.
type Follower struct {
	log       Log
	peers     Peers
	logger    log.Logger
	current   atomic.Pointer[inforce.Configuration]
	mu        sync.Mutex
	records   map[int64][]byte
	listeners []func(*inforce.Configuration)
	snapshot  snapshotState
	appliedAt time.Time
	source    string
	ready     atomic.Bool
	synced    bool
	cancel    context.CancelFunc
	done      chan struct{}
}

// New makes a follower that has nothing in force yet.
func New(l Log, logger log.Logger) *Follower {
	f := &Follower{log: l, logger: logger, records: map[int64][]byte{}}
	f.current.Store(&inforce.Configuration{})
	return f
}

// Use names the peers to ask when the log is down.
func (f *Follower) Use(p Peers) { f.peers = p }

// Listen calls the function with each new configuration, in order, and once with the present one.
func (f *Follower) Listen(listener func(*inforce.Configuration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
	listener(f.current.Load())
}

// Current is the configuration in force.
func (f *Follower) Current() *inforce.Configuration { return f.current.Load() }

// Ready tells whether a configuration was recovered; until then nothing is served.
func (f *Follower) Ready() bool { return f.ready.Load() }

// AppliedAt is when the newest record was applied, and Source who brought it: the log or a peer.
func (f *Follower) AppliedAt() (at time.Time, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedAt, f.source
}

// Start follows in the background until Stop.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done = make(chan struct{})
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return nil
}

// Stop ends the following; what is in force stays readable.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	<-f.done
	return nil
}

func (f *Follower) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = maxRetry
	for ctx.Err() == nil {
		err := f.round(ctx)
		if err == nil {
			wait.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		_ = f.logger.Log("event", "configurationBehind", "next", f.Current().Next(), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (f *Follower) round(ctx context.Context) (err error) {
	if !f.synced {
		return f.recover(ctx)
	}
	return f.follow(ctx)
}

func (f *Follower) follow(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := f.log.Read(ctx, Stream, f.Current().Next(), pageRecords, longPoll)
	var trimmed platformlog.TrimmedError
	if errors.As(err, &trimmed) {
		f.synced = false
	}
	if err != nil {
		return err
	}
	for _, r := range p.Records {
		f.offer(r.Offset, r.Data, r.At, sourceLog)
	}
	return nil
}

// Where a record came from.
const (
	sourceLog  = "log"
	sourcePeer = "peer"
)

// Offer takes a record that a peer had sooner than the log told this router.
func (f *Follower) Offer(offset int64, data []byte) {
	if f.Ready() {
		f.offer(offset, data, time.Now(), sourcePeer)
	}
}

func (f *Follower) offer(offset int64, data []byte, at time.Time, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot.see(data, at)
	before := f.current.Load()
	next, err := before.Apply(offset, data)
	if err != nil || next == before {
		return
	}
	f.keep(offset, data)
	f.appliedAt, f.source = time.Now(), source
	f.put(next)
	_ = f.logger.Log("event", "configurationApplied", "offset", offset, "note", next.Current(),
		"digest", next.Digest(), "source", source, "logMs", f.appliedAt.Sub(at).Milliseconds())
}

func (f *Follower) put(c *inforce.Configuration) {
	f.current.Store(c)
	for _, listener := range f.listeners {
		listener(c)
	}
}

func (f *Follower) keep(offset int64, data []byte) {
	f.records[offset] = data
	delete(f.records, offset-keptRecords)
}

// Records are the raw records from the offset on that are still at hand, for a peer that is behind.
func (f *Follower) Records(from int64, max int) (records [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(records) < max {
		data, ok := f.records[from+int64(len(records))]
		if !ok {
			break
		}
		records = append(records, data)
	}
	return records
}

// recover finds the newest configuration for a VM that has nothing: from the log's own records, a snapshot among
// them where the first notes are gone already, or in an outage of the log from a peer.
func (f *Follower) recover(ctx context.Context) (err error) {
	defer annotate.Error(&err, "recover configuration")
	found, logErr := f.recoverFromLog(ctx)
	if logErr == nil {
		f.adopt(found, sourceLog)
		f.synced = true
		return nil
	}
	if f.peers == nil {
		return logErr
	}
	found, err = f.peers.Snapshot(ctx)
	if err != nil {
		return errors.Join(logErr, err)
	}
	f.adopt(found, sourcePeer)
	f.synced = true
	return nil
}

// adopt never goes back: what was in force once stays in force.
func (f *Follower) adopt(c *inforce.Configuration, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Next() >= f.current.Load().Next() {
		f.appliedAt, f.source = time.Now(), source
		f.put(c)
	}
	f.ready.Store(true)
	_ = f.logger.Log("event", "configurationRecovered", "next", c.Next(), "note", c.Current(), "digest", c.Digest(), "source", source)
}

func (f *Follower) recoverFromLog(ctx context.Context) (c *inforce.Configuration, err error) {
	c, records, err := Recover(ctx, f.log)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.snapshot.see(r.Data, r.At)
		f.keep(r.Offset, r.Data)
	}
	return c, nil
}
