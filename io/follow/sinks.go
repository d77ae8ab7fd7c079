package follow

import (
	"time"

	"savoryfall/core/keyed"
)

// Sinks are several that each take all that is read of a topic, in order.
type Sinks []Sink

// Replace takes the newest record of every key.
func (s Sinks) Replace(records []keyed.Record) {
	for _, sink := range s {
		sink.Replace(records)
	}
}

// Apply takes what was written since.
func (s Sinks) Apply(records []keyed.Record) {
	for _, sink := range s {
		sink.Apply(records)
	}
}

// Read notes a read that found nothing newer.
func (s Sinks) Read(sent time.Duration) {
	for _, sink := range s {
		sink.Read(sent)
	}
}

// Failed notes a read that failed.
func (s Sinks) Failed(err error) {
	for _, sink := range s {
		sink.Failed(err)
	}
}
