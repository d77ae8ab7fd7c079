package originlog

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/originbatch"
)

// read is a read of the log that is under way.
type read struct {
	// done is closed at its end.
	done chan struct{}
}

const (
	// readInterval is the minimum time between the beginnings of two reads.
	readInterval = 400 * time.Millisecond
	// findTimeout is for how long a request waits for a read, readInterval included if another read has just ended.
	findTimeout = 600 * time.Millisecond
	// readTimeout and maxReadBytes bound a read, which goes on for later requests where one no longer waits. The next read
	// continues it.
	readTimeout  = 2 * time.Second
	maxReadBytes = 16 << 20
	// maxBatches is how many of the newest batches are read: all routers together append about as many in ten seconds.
	maxBatches = 1000
)

// awaitRead waits until the log has been read to its end, or until the request has waited for too long.
func (l *Log) awaitRead() {
	select {
	case <-l.startRead().done:
	case <-time.After(findTimeout):
	case <-l.ctx.Done():
	}
}

// startRead returns the read that is under way, or starts one.
func (l *Log) startRead() *read {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reading != nil {
		return l.reading
	}
	r := &read{done: make(chan struct{})}
	l.reading = r
	pause := time.Until(l.readAt.Add(readInterval))
	l.goroutines.Go(func() {
		background.Sleep(l.ctx, pause, nil)
		l.runRead(r)
	})
	return r
}

// runRead reads the log for the requests that wait for it.
func (l *Log) runRead(r *read) {
	began := time.Now()
	l.mu.Lock()
	l.readAt = began
	l.mu.Unlock()
	complete := l.readToEnd()
	l.mu.Lock()
	l.reading = nil
	if complete {
		l.readToEndAt = began
	}
	l.mu.Unlock()
	close(r.done)
}

func (l *Log) readWithin(age time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.readToEndAt.IsZero() && time.Since(l.readToEndAt) < age
}

// readToEnd reads the log from where the read before it has ended, and reports whether it came to the end.
func (l *Log) readToEnd() (complete bool) {
	ctx, cancel := context.WithTimeout(l.ctx, readTimeout)
	defer cancel()
	began, total := time.Now(), 0
	for size := 0; size < maxReadBytes && !complete; {
		p, err := l.readPage(ctx)
		if l.ctx.Err() != nil {
			return false
		}
		l.countCall("read", err)
		if err != nil {
			return false
		}
		records, bytes := l.add(p)
		total, size = total+records, size+bytes
		l.next = max(p.Next, p.LogEnd-maxBatches)
		complete = p.Complete()
	}
	_ = l.Logger.Log(field.Event, event.OriginsRead, field.Offset, l.next, field.Generation, l.generation, field.Count, total,
		field.Ms, time.Since(began).Milliseconds())
	return complete
}

// maxRestarts is how often a page is asked for again because the store has removed its first records, or come back from an
// older copy.
const maxRestarts = 5

var (
	errRestarted  = errors.New("records were removed faster than they could be read")
	errNoProgress = errors.New("a page that is not the last one has no record")
)

// readPage reads the next page. After the store came back from an older copy, it begins with the first record again: offsets
// have other records then.
func (l *Log) readPage(ctx context.Context) (p compactedlog.Page, err error) {
	for range maxRestarts {
		p, err = l.Topic.Read(ctx, l.next)
		var trimmed compactedlog.TrimmedError
		switch {
		case errors.As(err, &trimmed) && trimmed.First >= 0:
			l.next = trimmed.First
			continue
		case err != nil:
			return p, err
		case p.Generation != l.generation && l.generation != 0 && l.next > 0:
			l.next, l.generation = 0, p.Generation
			continue
		}
		l.generation = p.Generation
		if p.Next <= l.next && !p.Complete() {
			return p, errNoProgress
		}
		return p, nil
	}
	return p, errRestarted
}

// add takes over the records of a page, and returns how many they are and how many bytes they have taken. What is no batch is
// left out.
func (l *Log) add(p compactedlog.Page) (records, bytes int) {
	var unreadable int
	var offset int64
	var reason error
	for _, stored := range p.Records {
		bytes += len(stored.Value)
		batch, err := originbatch.Decode(stored.Value)
		if err != nil {
			unreadable++
			offset, reason = stored.Offset, err
			continue
		}
		records += len(batch)
		l.index.Add(batch, time.Now())
	}
	l.count("read", records)
	if unreadable > 0 {
		l.count("unreadable", unreadable)
		_ = l.Logger.Log(field.Event, event.OriginsUnreadable, field.Offset, offset, field.Count, unreadable, field.Err, reason)
	}
	return records, bytes
}
