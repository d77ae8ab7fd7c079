package follow

import (
	"time"

	"savoryfall/core/compactedlog"
)

// Sinks passes everything that is read of a topic to several sinks, in order.
type Sinks []Sink

// Replace passes on the newest record of every key.
func (s Sinks) Replace(records []compactedlog.Record) {
	for _, sink := range s {
		sink.Replace(records)
	}
}

// Apply passes on the records written since then.
func (s Sinks) Apply(records []compactedlog.Record) {
	for _, sink := range s {
		sink.Apply(records)
	}
}

// Read passes on a read that found nothing newer.
func (s Sinks) Read(sent time.Duration) {
	for _, sink := range s {
		sink.Read(sent)
	}
}

// Restored passes on that the store came back from an older copy.
func (s Sinks) Restored() {
	for _, sink := range s {
		sink.Restored()
	}
}

// Failed passes on a read that failed.
func (s Sinks) Failed(err error) {
	for _, sink := range s {
		sink.Failed(err)
	}
}
