package sse_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/sse"
)

func splitAll(t *testing.T, pieces ...string) (events []string, ids []int64, partial bool) {
	var s sse.Splitter
	for _, p := range pieces {
		written, ok := s.Feed([]byte(p))
		assert.Assert(t, ok)
		for _, e := range written {
			events = append(events, string(e.Bytes))
			if e.HasID {
				ids = append(ids, e.ID)
			}
		}
	}
	return events, ids, s.HasPartialEvent()
}

func TestWholeEvents(t *testing.T) {
	events, ids, partial := splitAll(t, "id: 1\ndata: a\n", "\nid: 2\nda", "ta: b\n\nid:3\r\ndata: c\r\n\r\nid: 4\n")
	assert.DeepEqual(t, events, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id:3\r\ndata: c\r\n\r\n"})
	assert.DeepEqual(t, ids, []int64{1, 2, 3})
	assert.Assert(t, partial)
}

func TestInvalidIDsAreIgnored(t *testing.T) {
	_, ids, _ := splitAll(t, "data: id: 5\n\nid: x\n\nid:\n\n: id: 7\n\n")
	assert.Equal(t, len(ids), 0)
}

func TestOversizedEventIsRejected(t *testing.T) {
	var s sse.Splitter
	ok := true
	for range sse.MaxEvent/1000 + 2 {
		_, ok = s.Feed(bytes.Repeat([]byte("x"), 1000))
	}
	assert.Assert(t, !ok)
}

// The events do not depend on how the stream is cut into writes, and no bytes are lost or added.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3)
	f.Add([]byte("\n\n\r\n\r\n\n"), 1)
	f.Add([]byte("id: 9\r\n\r\nid"), 2)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		if step < 1 || len(data) > 1<<16 {
			return
		}
		var s sse.Splitter
		var out []byte
		for rest := data; len(rest) > 0; {
			n := min(step, len(rest))
			events, _ := s.Feed(rest[:n])
			for _, e := range events {
				out = append(out, e.Bytes...)
			}
			rest = rest[n:]
		}
		assert.Assert(t, bytes.HasPrefix(data, out))
		assert.Equal(t, s.HasPartialEvent(), len(out) < len(data))
	})
}
