package keyed

import "fmt"

// Record is one write: a key and its new value, or the key's removal.
type Record struct {
	Key     string
	Value   []byte
	Offset  int64
	Removed bool
}

// Page is what one read brought: the records, and the offset to read on from.
type Page struct {
	Records []Record
	Next    int64
}

// TrimmedError says that records from Want on are no longer kept, so that only the newest values can be read.
type TrimmedError struct{ Want, First int64 }

func (e TrimmedError) Error() string {
	return fmt.Sprintf("the log keeps records from offset %d on, want %d", e.First, e.Want)
}
