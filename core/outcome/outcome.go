package outcome

// Outcome is what a caller is told about whether its request ran.
type Outcome string

const (
	// NotRun promises that no byte of the request can have been acted on.
	NotRun Outcome = "notRun"
	// Ran says that the endpoint answered the request.
	Ran Outcome = "ran"
	// Unknown says that the request may or may not have run.
	Unknown Outcome = "unknown"
)
