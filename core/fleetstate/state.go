package fleetstate

import "time"

// Report is what one router knows. Field names are part of the wire format between routers.
type Report struct {
	Endpoints []EndpointState
	Accounts  []AccountDemand
	Retries   []PromisedRetries
	Latencies []ServiceLatency
}

// Totals is what all routers together know: the newest state of each endpoint, and sums of everything else.
type Totals struct {
	Report
	// Routers is how many routers' reports are in it.
	Routers int
}

// EndpointState is what an endpoint last reported in an answer, and what the routers have there.
type EndpointState struct {
	// Endpoint is the hash of the endpoint's id.
	Endpoint uint32
	// Running, Waiting and Slots are as reported in the newest answer that any router received, Age ago.
	Running, Waiting, Slots int
	Age                     time.Duration
	// Slowdown is the factor by which the endpoint's VM was slower than usual, 0 if the answer did not say.
	Slowdown float32
	// Lasting is the learned factor by which the endpoint is slower than others of its service, 0 if unknown.
	Lasting float32
	// HeldTokens is the number of prompt and output tokens of the routers' running requests there.
	HeldTokens int
}

// AccountDemand is the demand of a client account, or of several accounts together, for a service at a rank.
type AccountDemand struct {
	// Service is the hash of the service's name.
	Service uint32
	Rank    int
	// Account is the hash of the account's name, 0 for all accounts that are not listed by themselves.
	Account uint32
	// Accounts is how many accounts the entry stands for.
	Accounts int
	// Arrivals counts the requests and decays over time.
	Arrivals float32
}

// PromisedRetries counts the clients of a service and rank that were told to retry in a certain slot of time.
type PromisedRetries struct {
	// Service is the hash of the service's name.
	Service uint32
	Rank    int
	// Ahead is the slot, counted in RetrySlot from the time of the report: the clocks of routers differ.
	Ahead int
	Count int
}

// RetrySlot is the length of a slot of PromisedRetries.
const RetrySlot = 250 * time.Millisecond

// ServiceLatency sums the answers of a service. All figures decay over time.
type ServiceLatency struct {
	// Service is the hash of the service's name.
	Service uint32
	// Answers counts the answers, TotalMs is the sum of the times that they took, in milliseconds, and Refusals counts the
	// requests that endpoints refused.
	Answers  float32
	TotalMs  float32
	Refusals float32
}
