package originindex_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/origin"
	"savoryfall/core/originbatch"
	"savoryfall/core/originindex"
)

var start = time.Unix(1000, 0)

func record(key uint64, version string) originbatch.Record {
	return originbatch.Record{Key: key, Origin: origin.Origin{Service: "models", Version: version, Endpoint: "e-" + version, Born: 5, SentAt: int64(key)}}
}

func find(x *originindex.Index, key uint64, after time.Duration) (version string) {
	o, ok, conflict := x.Find(key, start.Add(after))
	switch {
	case conflict:
		return "conflict"
	case !ok:
		return ""
	}
	return o.Version
}

func TestFindReturnsWhatWasAdded(t *testing.T) {
	var x originindex.Index
	assert.Equal(t, find(&x, 1, 0), "")
	x.Add([]originbatch.Record{record(1, "v1"), record(2, "v2"), record(1, "v1")}, start)
	o, ok, conflict := x.Find(1, start)
	assert.Assert(t, ok && !conflict)
	assert.Equal(t, o, record(1, "v1").Origin)
	assert.Equal(t, find(&x, 2, 0), "v2")
	assert.Equal(t, find(&x, 3, 0), "")
	assert.Equal(t, x.Len(), 2)
}

// Guards against a stream that goes on at the version that one of two records names.
func TestRecordsThatDifferSayNothing(t *testing.T) {
	for name, later := range map[string]time.Duration{"same period": 0, "next period": 2 * time.Minute} {
		var x originindex.Index
		x.Add([]originbatch.Record{record(1, "v1")}, start)
		x.Add([]originbatch.Record{record(1, "v2")}, start.Add(later))
		x.Add([]originbatch.Record{record(1, "v1")}, start.Add(later))
		assert.Equal(t, find(&x, 1, later), "conflict", name)
	}
}

func TestOriginsAreKeptForAsLongAsStreamsTake(t *testing.T) {
	var x originindex.Index
	x.Add([]originbatch.Record{record(1, "v1")}, start)
	x.Add([]originbatch.Record{record(2, "v2")}, start.Add(119*time.Second))
	x.Add([]originbatch.Record{record(3, "v2")}, start.Add(121*time.Second))
	assert.Equal(t, find(&x, 2, 230*time.Second), "v2")
	assert.Equal(t, find(&x, 1, 245*time.Second), "")
	assert.Equal(t, find(&x, 3, 245*time.Second), "v2")
	assert.Equal(t, find(&x, 3, time.Hour), "")
	assert.Equal(t, x.Len(), 0)
}

func TestIndexIsBounded(t *testing.T) {
	const most = 200_000
	var x originindex.Index
	var list []originbatch.Record
	for i := range 2*most + 10 {
		list = append(list, record(uint64(i), "v1"))
	}
	x.Add(list, start)
	assert.Equal(t, x.Len(), most+10)
	// The newest are kept.
	assert.Equal(t, find(&x, 2*most+9, 0), "v1")
	assert.Equal(t, find(&x, most, 0), "v1")
	assert.Equal(t, find(&x, most-1, 0), "")
	x.Add([]originbatch.Record{record(most, "v2")}, start)
	assert.Equal(t, find(&x, most, 0), "conflict")
}
