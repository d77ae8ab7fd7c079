package eventsplit

import (
	"bytes"
	"strconv"
)

// Splitter collects the bytes of a stream until events are whole. A client that got half an event could not be told
// apart from one that got it all, and a stream that goes on elsewhere would repeat the first half. The zero value has
// no bytes.
type Splitter struct {
	buf []byte
}

// MaxEvent bounds the bytes of one event; an endpoint that never ends one would otherwise fill the memory. Events of
// generations are some hundred bytes.
const MaxEvent = 1 << 20

// Event is the bytes of one event with the blank line that ends it, and its id.
type Event struct {
	Bytes []byte
	ID    int64
	// HasID tells that the event has an id that is a whole number.
	HasID bool
}

// Write takes bytes as they arrived and returns the events that they complete, or ok false when one grows too large.
// The bytes of the events are valid until the next call.
func (s *Splitter) Write(p []byte) (events []Event, ok bool) {
	s.buf = append(s.buf, p...)
	rest := s.buf
	for {
		n := end(rest)
		if n < 0 {
			break
		}
		events = append(events, parse(rest[:n]))
		rest = rest[n:]
	}
	if len(events) == 0 {
		return nil, len(s.buf) <= MaxEvent
	}
	s.buf = append([]byte(nil), rest...)
	return events, len(s.buf) <= MaxEvent
}

// Partial tells whether bytes of an event that is not whole are left.
func (s *Splitter) Partial() bool { return len(s.buf) > 0 }

// end is the length of the first event including its blank line, or -1.
func end(p []byte) int {
	n := -1
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		i := bytes.Index(p, mark)
		if i >= 0 && (n < 0 || i+len(mark) < n) {
			n = i + len(mark)
		}
	}
	return n
}

func parse(p []byte) (e Event) {
	e.Bytes = p
	for line := range bytes.Lines(p) {
		value, isID := bytes.CutPrefix(line, []byte("id:"))
		if !isID {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		e.ID, e.HasID = id, err == nil
	}
	return e
}
