package request

import "time"

// EndpointRequest is what the router sends to an endpoint in addition to what the client sent.
type EndpointRequest struct {
	// ID identifies the client's attempt.
	ID string
	// Endpoint is the instance that is meant; another instance at its address must not execute the request.
	Endpoint string
	// Account is the client account, empty for public routes.
	Account string
	// Remaining is how much longer an answer is of use.
	Remaining time.Duration
	// LastEventID is the id of the last event that the client has received, empty for a stream from its start.
	LastEventID string
	// FetchFrom is the address of another endpoint that has cached parts of the prompt which this one lacks, empty for
	// none.
	FetchFrom string
	// Priority is from 0, the most urgent, to 9. It is valid only if HasPriority is set.
	Priority    int
	HasPriority bool
}

// EndpointResponse is the content of the header of an endpoint's answer.
type EndpointResponse struct {
	// FromEndpoint means that the answer carries the endpoint's own signature; without it, the answer is not from the
	// endpoint.
	FromEndpoint bool
	// NotExecuted is the endpoint's guarantee that it has not executed the request and will not.
	NotExecuted bool
	// WrongInstance means that another instance has the address.
	WrongInstance bool
	// ContentEncoded means that the body has a content encoding, so that it is not as the endpoint produced it.
	ContentEncoded bool
	// Leaving means that the process that answered is about to stop and must get no new requests.
	Leaving bool
	// Brittle means that the endpoint falls over if it has to turn away too many requests in a second.
	Brittle bool
	// Pause is for how long the endpoint wants no further requests from this router, 0 if it does not say.
	Pause time.Duration
	// Running and Waiting are the endpoint's load, Slots is how many requests it runs at once, 0 if it does not say. They are
	// valid only if HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
	// Slowdown is the factor by which work on the endpoint's VM takes longer than usual at the moment, 0 if it does not say.
	Slowdown float64
	// InvalidLoad means that the answer has a load that cannot be read.
	InvalidLoad bool
}
