package claims

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/claim"
)

// batcher puts records that come together into one append, because the log takes only a few hundred a second.
type batcher struct {
	log    Log
	stream string
	landed func(offset int64, data []byte)
	in     chan pending
	stop   chan struct{}
}

type pending struct {
	record claim.Record
	done   chan appended
}

type appended struct {
	offset int64
	err    error
}

const (
	batchWait    = 3 * time.Millisecond
	batchRecords = 64
)

// errStopped says that a record was not appended, because the keeper is stopping.
var errStopped = errors.New("the keeper of claims is stopping")

func newBatcher(l Log, stream string, landed func(offset int64, data []byte)) *batcher {
	return &batcher{log: l, stream: stream, landed: landed, in: make(chan pending), stop: make(chan struct{})}
}

// append returns where the record stands; after an error other than a refusal it may or may not be on the stream.
func (b *batcher) append(ctx context.Context, r claim.Record) (offset int64, err error) {
	p := pending{record: r, done: make(chan appended, 1)}
	select {
	case b.in <- p:
	case <-b.stop:
		return 0, errStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case a := <-p.done:
		return a.offset, a.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (b *batcher) run(ctx context.Context) {
	defer close(b.stop)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.in:
			go b.send(ctx, b.collect(first))
		}
	}
}

func (b *batcher) collect(first pending) (batch []pending) {
	batch = []pending{first}
	full := time.After(batchWait)
	for len(batch) < batchRecords {
		select {
		case p := <-b.in:
			batch = append(batch, p)
		case <-full:
			return batch
		}
	}
	return batch
}

func (b *batcher) send(ctx context.Context, batch []pending) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]claim.Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	data := claim.Encode(records)
	offset, err := b.log.Append(ctx, b.stream, data)
	if err == nil {
		b.landed(offset, data)
	}
	for _, p := range batch {
		p.done <- appended{offset: offset, err: err}
	}
}
