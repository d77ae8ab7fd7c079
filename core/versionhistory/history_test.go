package versionhistory_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/versionhistory"
)

var start = time.Unix(100_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// list returns entries of processes that started long ago.
func list(versions ...string) (entries []directory.Entry) {
	for i, v := range versions {
		entries = append(entries, directory.Entry{ID: fmt.Sprint("e", i), Service: "models", Version: v, Born: after(-time.Hour).UnixMilli()})
	}
	return entries
}

const window = 20 * time.Second

func only(h *versionhistory.History, at time.Duration) string {
	v, ok := h.Only("models", window, after(at))
	if ok == (v == "") {
		return "inconsistent"
	}
	return cmp.Or(v, "?")
}

// Guards against a stream that is taken to have begun at the version that is listed now, although another one was listed or
// left within the time that a stream takes.
func TestOnlyNeedsTheWholeWindow(t *testing.T) {
	var h versionhistory.History
	assert.Equal(t, only(&h, 0), "?")
	h.SetListed(list("v1", "v1"), start)
	assert.Equal(t, only(&h, 19*time.Second), "?")
	assert.Equal(t, only(&h, 21*time.Second), "v1")
	h.SetListed(list("v1", "v1.1"), after(30*time.Second))
	assert.Equal(t, only(&h, 31*time.Second), "?")
	h.SetListed(list("v1.1"), after(40*time.Second))
	assert.Equal(t, only(&h, 59*time.Second), "?")
	assert.Equal(t, only(&h, 61*time.Second), "v1.1")
	h.SetListed(nil, after(70*time.Second))
	assert.Equal(t, only(&h, 71*time.Second), "?")
}

// Guards against a router that has just started and takes the listed version for the only one, because its endpoints are old or
// although they were replaced shortly before.
func TestFirstListSaysNothingOfTheTimeBefore(t *testing.T) {
	for _, age := range []time.Duration{time.Hour, 10 * time.Second} {
		var h versionhistory.History
		listed := list("v2", "v2")
		listed[1].Born = after(-age).UnixMilli()
		h.SetListed(listed, start)
		assert.Equal(t, only(&h, 0), "?")
		_, seen := h.OnlySeen("models", window, start)
		assert.Assert(t, seen)
		assert.Equal(t, only(&h, 19*time.Second), "?")
		assert.Equal(t, only(&h, 21*time.Second), "v2")
	}
}

// Guards against a router that has only part of the list, or one without versions.
func TestUnknownVersionIsNeverTheOnlyOne(t *testing.T) {
	var h versionhistory.History
	h.SetListed(list("", ""), start)
	assert.Equal(t, only(&h, time.Minute), "?")
	h.SetListed(list("v1", ""), after(time.Minute))
	assert.Equal(t, only(&h, time.Minute), "?")
	assert.Assert(t, !h.Settled("models", after(2*time.Minute)))
}

// Guards against an endpoint that leaves or left and whose version is forgotten with it.
func TestVersionOfLeavingEndpointCounts(t *testing.T) {
	var h versionhistory.History
	h.SetListed(list("v2"), start)
	h.Saw(list("v1")[0], after(30*time.Second))
	assert.Equal(t, only(&h, 31*time.Second), "?")
	assert.Equal(t, only(&h, 51*time.Second), "v2")
}

// A service is settled once this router has itself seen a single version for a while.
func TestSettled(t *testing.T) {
	var h versionhistory.History
	assert.Assert(t, !h.Settled("models", start))
	h.SetListed(list("v1"), start)
	assert.Assert(t, !h.Settled("models", after(4*time.Second)))
	assert.Assert(t, h.Settled("models", after(5*time.Second)))
	assert.Assert(t, !h.Settled("other", after(5*time.Second)))
	h.SetListed(list("v1", "v2"), after(10*time.Second))
	assert.Assert(t, !h.Settled("models", after(10*time.Second)))
	h.SetListed(list("v1"), after(20*time.Second))
	assert.Assert(t, !h.Settled("models", after(24*time.Second)))
	assert.Assert(t, h.Settled("models", after(26*time.Second)))
}
