package ask

import (
	"time"

	"savoryfall/core/outcome"
)

// Reason is why a request was not served.
type Reason string

// The reasons that a client is told, and that logs and metrics name.
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
	NoEndpoint      Reason = "noEndpoint"
	Full            Reason = "full"
	Reserved        Reason = "reserved"
	Refused         Reason = "refused"
	Unreachable     Reason = "unreachable"
	Broken          Reason = "broken"
	Late            Reason = "late"
	Gone            Reason = "clientGone"
	// ConnectionEnded says that this router has ended the client's connection.
	ConnectionEnded Reason = "connectionEnded"
)

// Problem is the answer to a request that was not served.
type Problem struct {
	Reason  Reason
	Outcome outcome.Outcome
	// Back is when the client should come back, 0 when it should not.
	Back time.Duration
}

// Error names the reason and whether the request ran.
func (p *Problem) Error() string { return string(p.Reason) + " (" + string(p.Outcome) + ")" }

// NotRun is a problem of a request that has not run and will not.
func NotRun(r Reason, back time.Duration) *Problem {
	return &Problem{Reason: r, Outcome: outcome.NotRun, Back: back}
}

// Unknown is a problem of a request that may have run.
func Unknown(r Reason) *Problem { return &Problem{Reason: r, Outcome: outcome.Unknown} }
