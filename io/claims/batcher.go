package claims

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/claim"
)

// batcher combines records that arrive at about the same time into one append, because the log accepts only a few
// hundred appends per second.
type batcher struct {
	log        Log
	stream     string
	onAppended func(offset int64, data []byte)
	queue      chan pendingAppend
	stopped    chan struct{}
}

type pendingAppend struct {
	record claim.Record
	done   chan appendResult
}

type appendResult struct {
	offset int64
	err    error
}

const (
	batchWait    = 3 * time.Millisecond
	batchRecords = 64
)

// errStopped is returned for a record that was not appended because the partition is being stopped.
var errStopped = errors.New("claim partition is stopping")

func newBatcher(l Log, stream string, onAppended func(offset int64, data []byte)) *batcher {
	return &batcher{log: l, stream: stream, onAppended: onAppended, queue: make(chan pendingAppend), stopped: make(chan struct{})}
}

// append returns the offset of the record. After an error other than a refusal by the log, the record may or may not
// be on the stream.
func (b *batcher) append(ctx context.Context, r claim.Record) (offset int64, err error) {
	p := pendingAppend{record: r, done: make(chan appendResult, 1)}
	select {
	case b.queue <- p:
	case <-b.stopped:
		return 0, errStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case result := <-p.done:
		return result.offset, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (b *batcher) run(ctx context.Context) {
	defer close(b.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			go b.flush(ctx, b.collect(first))
		}
	}
}

func (b *batcher) collect(first pendingAppend) (batch []pendingAppend) {
	batch = []pendingAppend{first}
	timeout := time.After(batchWait)
	for len(batch) < batchRecords {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
		case <-timeout:
			return batch
		}
	}
	return batch
}

func (b *batcher) flush(ctx context.Context, batch []pendingAppend) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]claim.Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	data := claim.Encode(records)
	offset, err := b.log.Append(ctx, b.stream, data)
	if err == nil {
		b.onAppended(offset, data)
	}
	for _, p := range batch {
		p.done <- appendResult{offset: offset, err: err}
	}
}
