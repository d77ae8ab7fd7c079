package ask

import (
	"time"

	"savoryfall/core/prompt"
)

// Ask is one attempt of a client: what it requests, and what it states about the request.
type Ask struct {
	// ID identifies the client's attempt; the endpoint echoes it.
	ID string
	// Host and Path select the route; Target is the path and query as the client sent them.
	Host   string
	Path   string
	Target string
	Method string
	// Key is the bearer key of the client account, empty if there is none.
	Key string
	// Patience is how long the client waits for the answer, 0 if it does not say.
	Patience time.Duration
	// LastEvent is the id of the last event of a stream that the client has received, empty for a new stream.
	LastEvent string
	// Model, Prompt and MaxOutput describe a generation; MaxOutput is in tokens.
	Model     string
	Prompt    prompt.Chain
	MaxOutput int
}
