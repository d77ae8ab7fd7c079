package originlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/origin"
	"savoryfall/core/originbatch"
	"savoryfall/core/originindex"
)

// Topic is a topic of the store without keys.
type Topic interface {
	Append(ctx context.Context, value []byte) error
	// Read reads records from an offset on. The error is a compactedlog.TrimmedError if the store no longer has the offset.
	Read(ctx context.Context, from int64) (p compactedlog.Page, err error)
}

// Log appends and reads origins. The exported fields are set before its use.
type Log struct {
	Topic Topic
	// Routers returns the number of routers that append, as far as known.
	Routers func() int
	Logger  log.Logger
	Metrics *metrics.Set

	index      originindex.Index
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines background.Group

	mu sync.Mutex
	// queue holds what is not appended yet, the oldest first.
	queue []originbatch.Record
	// reading is the read that requests wait for. It is nil if there is none.
	reading *read
	// readAt is when the newest read began, and readToEndAt when the newest one did that has come to the end of the log.
	readAt, readToEndAt time.Time

	// wake has a value once records are queued.
	wake chan struct{}
	// sending holds a value while a batch is appended.
	sending chan struct{}
	// The fields below are used by the read that runs: where the next one starts, in a log of the generation.
	next       int64
	generation int64
	// failing has the calls of which the newest has failed.
	failing failures
}

const (
	// minFlushInterval is the minimum time between two appends of a router. intervalPerRouter bounds those of all routers
	// together to 100 a second, a quarter of what the store takes.
	minFlushInterval  = 50 * time.Millisecond
	intervalPerRouter = 10 * time.Millisecond
	// appendTimeout limits a call that appends. Nothing waits for it.
	appendTimeout = time.Second
	// maxRetryDelay bounds the delay after an append that failed.
	maxRetryDelay = 3 * time.Second
	// maxQueued bounds the records that are not appended yet. At about 100 bytes each they take 2 MB.
	maxQueued = 20_000
)

// Init prepares the log. It must be called before any other method.
func (l *Log) Init() {
	l.sending, l.wake = make(chan struct{}, 1), make(chan struct{}, 1)
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

// Start appends records in the background until Stop.
func (l *Log) Start(context.Context) error {
	l.goroutines.Go(l.run)
	return nil
}

// Stop ends the calls to the store. What is not appended yet is lost.
func (l *Log) Stop(context.Context) error {
	l.cancel()
	l.goroutines.Stop()
	return nil
}

// Append queues the origins of streams. Those that cannot be encoded are dropped, and so are the oldest if there are too many.
func (l *Log) Append(records ...originbatch.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queued := len(l.queue) + len(records)
	for _, r := range records {
		if r.Valid() {
			l.queue = append(l.queue, r)
		}
	}
	if excess := len(l.queue) - maxQueued; excess > 0 {
		l.queue = l.queue[excess:]
	}
	l.count("dropped", queued-len(l.queue))
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Log) run() {
	var delay time.Duration
	for l.awaitRecords() {
		if l.Flush(l.ctx) {
			delay = l.interval()
		} else {
			delay = min(max(2*delay, l.interval()), max(maxRetryDelay, l.interval()))
		}
		background.Sleep(l.ctx, delay, nil)
	}
}

// awaitRecords waits until there is something to append, and returns false once the log is stopped.
func (l *Log) awaitRecords() (ok bool) {
	for l.ctx.Err() == nil {
		if l.queued() > 0 {
			return true
		}
		select {
		case <-l.wake:
			// All routers see another version at about the same time.
			background.Sleep(l.ctx, rand.N(l.interval()-minFlushInterval+1), nil)
		case <-l.ctx.Done():
		}
	}
	return false
}

func (l *Log) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// interval returns the time between two appends of this router.
func (l *Log) interval() time.Duration {
	return max(minFlushInterval, time.Duration(l.Routers())*intervalPerRouter)
}

// Flush appends the oldest records that are queued, as many as a batch holds, and reports whether that succeeded.
func (l *Log) Flush(ctx context.Context) (ok bool) {
	select {
	case l.sending <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.sending }()
	data, n, last := l.batch()
	if n == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := l.Topic.Append(ctx, data)
	if l.ctx.Err() != nil {
		return false
	}
	l.countCall("append", err)
	if err != nil {
		return false
	}
	l.remove(n, last)
	l.count("written", n)
	l.Metrics.GetOrCreateCounter("savoryfall_origin_log_bytes_total").Add(len(data))
	return true
}

// batch encodes the oldest records. n is how many they are, and last the newest of them.
func (l *Log) batch() (data []byte, n int, last originbatch.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, n = originbatch.Encode(l.queue)
	if n > 0 {
		last = l.queue[n-1]
	}
	return data, n, last
}

// remove removes the n records that were appended, unless some of them have been dropped meanwhile.
func (l *Log) remove(n int, last originbatch.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n = min(n, len(l.queue)); n > 0 && l.queue[n-1] != last; n-- {
	}
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		// The memory of the records that were appended is not kept.
		l.queue = nil
	}
}

// Find returns where the stream began, by what is in the log. It reads the log if it has no record of the stream, unless it was
// read to its end within maxAge. conflict is set if the records of the stream differ, so that this is not known.
func (l *Log) Find(key uint64, maxAge time.Duration) (o origin.Origin, ok, conflict bool) {
	o, ok, conflict = l.index.Find(key, time.Now())
	if ok || conflict || l.readWithin(maxAge) {
		return o, ok, conflict
	}
	l.awaitRead()
	return l.index.Find(key, time.Now())
}

func (l *Log) count(result string, n int) {
	if n == 0 {
		return
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("savoryfall_origin_log_records_total{result=%q}", result)).Add(n)
}

// countCall counts a call to the store, and logs the first one that fails.
func (l *Log) countCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("savoryfall_origin_log_calls_total{call=%q,result=%q}", call, result)).Inc()
	if l.failing.set(call, err != nil) {
		_ = l.Logger.Log(field.Event, event.OriginsUnavailable, field.Call, call, field.Err, err)
	}
}
