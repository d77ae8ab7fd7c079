package logstory

import (
	"sort"
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
)

// Cause is why requests were not served: the reason of a refusal, or "endpoint" for an endpoint's own failure.
type Cause string

// byEndpoint is the cause of a failure that an endpoint answered.
const byEndpoint Cause = "endpoint"

// Bucket is the requests that were not served in one span of time, by cause.
type Bucket struct {
	From  time.Time
	Count map[Cause]int
}

// Report counts the requests that were not served, in spans of the given length, and names the causes, the most frequent
// first.
func (l *Log) Report(span time.Duration) (buckets []Bucket, causes []Cause) {
	total := map[Cause]int{}
	for _, line := range l.lines {
		cause, ok := causeOf(line)
		if !ok {
			continue
		}
		from := line.At.Truncate(span)
		for len(buckets) > 0 && buckets[len(buckets)-1].From.Before(from) {
			buckets = append(buckets, Bucket{From: buckets[len(buckets)-1].From.Add(span), Count: map[Cause]int{}})
		}
		if len(buckets) == 0 {
			buckets = []Bucket{{From: from, Count: map[Cause]int{}}}
		}
		buckets[len(buckets)-1].Count[cause]++
		total[cause]++
	}
	for cause := range total {
		causes = append(causes, cause)
	}
	sort.Slice(causes, func(i, j int) bool {
		if total[causes[i]] != total[causes[j]] {
			return total[causes[i]] > total[causes[j]]
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
		return byEndpoint, true
	}
	return "", false
}
