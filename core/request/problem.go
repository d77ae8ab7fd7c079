package request

import (
	"time"

	"savoryfall/core/outcome"
)

// Reason is why a request was not served.
type Reason string

// The reasons that error responses, logs and metrics give.
const (
	Malformed       Reason = "malformed"
	HeaderTooLarge  Reason = "headerTooLarge"
	BodyTooLarge    Reason = "bodyTooLarge"
	BodySlow        Reason = "bodySlow"
	UnknownKey      Reason = "unknownKey"
	UnknownRoute    Reason = "unknownRoute"
	NoConfiguration Reason = "noConfiguration"
	StaleKeys       Reason = "staleKeys"
	Stopping        Reason = "stopping"
	// GraceTooShort means that this router stops before the request is expected to be answered.
	GraceTooShort Reason = "graceTooShort"
	NoEndpoint    Reason = "noEndpoint"
	Paused        Reason = "paused"
	Full          Reason = "full"
	Reserved      Reason = "reserved"
	// Infeasible means that no endpoint was expected to serve the request in time.
	Infeasible  Reason = "infeasible"
	Refused     Reason = "refused"
	Unreachable Reason = "unreachable"
	Broken      Reason = "broken"
	// UnconfirmedRefusal means that the status of the endpoint's response guarantees clients that the request has not run, and the
	// response does not.
	UnconfirmedRefusal Reason = "unconfirmedRefusal"
	// NoVersion means that no endpoint of the software version that began the stream can take it, and UnknownVersion that it
	// is not known which version that was.
	NoVersion      Reason = "noVersion"
	UnknownVersion Reason = "unknownVersion"
	// Quarantined means that endpoints crashed under requests with a part of the prompt.
	Quarantined Reason = "quarantined"
	// Memory means that this router holds as many bytes of requests, or for slow peers, as it may.
	Memory Reason = "memory"
	// NoAttemptLeft means that the route's attempts, the deadline or the retry budget allow no further attempt.
	NoAttemptLeft    Reason = "noAttemptLeft"
	DeadlineExceeded Reason = "late"
	ClientGone       Reason = "clientGone"
	// ConnectionEnded means that this router has closed the client's connection.
	ConnectionEnded Reason = "connectionEnded"
)

// Problem is the answer to a request that was not served.
type Problem struct {
	Reason  Reason
	Outcome outcome.Outcome
	// RetryAfter is when the client should retry, 0 if it should not.
	RetryAfter time.Duration
}

// Error returns the reason and whether the request was executed.
func (p *Problem) Error() string { return string(p.Reason) + " (" + string(p.Outcome) + ")" }

// NotRun returns a problem of a request that was not executed and will not be.
func NotRun(r Reason, back time.Duration) *Problem {
	return &Problem{Reason: r, Outcome: outcome.NotRun, RetryAfter: back}
}

// Unknown returns a problem of a request that may have been executed.
func Unknown(r Reason) *Problem { return &Problem{Reason: r, Outcome: outcome.Unknown} }
