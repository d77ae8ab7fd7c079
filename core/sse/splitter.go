package sse

import (
	"bytes"
	"strconv"
)

// Splitter buffers the bytes of a stream until events are complete, so that a router forwards only complete events.
// After a partial event it could not tell whether the client has received the event, and a stream that is resumed at
// another endpoint would repeat its beginning. The zero value is an empty buffer.
type Splitter struct {
	buf []byte
}

// MaxEvent bounds the size of one event in bytes. Without it an event that never ends would exhaust the memory. Events
// of generations are a few hundred bytes.
const MaxEvent = 1 << 20

// Event is one event: its bytes, including the blank line that ends it, and its id.
type Event struct {
	Bytes []byte
	ID    int64
	// HasID reports whether the event has an id that is an integer.
	HasID bool
}

// Feed appends the next bytes of the stream and returns the events that are now complete. It returns ok false if an
// event exceeds MaxEvent. The bytes of the events are valid until the next call.
func (s *Splitter) Feed(p []byte) (events []Event, ok bool) {
	s.buf = append(s.buf, p...)
	rest := s.buf
	for {
		n := eventLength(rest)
		if n < 0 {
			break
		}
		events = append(events, parseEvent(rest[:n]))
		rest = rest[n:]
	}
	if len(events) == 0 {
		return nil, len(s.buf) <= MaxEvent
	}
	s.buf = append([]byte(nil), rest...)
	return events, len(s.buf) <= MaxEvent
}

// HasPartialEvent reports whether the buffer holds part of an incomplete event.
func (s *Splitter) HasPartialEvent() bool { return len(s.buf) > 0 }

// Buffered returns the number of bytes of the incomplete event.
func (s *Splitter) Buffered() int { return len(s.buf) }

// eventLength returns the length of the first event including its blank line, or -1 if the event is incomplete.
func eventLength(p []byte) int {
	n := -1
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		i := bytes.Index(p, separator)
		if i >= 0 && (n < 0 || i+len(separator) < n) {
			n = i + len(separator)
		}
	}
	return n
}

func parseEvent(p []byte) (e Event) {
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
