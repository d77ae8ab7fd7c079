package claim

import (
	"fmt"
	"time"

	"savoryfall/core/outcome"
)

// Request describes a call that may run at most once.
type Request struct {
	Account string
	Key     string
	Digest  string
	Attempt string
	Created time.Time
}

// Grant is the permission to send the call once, before Expires.
type Grant struct {
	Claim   Request
	Offset  int64
	Expires time.Time
	// Recorded is set instead of granting the permission if the call has run before.
	Recorded *Result
}

// Expired reports whether the permission has lapsed, for example because this process was paused.
func (g Grant) Expired(now time.Time) bool { return !now.Before(g.Expires) }

// Result is the outcome of a claimed call.
type Result struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
}

// RefusedError reports that the call may not be sent, and what is known of its outcome.
type RefusedError struct {
	Status     int
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("call refused (%s): %s", e.Outcome, e.Reason)
}
