package compactedlog

import (
	"cmp"
	"errors"
	"fmt"
)

// Position is a place in a log. The generation rises when the log comes back from an older copy: the records after the
// copy are lost, and their offsets are given to other records. Offsets of different generations do not compare.
type Position struct {
	Generation int64
	Offset     int64
}

// Compare returns -1, 0 or +1 as p is before, equal to or after q. Any position of a later generation is after those of
// earlier ones.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Generation, q.Generation), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Record is one write to the log: a key and its new value, or the removal of the key.
type Record struct {
	Key     string
	Value   []byte
	Offset  int64
	Removed bool
	// Generation is that of the log when the record was read, 0 if unknown.
	Generation int64
}

// Position returns where the record was read.
func (r Record) Position() Position { return Position{Generation: r.Generation, Offset: r.Offset} }

// Page is the result of one read: the records, and the offset to continue from. The store limits the size of an answer, so
// the log may already hold more records.
type Page struct {
	Records []Record
	Next    int64
	// LogEnd is the offset at which the log ended when the read was answered.
	LogEnd int64
	// Generation is that of the log when the read was answered, 0 if unknown.
	Generation int64
}

// End returns the position to continue from.
func (p Page) End() Position { return Position{Generation: p.Generation, Offset: p.Next} }

// Complete reports whether the page reaches the end of the log. Only then does the read show that nothing newer existed
// when it was sent.
func (p Page) Complete() bool { return p.Next >= p.LogEnd }

// StatedEnd returns the position of the end of the log, as the answer states it.
func (p Page) StatedEnd() Position {
	return Position{Generation: p.Generation, Offset: max(p.Next, p.LogEnd)}
}

// TrimmedError reports that the records from offset Requested on are no longer kept. The newest value of each key can
// still be read.
type TrimmedError struct{ Requested, First int64 }

func (e TrimmedError) Error() string {
	return fmt.Sprintf("records were trimmed: the log starts at offset %d, requested offset %d", e.First, e.Requested)
}

// ErrConflict reports that nothing was written, because the log has grown since the position that the writer named.
var ErrConflict = errors.New("the log has grown since it was read")
