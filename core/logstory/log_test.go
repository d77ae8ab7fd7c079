package logstory_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/logstory"
)

const lines = `ts=2026-05-28T10:22:50Z vm=a event=configurationInForce version=13 from=11 offset=4 routes=122
ts=2026-05-28T10:22:50.1Z vm=a event=endpointUsable endpoint=e1 service=s address=10.0.0.1:1 born=1
ts=2026-05-28T10:22:51Z vm=b event=storeLost topic=configuration err="turned away"
  12.5 a ts=2026-05-28T10:22:52Z vm=a event=storeLost topic=configuration err="read keyed: status 429"
ts=2026-05-28T10:22:53Z vm=a event=endpointGone endpoint=e1 service=s address=10.0.0.1:1
ts=2026-05-28T10:22:54Z vm=a event=requestRefused request=r1 route=x status=502 reason=broken outcome=unknown sends=1 endpoints=e1 version=13
ts=2026-05-28T10:22:57Z vm=a event=requestFailed request=r2 route=x status=500 by=endpoint endpoints=e2
ts=2026-05-28T10:22:57.5Z vm=b event=requestRefused request=r3 route=x status=503 reason=staleKeys
not a line
ts=yesterday vm=a event=x
`

func read(t *testing.T, text string) *logstory.Log {
	l := &logstory.Log{}
	assert.NilError(t, l.Read(strings.NewReader(text)))
	return l
}

// The story of a request is its own line and what its router had come to believe before, not what another had.
func TestStory(t *testing.T) {
	l := read(t, lines)
	assert.Equal(t, l.Len(), 8)
	assert.Equal(t, l.Skipped(), 2)
	var got []string
	for _, line := range l.Story("r1") {
		got = append(got, string(line.Event))
	}
	assert.DeepEqual(t, got, []string{"configurationInForce", "storeLost", "endpointGone", "requestRefused"})
	assert.Equal(t, len(l.Story("r9")), 0)
}

// A router's VM is lost and starts again; its first request comes before it has read anything. The story showed what the
// process before had believed, a configuration and an endpoint, as if the request had been judged by it. It must show what
// this process knew, also what it wrote just before it said that it had started, and that the one before ended without a
// word; after an ordinary stop it says nothing of that.
func TestStoryIsOfOneProcess(t *testing.T) {
	const before = `ts=2026-05-28T10:00:00Z vm=a event=configurationInForce version=13 from=0
ts=2026-05-28T10:00:00.1Z vm=a event=started
ts=2026-05-28T10:00:03Z vm=a event=storeLost topic=configuration
`
	const after = `ts=2026-05-28T10:00:07.8Z vm=a event=hubFollowed hub=a
ts=2026-05-28T10:00:08Z vm=a event=started
ts=2026-05-28T10:00:08.1Z vm=a event=requestRefused request=r1 reason=noConfiguration
`
	told := func(text string) (events []string, words int) {
		for _, line := range read(t, text).Story("r1") {
			events = append(events, string(line.Event))
			words += len(line.Words)
		}
		return events, words
	}
	want := []string{"hubFollowed", "started", "requestRefused"}
	events, words := told(before + after)
	assert.DeepEqual(t, events, want)
	assert.Equal(t, words, 1)
	events, words = told(before + "ts=2026-05-28T10:00:07.5Z vm=a event=stopped open=0\n" + after)
	assert.DeepEqual(t, events, want)
	assert.Equal(t, words, 0)
	events, words = told(after)
	assert.DeepEqual(t, events, want)
	assert.Equal(t, words, 0)
}

// Spans without a failure are there too, so that a plot shows the time between.
func TestReport(t *testing.T) {
	buckets, causes := read(t, lines).Report(time.Second)
	assert.Equal(t, len(buckets), 4)
	assert.DeepEqual(t, causes, []logstory.Cause{"broken", "endpoint", "staleKeys"})
	assert.Equal(t, buckets[0].Count["broken"], 1)
	assert.Equal(t, len(buckets[1].Count), 0)
	assert.Equal(t, buckets[3].Count["endpoint"]+buckets[3].Count["staleKeys"], 2)
	none, _ := read(t, "").Report(time.Second)
	assert.Equal(t, len(none), 0)
}
