package originlog_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"savoryfall/core/compactedlog"
)

// fakeTopic is the topic in a store whose calls take 4 ms, and whose answers have at most 100 KB.
type fakeTopic struct {
	mu         sync.Mutex
	first      int64
	values     [][]byte
	generation int64
	appends    []time.Time
	reads      int
	bytes      int
	// callTime is how long a call takes.
	callTime time.Duration
	// away has calls fail, and loseAnswers that many appends succeed without an answer.
	away        bool
	loseAnswers int
}

var errAway = errors.New("the store is away")

const pageBytes = 100 << 10

func (f *fakeTopic) wait(ctx context.Context) (err error) {
	f.mu.Lock()
	d := f.callTime
	f.mu.Unlock()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeTopic) Append(ctx context.Context, value []byte) (err error) {
	if err = f.wait(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends = append(f.appends, time.Now())
	if f.away {
		return errAway
	}
	f.values = append(f.values, value)
	f.bytes += len(value)
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return errAway
	}
	return nil
}

func (f *fakeTopic) Read(ctx context.Context, from int64) (p compactedlog.Page, err error) {
	if err = f.wait(ctx); err != nil {
		return p, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	end := f.first + int64(len(f.values))
	switch {
	case f.away:
		return p, errAway
	case from < f.first, from > end:
		return p, compactedlog.TrimmedError{Requested: from, First: f.first}
	}
	p = compactedlog.Page{Next: from, LogEnd: end, Generation: f.generation}
	for size := 0; p.Next < end && size < pageBytes; p.Next++ {
		value := f.values[p.Next-f.first]
		size += len(value)
		p.Records = append(p.Records, compactedlog.Record{Value: value, Offset: p.Next, Generation: f.generation})
	}
	return p, nil
}

func (f *fakeTopic) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// counts returns how many calls there were, and how many values there are.
func (f *fakeTopic) counts() (appends, reads, values int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.appends), f.reads, len(f.values)
}
