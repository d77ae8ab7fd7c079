package outcome

// Outcome tells a caller whether its request was executed.
type Outcome string

const (
	// NotRun guarantees that no byte of the request can have had an effect.
	NotRun Outcome = "notRun"
	// Ran means that the endpoint answered the request.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = "unknown"
)
