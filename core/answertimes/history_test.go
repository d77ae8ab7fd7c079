package answertimes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func observe(h *History, n int, took time.Duration, at time.Duration) {
	for range n {
		h.Observe("plain", "book", took, true, start.Add(at))
	}
}

// expect returns what the history expects at the time, -1 if it does not know.
func expect(h *History, at time.Duration) time.Duration {
	within, ok := h.Expect("plain", "book", start.Add(at))
	if !ok {
		return -1
	}
	return within
}

func TestExpectIsLongestOfRecentAnswersAndMargin(t *testing.T) {
	var h History
	assert.Equal(t, expect(&h, 0), time.Duration(-1))
	observe(&h, 9, 100*time.Millisecond, 0)
	assert.Equal(t, expect(&h, 0), time.Duration(-1))
	observe(&h, 1, 400*time.Millisecond, time.Second)
	assert.Equal(t, expect(&h, time.Second), 440*time.Millisecond)
	_, ok := h.Expect("plain", "read", start)
	assert.Assert(t, !ok)
	_, ok = h.Expect("other", "book", start)
	assert.Assert(t, !ok)
}

func TestOldAnswersAreForgotten(t *testing.T) {
	var h History
	observe(&h, 10, 400*time.Millisecond, 0)
	assert.Equal(t, expect(&h, 59*time.Second), 440*time.Millisecond)
	observe(&h, 10, 80*time.Millisecond, 70*time.Second)
	assert.Equal(t, expect(&h, 70*time.Second), 440*time.Millisecond)
	assert.Equal(t, expect(&h, 131*time.Second), 88*time.Millisecond)
	assert.Equal(t, expect(&h, 10*time.Minute), time.Duration(-1))
}

// Guards against a service that has become slow and counts as fast, because the requests that show it were given up.
func TestRequestGivenUpCountsByItsTimeOnly(t *testing.T) {
	var h History
	for range minAnswers {
		h.Observe("plain", "book", time.Second, false, start)
	}
	assert.Equal(t, expect(&h, 0), time.Duration(-1))
	observe(&h, 10, 100*time.Millisecond, 0)
	assert.Equal(t, expect(&h, 0), 1100*time.Millisecond)
}

func TestKindsAreBounded(t *testing.T) {
	var h History
	for i := range 3 * maxKinds {
		h.Observe("plain", fmt.Sprint(i), time.Second, true, start)
		assert.Assert(t, len(h.kinds) <= maxKinds)
	}
}
