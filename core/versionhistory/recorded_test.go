package versionhistory_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/versionhistory"
	"savoryfall/core/versionrecord"
)

// record returns a record of the versions of models, by for how long they have been absent.
func record(covered time.Duration, absent map[string]time.Duration) (r versionrecord.Record) {
	r.AbsentMs = map[string]map[string]int64{}
	r.SetCovered(covered)
	for version, d := range absent {
		r.SetAbsent("models", version, d)
	}
	return r
}

// restarted returns the history of a router that has just started, lists the versions and has read the record.
func restarted(r versionrecord.Record, known bool, listed ...string) *versionhistory.History {
	h := &versionhistory.History{}
	h.SetListed(list(listed...), start)
	h.SetRecord(r, start, known)
	return h
}

// Guards against a stream that is taken to have begun at the listed version by a router that has just started, although another
// version was listed within the time that a stream takes.
func TestRecordTellsOfTheTimeBeforeTheFirstList(t *testing.T) {
	const long = time.Minute
	for name, tc := range map[string]struct {
		record versionrecord.Record
		known  bool
		listed []string
		want   string
	}{
		"one version":                                       {record(long, map[string]time.Duration{"v2": 0}), true, []string{"v2"}, "v2"},
		"another one left long ago":                         {record(long, map[string]time.Duration{"v1": 25 * time.Second, "v2": 0}), true, []string{"v2"}, "v2"},
		"another one left":                                  {record(long, map[string]time.Duration{"v1": 15 * time.Second, "v2": 0}), true, []string{"v2"}, "?"},
		"another one was listed":                            {record(long, map[string]time.Duration{"v1": 0, "v2": 0}), true, []string{"v2"}, "?"},
		"another one is listed":                             {record(long, map[string]time.Duration{"v2": 0}), true, []string{"v1", "v2"}, "?"},
		"only the other one was listed":                     {record(long, map[string]time.Duration{"v1": 0}), true, []string{"v2"}, "?"},
		"covers less than the window":                       {record(19*time.Second, map[string]time.Duration{"v2": 0}), true, []string{"v2"}, "?"},
		"covers the window without the difference of lists": {record(22*time.Second, map[string]time.Duration{"v2": 0}), true, []string{"v2"}, "?"},
		"proves nothing":                                    {record(long, map[string]time.Duration{"v2": 0}), false, []string{"v2"}, "?"},
		"empty":                                             {record(long, nil), true, []string{"v2"}, "v2"},
	} {
		h := restarted(tc.record, tc.known, tc.listed...)
		assert.Equal(t, only(h, 0), tc.want, name)
		if len(tc.listed) == 1 {
			assert.Equal(t, only(h, 26*time.Second), "v2", name)
		}
	}
}

// Guards against a version that was recorded and left between a read of the record and the first list.
func TestRecordReadBeforeTheFirstListProvesNothing(t *testing.T) {
	h := &versionhistory.History{}
	h.SetRecord(record(time.Minute, map[string]time.Duration{"v2": 0}), start, true)
	h.SetListed(list("v2"), after(time.Second))
	assert.Equal(t, only(h, time.Second), "?")
	h.SetRecord(record(time.Minute, map[string]time.Duration{"v2": 0}), after(2*time.Second), true)
	assert.Equal(t, only(h, 2*time.Second), "v2")
}

func all(string) bool { return true }

// Guards against streams that begin at a version before it is recorded, also one that was recorded, left and comes back.
func TestVersionsAreOfferedOnceRecorded(t *testing.T) {
	h := &versionhistory.History{}
	h.SetListed(list("v1"), start)
	assert.Assert(t, h.Waiting(all) && !h.Offered("models", "v1"))
	assert.Assert(t, !h.Waiting(func(string) bool { return false }))
	h.SetRecord(record(0, map[string]time.Duration{"v1": 0, "v2": 0, "v3": time.Second}), start, true)
	assert.Assert(t, !h.Waiting(all) && h.Offered("models", "v1"))
	for _, version := range []string{"v2", "v3", "v4"} {
		assert.Assert(t, !h.Offered("models", version))
		h.Offer("models", version)
		assert.Assert(t, !h.Offered("models", version), "%s is not listed", version)
	}
	h.SetListed(list("v1", "v3"), after(time.Second))
	assert.Assert(t, h.Waiting(all) && !h.Offered("models", "v3"), "recorded as absent")
	next, due := h.NextRecord(1, after(time.Second))
	assert.Assert(t, due)
	assert.Equal(t, next.AbsentMs["models"]["v3"], int64(0))
	h.RecordWritten(next, after(time.Second))
	assert.Assert(t, !h.Waiting(all) && h.Offered("models", "v3"))
	h.SetListed(list("v1"), after(2*time.Second))
	h.SetListed(list("v1", "v3"), after(3*time.Second))
	assert.Assert(t, h.Waiting(all) && !h.Offered("models", "v3"))
}

// Guards against a record that says that a version is absent for longer than it is, whatever the routers that write in turn know.
func TestAbsenceIsNeverOverstated(t *testing.T) {
	first := &versionhistory.History{}
	first.SetListed(list("v1", "v2"), start)
	first.SetRecord(versionrecord.Complete(1, start), start, true)
	r, _ := first.NextRecord(1, start)
	first.RecordWritten(r, start)
	first.SetListed(list("v2"), after(10*time.Second))
	left := 10 * time.Second
	var writer *versionhistory.History
	for at := 15 * time.Second; at < 70*time.Second; at += 7 * time.Second {
		// A router that has just started goes on with what the one before it has written.
		next := &versionhistory.History{}
		next.SetListed(list("v2"), after(at))
		next.SetRecord(r, after(at+time.Second), true)
		writer = next
		r, _ = writer.NextRecord(1, after(at+3*time.Second))
		absent := time.Duration(r.AbsentMs["models"]["v1"]) * time.Millisecond
		assert.Assert(t, absent <= at+3*time.Second-left, "%v at %v", absent, at)
		assert.Assert(t, r.Covered() <= 10*time.Minute)
	}
	assert.Assert(t, r.AbsentMs["models"]["v1"] >= 10_000, "%v", r.AbsentMs)
}

// Guards against a version that is kept in the record for ever, and against calls to the store that tell nothing new.
func TestWritesAreFew(t *testing.T) {
	h := &versionhistory.History{}
	h.SetListed(list("v1", "v2"), start)
	h.SetRecord(versionrecord.Complete(1, start), start, true)
	writes := map[string]int{}
	for s := range 600 {
		period := fmt.Sprint(s / 200)
		if s == 200 {
			h.SetListed(list("v2"), after(200*time.Second))
		}
		now := after(time.Duration(s) * time.Second)
		r, due := h.NextRecord(1, now)
		if due {
			h.RecordWritten(r, now)
			writes[period]++
		}
		_, has := r.AbsentMs["models"]["v1"]
		assert.Equal(t, has, s < 350, "%d", s)
	}
	t.Logf("%v", writes)
	assert.Assert(t, writes["0"] <= 8 && writes["1"] <= 18 && writes["2"] <= 8, "%v", writes)
}

// Guards against a record that covers the time in which routers ran that write none.
func TestUncover(t *testing.T) {
	h := restarted(record(time.Minute, map[string]time.Duration{"v2": 0}), true, "v2")
	assert.Equal(t, only(h, 0), "v2")
	h.Uncover(start)
	assert.Equal(t, only(h, 0), "?")
	r, due := h.NextRecord(0, after(time.Second))
	assert.Assert(t, due)
	assert.Equal(t, r.CoveredMs, int64(1000))
}
