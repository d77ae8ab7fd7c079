package configuration

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
	"savoryfall/io/platformlog"
)

// Stream is the name of the log stream that carries the configuration.
const Stream = "configuration"

const (
	maxPageRecords  = 500
	longPollWait    = 20 * time.Second
	readTimeout     = 30 * time.Second
	maxRetryDelay   = 2 * time.Second
	retainedRecords = 1024
)

// Log is the part of the log service's client that the follower uses.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// Peers fetches a snapshot of the configuration from another router when the log is unavailable.
type Peers interface {
	Snapshot(ctx context.Context) (c *activeconfig.Configuration, err error)
}

// Follower holds the configuration in force. It gets records from the log, and from peers that read them earlier.
type Follower struct {
	log         Log
	peers       Peers
	logger      log.Logger
	current     atomic.Pointer[activeconfig.Configuration]
	mu          sync.Mutex
	records     map[int64][]byte
	listeners   []func(*activeconfig.Configuration)
	snapshot    snapshotState
	appliedAt   time.Time
	source      string
	ready       atomic.Bool
	initialized bool
	cancel      context.CancelFunc
	done        chan struct{}
}

// New returns a follower with an empty configuration.
func New(l Log, logger log.Logger) *Follower {
	f := &Follower{log: l, logger: logger, records: map[int64][]byte{}}
	f.current.Store(&activeconfig.Configuration{})
	return f
}

// SetPeers sets the peers to ask for a snapshot when the log is unavailable. It must be called before Start.
func (f *Follower) SetPeers(p Peers) { f.peers = p }

// OnChange registers a function that is called with the current configuration at once, and then with each new one, in
// order.
func (f *Follower) OnChange(listener func(*activeconfig.Configuration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
	listener(f.current.Load())
}

// Current returns the configuration in force.
func (f *Follower) Current() *activeconfig.Configuration { return f.current.Load() }

// Ready reports whether a configuration was recovered; until then the router serves no requests.
func (f *Follower) Ready() bool { return f.ready.Load() }

// AppliedAt returns when the newest record was applied, and whether it came from the log or from a peer.
func (f *Follower) AppliedAt() (at time.Time, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedAt, f.source
}

// Start follows the stream in the background until Stop is called.
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

// Stop stops following the stream. The configuration in force can still be read.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	<-f.done
	return nil
}

func (f *Follower) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		_ = f.logger.Log("event", "configurationBehind", "next", f.Current().NextOffset(), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

func (f *Follower) step(ctx context.Context) (err error) {
	if !f.initialized {
		return f.initialize(ctx)
	}
	return f.follow(ctx)
}

func (f *Follower) follow(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := f.log.Read(ctx, Stream, f.Current().NextOffset(), maxPageRecords, longPollWait)
	var trimmed platformlog.TrimmedError
	if errors.As(err, &trimmed) {
		f.initialized = false
	}
	if err != nil {
		return err
	}
	for _, r := range p.Records {
		f.applyRecord(r.Offset, r.Data, r.Time, sourceLog)
	}
	return nil
}

// Sources of a record.
const (
	sourceLog  = "log"
	sourcePeer = "peer"
)

// ApplyFromPeer applies a record that a peer sent before this router read it from the log.
func (f *Follower) ApplyFromPeer(offset int64, data []byte) {
	if f.Ready() {
		f.applyRecord(offset, data, time.Now(), sourcePeer)
	}
}

func (f *Follower) applyRecord(offset int64, data []byte, at time.Time, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot.observe(data, at)
	before := f.current.Load()
	next, err := before.Apply(offset, data)
	if err != nil || next == before {
		return
	}
	f.retainRecord(offset, data)
	f.appliedAt, f.source = time.Now(), source
	f.publish(next)
	_ = f.logger.Log("event", "configurationApplied", "offset", offset, "note", next.CurrentNoteID(),
		"digest", next.Digest(), "source", source, "logMs", f.appliedAt.Sub(at).Milliseconds())
}

func (f *Follower) publish(c *activeconfig.Configuration) {
	f.current.Store(c)
	for _, listener := range f.listeners {
		listener(c)
	}
}

func (f *Follower) retainRecord(offset int64, data []byte) {
	f.records[offset] = data
	delete(f.records, offset-retainedRecords)
}

// RecordsFrom returns the retained raw records from the offset on, at most max, for a peer that is behind.
func (f *Follower) RecordsFrom(from int64, max int) (records [][]byte) {
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

// initialize recovers the configuration from the log or, if that fails, from a snapshot of a peer. If the first release
// notes are trimmed, the log's records include a snapshot that covers them.
func (f *Follower) initialize(ctx context.Context) (err error) {
	defer annotate.Error(&err, "recover configuration")
	found, logErr := f.recoverFromLog(ctx)
	if logErr == nil {
		f.adopt(found, sourceLog)
		f.initialized = true
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
	f.initialized = true
	return nil
}

// adopt puts a recovered configuration in force, unless the current one is newer.
func (f *Follower) adopt(c *activeconfig.Configuration, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.NextOffset() >= f.current.Load().NextOffset() {
		f.appliedAt, f.source = time.Now(), source
		f.publish(c)
	}
	f.ready.Store(true)
	_ = f.logger.Log("event", "configurationRecovered", "next", c.NextOffset(), "note", c.CurrentNoteID(), "digest", c.Digest(), "source", source)
}

func (f *Follower) recoverFromLog(ctx context.Context) (c *activeconfig.Configuration, err error) {
	c, records, err := Recover(ctx, f.log)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.snapshot.observe(r.Data, r.Time)
		f.retainRecord(r.Offset, r.Data)
	}
	return c, nil
}
