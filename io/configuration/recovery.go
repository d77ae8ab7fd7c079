package configuration

import (
	"context"
	"errors"
	"fmt"

	"savoryfall/core/annotate"
	"savoryfall/core/inforce"
	"savoryfall/io/platformlog"
)

// NoSnapshotError says that the log has lost records that no snapshot covers.
type NoSnapshotError struct{ First int64 }

func (e NoSnapshotError) Error() string {
	return fmt.Sprintf("the log has trimmed the notes before offset %d, and no snapshot on it covers them", e.First)
}

// Recover folds what the log still keeps, from its newest whole snapshot on; records are all that were read.
func Recover(ctx context.Context, l Log) (c *inforce.Configuration, records []platformlog.Record, err error) {
	defer annotate.Error(&err, "recover configuration from the log")
	first, records, err := readAll(ctx, l)
	if err != nil {
		return nil, nil, err
	}
	var snapshots inforce.Recovery
	for _, r := range records {
		snapshots.Read(r.Data)
	}
	c = &inforce.Configuration{}
	if best := snapshots.Best(); best != nil {
		c = best
	}
	if c.Next() < first {
		return nil, nil, NoSnapshotError{First: first}
	}
	for _, r := range records {
		c, err = c.Apply(r.Offset, r.Data)
		if err != nil {
			return nil, nil, err
		}
	}
	return c, records, nil
}

// readAll starts anew when the log trims records while they are being read.
func readAll(ctx context.Context, l Log) (first int64, records []platformlog.Record, err error) {
	from := int64(0)
	for {
		p, err := l.Read(ctx, Stream, from, pageRecords, 0)
		var trimmed platformlog.TrimmedError
		if errors.As(err, &trimmed) {
			first, from, records = trimmed.First, trimmed.First, nil
			continue
		}
		if err != nil {
			return 0, nil, err
		}
		records = append(records, p.Records...)
		from += int64(len(p.Records))
		if from >= p.Next {
			return first, records, nil
		}
	}
}
