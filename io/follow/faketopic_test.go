package follow_test

import (
	"context"
	"math"
	"sync"
	"time"

	"savoryfall/core/compactedlog"
)

// fakeTopic is a topic whose records can be added and whose reads can be made to fail or hang.
type fakeTopic struct {
	mu          sync.Mutex
	records     []compactedlog.Record
	fail        error
	hang        bool
	reads       int
	newestReads int
	appended    chan struct{}
	// generation is that of the log, seen the highest that was answered.
	generation, seen int64
	// answer, if set, changes each page before it is returned.
	answer func(p *compactedlog.Page)
	// limit is how many records an answer holds, and latency how long a read takes.
	limit   int
	latency time.Duration
	// addedAt is when the records were added.
	addedAt []time.Time
}

// answerLimit is small so that tests read the log in parts.
const answerLimit = 2

// grace is how long the followers wait to receive newer records.
const grace = 400 * time.Millisecond

func newFakeTopic() *fakeTopic {
	return &fakeTopic{appended: make(chan struct{}), limit: answerLimit}
}

// at returns the position of an offset in a log that was never restored.
func at(offset int64) compactedlog.Position { return compactedlog.Position{Offset: offset} }

func (t *fakeTopic) Generation() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}

// restore replaces the records by others, as a store that comes back from an older copy does.
func (t *fakeTopic) restore(keys ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.generation++
	t.records = nil
	for i, key := range keys {
		t.records = append(t.records, compactedlog.Record{Key: key, Offset: int64(i)})
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

func (t *fakeTopic) addRecord(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, compactedlog.Record{Key: key, Offset: int64(len(t.records))})
	t.addedAt = append(t.addedAt, time.Now())
	close(t.appended)
	t.appended = make(chan struct{})
}

// addedBefore returns how many records had been added by the given time.
func (t *fakeTopic) addedBefore(at time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n < len(t.addedAt) && t.addedAt[n].Before(at) {
		n++
	}
	return n
}

func (t *fakeTopic) setFailure(fail error, hang bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail, t.hang = fail, hang
}

func (t *fakeTopic) takeReadCount() (reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reads, t.reads = t.reads, 0
	return reads
}

func (t *fakeTopic) Newest(ctx context.Context) (p compactedlog.Page, err error) {
	t.mu.Lock()
	t.newestReads++
	t.mu.Unlock()
	return t.read(ctx, 0, 0, math.MaxInt)
}

func (t *fakeTopic) Since(ctx context.Context, from int64, wait time.Duration) (p compactedlog.Page, err error) {
	t.mu.Lock()
	limit := t.limit
	t.mu.Unlock()
	return t.read(ctx, from, wait, limit)
}

func (t *fakeTopic) read(ctx context.Context, from int64, wait time.Duration, limit int) (p compactedlog.Page, err error) {
	t.mu.Lock()
	t.reads++
	fail, hang, appended, latency := t.fail, t.hang, t.appended, t.latency
	end := int64(len(t.records))
	t.mu.Unlock()
	time.Sleep(latency)
	if hang {
		<-ctx.Done()
		return p, ctx.Err()
	}
	if fail != nil {
		return p, fail
	}
	if from == end && wait > 0 {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = max(t.seen, t.generation)
	if t.generation > 0 && from > int64(len(t.records)) {
		return p, compactedlog.TrimmedError{Requested: from}
	}
	end = int64(len(t.records))
	from = min(from, end)
	next := from + min(end-from, int64(limit))
	p = compactedlog.Page{Records: t.records[from:next], Next: next, LogEnd: end, Generation: t.generation}
	if t.answer != nil {
		t.answer(&p)
	}
	return p, nil
}
