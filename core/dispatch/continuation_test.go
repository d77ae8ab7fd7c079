package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/origin"
)

// newVersionDispatcher returns a dispatcher with engines of each version, in the order given.
func newVersionDispatcher(versions ...string) (d *dispatch.Dispatcher, entries []directory.Entry) {
	d, _ = newDispatcher(0)
	for i, v := range versions {
		entries = append(entries, directory.Entry{
			ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Service: models, FailureDomain: "a", Slots: 32, Version: v, Born: 1000,
		})
	}
	d.Update(entries, start)
	return d, entries
}

func continuing(e directory.Entry, doc uint64) dispatch.Query {
	o := origin.Of(e, start)
	return dispatch.Query{Service: models, Prompt: document(doc, doc), Origin: &o}
}

// Guards against a stream that goes on at another version, whatever its prompt, and against new streams that shun one.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	d, entries := newVersionDispatcher("v1", "v1.1", "v1.2", "v1.10", "v1", "v1.2", "v1.10", "v1.1")
	began := map[string]int{}
	for doc := range uint64(400) {
		e := entries[doc%uint64(len(entries))]
		a := choose(t, d, continuing(e, doc), start)
		assert.Equal(t, a.Endpoint().Version, e.Version)
		a.End(dispatch.Abandoned, start)
		b := choose(t, d, dispatch.Query{Service: models, Prompt: document(doc, doc)}, start)
		began[b.Endpoint().Version]++
		b.End(dispatch.Abandoned, start)
	}
	for _, v := range []string{"v1", "v1.1", "v1.2", "v1.10"} {
		assert.Assert(t, began[v] > 60 && began[v] < 150, "%v", began)
	}
}

// Guards against a stream that waits, or goes elsewhere, when no endpoint of its version may take it.
func TestStreamWithoutItsVersionIsRefused(t *testing.T) {
	d, entries := newVersionDispatcher("v1", "v2", "v2")
	refuse := func(q dispatch.Query, want dispatch.Reason) {
		t.Helper()
		a, reason := d.Choose(q, start)
		assert.Assert(t, a == nil)
		assert.Equal(t, reason, want)
	}
	q := continuing(entries[0], 1)
	q.Tried = []string{"e0"}
	refuse(q, dispatch.ReasonNoVersion)
	assert.Assert(t, !d.HasCapacityElsewhere(q, start))
	a := choose(t, d, continuing(entries[0], 1), start)
	a.MarkLeaving()
	refuse(continuing(entries[0], 1), dispatch.ReasonNoVersion)
	d.Update(entries[1:], start)
	refuse(continuing(entries[0], 1), dispatch.ReasonNoVersion)
}

// Guards against a stream that goes on at the version that its endpoint had before it started again.
func TestStreamOfRestartedEndpointIsRefused(t *testing.T) {
	d, entries := newVersionDispatcher("v1", "v1", "v2")
	restarted := entries[0]
	restarted.Version, restarted.Born = "v2", start.UnixMilli()+200
	d.Update(append([]directory.Entry{restarted}, entries[1:]...), start)
	_, reason := d.Choose(continuing(entries[0], 1), start)
	assert.Equal(t, reason, dispatch.ReasonDoubtfulVersion)
	a := choose(t, d, continuing(entries[1], 1), start)
	assert.Equal(t, a.Endpoint().ID, "e1")
}

// Guards against streams that are refused although the endpoints of their version are there, because these did not answer for
// a moment.
func TestStreamGoesOnAtSilentEndpointOfItsVersion(t *testing.T) {
	d, entries := newVersionDispatcher("v1", "v2", "v2")
	choose(t, d, continuing(entries[0], 1), start).End(dispatch.Silent, start)
	a := choose(t, d, continuing(entries[0], 1), start.Add(100*time.Millisecond))
	assert.Equal(t, a.Endpoint().ID, "e0")
	b := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 1)}, start.Add(100*time.Millisecond))
	assert.Equal(t, b.Endpoint().Version, "v2")
}

// Guards against the last endpoint of a version that is given more streams than it has slots.
func TestLastEndpointOfVersionIsNotOverrun(t *testing.T) {
	d, entries := newVersionDispatcher("v1", "v2", "v2", "v2")
	sent := 0
	for doc := range uint64(200) {
		q := continuing(entries[0], doc)
		q.Prompt = nil
		a, reason := d.Choose(q, start)
		if a == nil {
			assert.Equal(t, reason, dispatch.ReasonAllFull)
			continue
		}
		sent++
	}
	assert.Equal(t, sent, entries[0].Slots)
}
