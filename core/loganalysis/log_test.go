package loganalysis_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/loganalysis"
)

const sampleLog = `ts=2026-05-28T10:22:50Z vm=a event=configurationInForce version=13 from=11 offset=4 routes=122
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

func readLog(t *testing.T, text string) *loganalysis.Log {
	l := &loganalysis.Log{}
	assert.NilError(t, l.Read(strings.NewReader(text)))
	return l
}

// Explain returns the line of the request and the earlier lines about the view of its router, but not those of another
// router.
func TestExplain(t *testing.T) {
	l := readLog(t, sampleLog)
	assert.Equal(t, l.Len(), 8)
	assert.Equal(t, l.Skipped(), 2)
	var got []string
	for _, line := range l.Explain("r1") {
		got = append(got, string(line.Event))
	}
	assert.DeepEqual(t, got, []string{"configurationInForce", "storeLost", "endpointGone", "requestRefused"})
	assert.Equal(t, len(l.Explain("r9")), 0)
}

// A router's VM is lost and restarts, and its first request arrives before it has read any configuration. Explain used
// to show a configuration and an endpoint that only the previous process had known, as if they had applied to the
// request. It must show only what the new process knew, including lines written just before the line that it started.
// It must also say that the previous process ended without logging a stop, but not after an ordinary stop.
func TestExplanationIsOfOneProcess(t *testing.T) {
	const before = `ts=2026-05-28T10:00:00Z vm=a event=configurationInForce version=13 from=0
ts=2026-05-28T10:00:00.1Z vm=a event=started
ts=2026-05-28T10:00:03Z vm=a event=storeLost topic=configuration
`
	const after = `ts=2026-05-28T10:00:07.8Z vm=a event=hubFollowed hub=a
ts=2026-05-28T10:00:08Z vm=a event=started
ts=2026-05-28T10:00:08.1Z vm=a event=requestRefused request=r1 reason=noConfiguration
`
	explain := func(text string) (events []string, words int) {
		for _, line := range readLog(t, text).Explain("r1") {
			events = append(events, string(line.Event))
			words += len(line.Explanation)
		}
		return events, words
	}
	want := []string{"hubFollowed", "started", "requestRefused"}
	events, words := explain(before + after)
	assert.DeepEqual(t, events, want)
	assert.Equal(t, words, 1)
	events, words = explain(before + "ts=2026-05-28T10:00:07.5Z vm=a event=stopped open=0\n" + after)
	assert.DeepEqual(t, events, want)
	assert.Equal(t, words, 0)
	events, words = explain(after)
	assert.DeepEqual(t, events, want)
	assert.Equal(t, words, 0)
}

// Report includes intervals without failures, so that a plot shows the time in between.
func TestReport(t *testing.T) {
	buckets, causes := readLog(t, sampleLog).Report(time.Second)
	assert.Equal(t, len(buckets), 4)
	assert.DeepEqual(t, causes, []loganalysis.Cause{"broken", "endpoint", "staleKeys"})
	assert.Equal(t, buckets[0].Counts["broken"], 1)
	assert.Equal(t, len(buckets[1].Counts), 0)
	assert.Equal(t, buckets[3].Counts["endpoint"]+buckets[3].Counts["staleKeys"], 2)
	none, _ := readLog(t, "").Report(time.Second)
	assert.Equal(t, len(none), 0)
}

// From the line of a refused request, the log must tell whether the router was cut off from all endpoints.
func TestExplainUnreachable(t *testing.T) {
	lines := readLog(t, `ts=2026-05-28T10:00:00Z vm=a event=started
ts=2026-05-28T10:00:03Z vm=a event=serviceUnreachable service=s endpoints=9 down=3 lastBytesMs=480
ts=2026-05-28T10:00:05Z vm=a event=requestRefused request=r1 reason=unreachable service=s unreachableMs=2000 lastBytesMs=2480
`).Explain("r1")
	assert.Equal(t, string(lines[len(lines)-2].Event), "serviceUnreachable")
	assert.DeepEqual(t, lines[len(lines)-1].Explanation, []string{
		"This router had had no way of its own to any endpoint of the service for 2000 ms; the last bytes from one came 2480 ms before.",
	})
}
