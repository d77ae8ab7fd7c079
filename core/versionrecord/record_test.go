package versionrecord_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/versionrecord"
)

var now = time.Unix(100_000, 0)

// Guards against a record that is believed although the store came back from an older copy, or routers that write none may have
// run since; and against one that is not believed because two clocks are five seconds off.
func TestCheck(t *testing.T) {
	for name, tc := range map[string]struct {
		age        time.Duration
		generation int64
		want       versionrecord.Unusable
	}{
		"new":                           {0, 3, ""},
		"as old as it gets":             {versionrecord.RefreshInterval, 3, ""},
		"clocks 5 s off, one behind":    {versionrecord.RefreshInterval + 9*time.Second, 3, ""},
		"clocks 5 s off, one ahead":     {-9 * time.Second, 3, ""},
		"old":                           {versionrecord.RefreshInterval + 11*time.Second, 3, versionrecord.Old},
		"far ahead":                     {-11 * time.Second, 3, versionrecord.Early},
		"store of a later generation":   {0, 4, versionrecord.OtherGeneration},
		"store of an earlier one, late": {time.Hour, 2, versionrecord.OtherGeneration},
	} {
		r := versionrecord.Record{Generation: 3, WrittenAt: now.Add(-tc.age).UnixMilli()}
		assert.Equal(t, r.Check(tc.generation, now), tc.want, name)
	}
}

// Guards against bytes of another writer that are taken for a record.
func TestDecode(t *testing.T) {
	for _, text := range []string{"", "x", "[]", `{"coveredMs":-1}`, `{"absentMs":{"s":{"v":-1}}}`, `{"absentMs":{"s":7}}`, `{"generation":"1"}`} {
		_, err := versionrecord.Decode([]byte(text))
		assert.Assert(t, err != nil, "%s", text)
	}
	r := versionrecord.Complete(2, now)
	r.AbsentMs = map[string]map[string]int64{}
	r.SetAbsent("models", "v1", 3*time.Second)
	r.SetAbsent("models", "", 0)
	data, err := r.Encode()
	assert.NilError(t, err)
	decoded, err := versionrecord.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, r)
	assert.Equal(t, decoded.Versions(), 2)
}

// Guards against what a record says of a long time being lost with all routers, and against writes for every second.
func TestSaysMore(t *testing.T) {
	at := func(d, covered, absent time.Duration) (r versionrecord.Record) {
		r = versionrecord.Record{WrittenAt: now.Add(d).UnixMilli(), AbsentMs: map[string]map[string]int64{}}
		r.SetCovered(covered)
		r.SetAbsent("models", "v1", absent)
		return r
	}
	const second = time.Second
	before := at(0, 3*second, 0)
	assert.Assert(t, !at(second, 4*second, 0).SaysMore(before))
	assert.Assert(t, at(2*second, 5*second, 0).SaysMore(before), "covers a step more")
	assert.Assert(t, at(second, 4*second, second).SaysMore(before), "left")
	assert.Assert(t, before.SaysMore(at(0, 3*second, second)), "is back")
	assert.Assert(t, at(30*second, 3*second, 0).SaysMore(before), "old")
	assert.Assert(t, at(0, 3*second, time.Hour).SaysMore(before), "left out")
	assert.Assert(t, !at(second, 61*second, 61*second).SaysMore(at(0, 60*second, 60*second)))
	other := before
	other.Generation++
	assert.Assert(t, other.SaysMore(before))
}
