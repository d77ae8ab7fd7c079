package ask

import "time"

// Sending is what the router tells an endpoint beside what the client sent.
type Sending struct {
	// ID is that of the client's attempt.
	ID string
	// Endpoint is the instance that is meant; another one at its address must not run the request.
	Endpoint string
	// Account is the client account, empty for public routes.
	Account string
	// Left is how long an answer is of use.
	Left time.Duration
	// LastEvent is the id of the last event that the client has, empty for a stream from its start.
	LastEvent string
	// FetchFrom is the address of another endpoint that holds parts of the prompt which this one lacks, empty for none.
	FetchFrom string
	// Urgency is from 0, the most urgent, to 9; HasUrgency tells whether it is said.
	Urgency    int
	HasUrgency bool
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// Signed tells that the answer carries the endpoint's own mark; without it, it is not the endpoint's.
	Signed bool
	// NotRun is the endpoint's promise that the request has not run and will not.
	NotRun bool
	// Elsewhere tells that another instance has the address.
	Elsewhere bool
	// Encoded tells that the body is not as the endpoint made it.
	Encoded bool
	// Running and Waiting are the endpoint's load when HasLoad is set.
	Running, Waiting int
	HasLoad          bool
}
