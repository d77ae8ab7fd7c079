package dispatch

import "time"

const (
	// defaultEventTime and defaultPlainTime are the times at ease until they are learned.
	defaultEventTime = 35 * time.Millisecond
	defaultPlainTime = 30 * time.Millisecond
)

// eventTime returns the time between two events of a stream of the service at ease.
func (d *Dispatcher) eventTime(string) time.Duration { return defaultEventTime }

// plainTime returns the time that a plain answer of the service takes at ease.
func (d *Dispatcher) plainTime(string) time.Duration { return defaultPlainTime }
