package request

import (
	"time"

	"savoryfall/core/prompt"
)

// Request is one attempt of a client: what it requests, and what it states about the request.
type Request struct {
	// ID identifies the client's attempt; the endpoint echoes it.
	ID string
	// Host and Path select the route; Target is the path and query as the client sent them.
	Host   string
	Path   string
	Target string
	Method string
	// APIKey is the bearer key of the client account, empty if there is none.
	APIKey string
	// Timeout is how long the client waits for the answer, 0 if it does not say.
	Timeout time.Duration
	// LastEventID is the id of the last event of a stream that the client has received, empty for a new stream.
	LastEventID string
	// Resumes is the id of the client's attempt that brought the first event of the stream, empty if the client does not say.
	Resumes string
	// Model, Prompt and MaxOutputTokens describe a generation.
	Model           string
	Prompt          prompt.Chain
	MaxOutputTokens int
	// LengthHint is the client's estimate of the tokens that will be generated, 0 if there is none. InvalidHint means that the
	// client sent one that is no positive number.
	LengthHint  int
	InvalidHint bool
}

// ResumesStream reports whether the client resumes a stream of which it has events.
func (r *Request) ResumesStream() bool { return r.LastEventID != "" || r.Resumes != "" }
