package loganalysis

import (
	"sort"
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
)

// Cause is why a request was not served: the reason of a refusal, or "endpoint" if an endpoint responded with an error.
type Cause string

// causeEndpoint is the cause of a failure that an endpoint responded with.
const causeEndpoint Cause = "endpoint"

// Bucket counts the requests that were not served in one interval, by cause.
type Bucket struct {
	Start  time.Time
	Counts map[Cause]int
}

// Report counts the requests that were not served in intervals of the given length. It also returns the causes, the
// most frequent first.
func (l *Log) Report(interval time.Duration) (buckets []Bucket, causes []Cause) {
	totals := map[Cause]int{}
	for _, line := range l.lines {
		cause, ok := causeOf(line)
		if !ok {
			continue
		}
		from := line.Time.Truncate(interval)
		for len(buckets) > 0 && buckets[len(buckets)-1].Start.Before(from) {
			buckets = append(buckets, Bucket{Start: buckets[len(buckets)-1].Start.Add(interval), Counts: map[Cause]int{}})
		}
		if len(buckets) == 0 {
			buckets = []Bucket{{Start: from, Counts: map[Cause]int{}}}
		}
		buckets[len(buckets)-1].Counts[cause]++
		totals[cause]++
	}
	for cause := range totals {
		causes = append(causes, cause)
	}
	sort.Slice(causes, func(i, j int) bool {
		if totals[causes[i]] != totals[causes[j]] {
			return totals[causes[i]] > totals[causes[j]]
		}
		return causes[i] < causes[j]
	})
	return buckets, causes
}

func causeOf(line Line) (c Cause, ok bool) {
	switch line.Event {
	case event.RequestRefused:
		return Cause(line.Fields[field.Reason]), true
	case event.RequestFailed:
		return causeEndpoint, true
	}
	return "", false
}
