package compactedlog

import "fmt"

// Record is one write to the log: a key and its new value, or the removal of the key.
type Record struct {
	Key     string
	Value   []byte
	Offset  int64
	Removed bool
}

// Page is the result of one read: the records, and the offset to continue from.
type Page struct {
	Records []Record
	Next    int64
}

// TrimmedError reports that the records from offset Requested on are no longer kept. The newest value of each key can
// still be read.
type TrimmedError struct{ Requested, First int64 }

func (e TrimmedError) Error() string {
	return fmt.Sprintf("records were trimmed: the log starts at offset %d, requested offset %d", e.First, e.Requested)
}
