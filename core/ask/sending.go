package ask

import "time"

// Sending is what the router tells an endpoint in addition to what the client sent.
type Sending struct {
	// ID identifies the client's attempt.
	ID string
	// Endpoint is the instance that is meant; another instance at its address must not execute the request.
	Endpoint string
	// Account is the client account, empty for public routes.
	Account string
	// Left is how much longer an answer is of use.
	Left time.Duration
	// LastEvent is the id of the last event that the client has received, empty for a stream from its start.
	LastEvent string
	// FetchFrom is the address of another endpoint that has cached parts of the prompt which this one lacks, empty for
	// none.
	FetchFrom string
	// Urgency is from 0, the most urgent, to 9. It is valid only if HasUrgency is set.
	Urgency    int
	HasUrgency bool
}

// Reply is the content of the header of an endpoint's answer.
type Reply struct {
	// Signed means that the answer carries the endpoint's own signature; without it, the answer is not from the
	// endpoint.
	Signed bool
	// NotRun is the endpoint's guarantee that it has not executed the request and will not.
	NotRun bool
	// Elsewhere means that another instance has the address.
	Elsewhere bool
	// Encoded means that the body has a content encoding, so that it is not as the endpoint produced it.
	Encoded bool
	// Running and Waiting are the endpoint's load. They are valid only if HasLoad is set.
	Running, Waiting int
	HasLoad          bool
}
