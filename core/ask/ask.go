package ask

import (
	"time"

	"savoryfall/core/prompt"
)

// Ask is one attempt of a client: what it wants, and what it says about it.
type Ask struct {
	// ID names the attempt of the client; the endpoint echoes it.
	ID string
	// Host and Path select the route; Target is path and query as the client sent them.
	Host   string
	Path   string
	Target string
	Method string
	// Key is the bearer key of the client account, empty without one.
	Key string
	// Patience is how long the client waits for the answer, 0 when it does not say.
	Patience time.Duration
	// LastEvent is the id of the last event that the client has of a stream, empty for a new one.
	LastEvent string
	// Model, Prompt and MaxOutput describe a generation; MaxOutput is in tokens.
	Model     string
	Prompt    prompt.Chain
	MaxOutput int
}
