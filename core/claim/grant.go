package claim

import (
	"fmt"
	"time"

	"savoryfall/core/outcome"
)

// Request is a call that may run at most once.
type Request struct {
	Account string
	Key     string
	Digest  string
	Attempt string
	Created time.Time
}

// Grant is the right to send the call once, until Expired.
type Grant struct {
	Claim   Request
	Offset  int64
	Expires time.Time
	// Recorded is set in place of the right to send when the call has run before.
	Recorded *Result
}

// Expired tells whether the right to send has lapsed, as after a pause of this process.
func (g Grant) Expired(now time.Time) bool { return !now.Before(g.Expires) }

// Result is how a claimed call ended.
type Result struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
}

// RefusedError says that the call may not be sent, and what is known of it.
type RefusedError struct {
	Status     int
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("call refused (%s): %s", e.Outcome, e.Reason)
}
