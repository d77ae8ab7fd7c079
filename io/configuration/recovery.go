package configuration

import (
	"context"
	"errors"
	"fmt"

	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
	"savoryfall/io/platformlog"
)

// NoSnapshotError reports that the log has trimmed records that no snapshot covers.
type NoSnapshotError struct{ First int64 }

func (e NoSnapshotError) Error() string {
	return fmt.Sprintf("notes before offset %d were trimmed from the log, and no snapshot on the log covers them", e.First)
}

// Recover builds the configuration from the newest complete snapshot on the log and the records after it. It returns
// all records that it read.
func Recover(ctx context.Context, l Log) (c *activeconfig.Configuration, records []platformlog.Record, err error) {
	defer annotate.Error(&err, "recover configuration from the log")
	first, records, err := readAll(ctx, l)
	if err != nil {
		return nil, nil, err
	}
	var assembler activeconfig.SnapshotAssembler
	for _, r := range records {
		assembler.Add(r.Data)
	}
	c = &activeconfig.Configuration{}
	if best := assembler.Newest(); best != nil {
		c = best
	}
	if c.NextOffset() < first {
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

// readAll reads all records of the stream. It starts over when the log trims records while they are being read.
func readAll(ctx context.Context, l Log) (first int64, records []platformlog.Record, err error) {
	from := int64(0)
	for {
		p, err := l.Read(ctx, Stream, from, maxPageRecords, 0)
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
