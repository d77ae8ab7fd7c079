package field

// Name is the key of a field. docs/OPERATIONS.md describes each field.
type Name string

// Fields of every line.
const (
	// Time is the time of the line, in UTC.
	Time Name = "ts"
	// VM is the name of the router's VM.
	VM Name = "vm"
	// Event is the event, an event.Name.
	Event Name = "event"
)

// Fields of a request.
const (
	// Request is the id of the client's attempt.
	Request Name = "request"
	// Route is the name of the route; empty if none matches.
	Route Name = "route"
	// Status is the HTTP status of the response; 0 if the client did not receive a complete one.
	Status Name = "status"
	// Reason is why the request was not served, a request.Reason.
	Reason Name = "reason"
	// Outcome tells whether the request may have run, an outcome.Outcome.
	Outcome Name = "outcome"
	// By is what failed the request, if it was not this router.
	By Name = "by"
	// BackMs is the delay after which the client was asked to retry.
	BackMs Name = "backMs"
	// Sends is the number of endpoints that the request was sent to.
	Sends Name = "sends"
	// Endpoints lists the endpoints that were chosen, in order.
	Endpoints Name = "endpoints"
	// Software lists the software versions of the endpoints of Endpoints, in the same order; of a single endpoint, its own.
	Software Name = "software"
	// Version is the version of the configuration that was applied to the request, or that is in force.
	Version Name = "version"
	// ReadAgeMs is the time since the newest read of the configuration was sent.
	ReadAgeMs Name = "readAgeMs"
	// Ms is the time that the request spent in this router.
	Ms Name = "ms"
)

// Fields of a stream that goes on at another endpoint or in another attempt.
const (
	// Way is how it goes on: within one answer, or over the client's next attempt.
	Way Name = "way"
	// Resumes is the client's attempt that brought the first event, as the client states it.
	Resumes Name = "resumes"
	// BeganAt is the endpoint that wrote the first event, empty if only its software version is known.
	BeganAt Name = "beganAt"
	// BeganBorn is the start time of the process that wrote the first event.
	BeganBorn Name = "beganBorn"
	// BeganSoftware is the software version that wrote the first event.
	BeganSoftware Name = "beganSoftware"
	// LastEvent is the id of the last event that the client has.
	LastEvent Name = "lastEvent"
)

// Fields of an answer that has broken off at an endpoint.
const (
	// RequestKey identifies the request over its client's attempts, in hexadecimal.
	RequestKey Name = "requestKey"
	// SilentMs is how long nothing had come from the endpoint, 0 if the connection ended.
	SilentMs Name = "silentMs"
	// Expected is set if the endpoint may have ended for a reason of its own: it was leaving, drained, not listed, or brittle.
	Expected Name = "expected"
	// Process is what is known of the endpoint's process afterwards: it has ended, it is alive, or unknown.
	Process Name = "process"
	// Events is the number of events that the endpoint has sent.
	Events Name = "events"
	// Model is the model that the request names.
	Model Name = "model"
	// Parts lists the ids of the parts of the prompt, in hexadecimal.
	Parts Name = "parts"
)

// Fields of a quarantined prompt part.
const (
	// Part is the id of the part, in hexadecimal.
	Part Name = "part"
	// Scope is the hash of the service and model for which the part is quarantined.
	Scope Name = "scope"
	// Crashes is the number of crashes under requests with the part.
	Crashes Name = "crashes"
	// Processes is the number of endpoints' processes that ended in them.
	Processes Name = "processes"
	// Trials is the number of trials of the part.
	Trials Name = "trials"
	// TrialMs is the time until the next trial.
	TrialMs Name = "trialMs"
)

// Fields of a refusal for lack of capacity.
const (
	// Service is the endpoint service.
	Service Name = "service"
	// Rank is the rank of the request's priority among requests to the service; 0 is the most urgent.
	Rank Name = "rank"
	// Account is the client account.
	Account Name = "account"
	// Taken is the estimated number of slots and queue positions in use.
	Taken Name = "taken"
	// Places is the number of slots and queue positions.
	Places Name = "places"
	// WaitedMs is how long the request waited in this router for a place at an endpoint.
	WaitedMs Name = "waitedMs"
	// ExpectedFirstMs is when the first event was expected from the endpoint that would have answered first.
	ExpectedFirstMs Name = "expectedFirstMs"
	// ExpectedLastMs is when its last event was expected.
	ExpectedLastMs Name = "expectedLastMs"
	// TargetMs is the latency target of the request.
	TargetMs Name = "targetMs"
	// LeftMs is how long the client still waited when an endpoint was to be chosen.
	LeftMs Name = "leftMs"
	// GraceLeftMs is how long a router that stops could still answer.
	GraceLeftMs Name = "graceLeftMs"
	// LoadsAgeMs is the age of the load data of the other routers.
	LoadsAgeMs Name = "loadsAgeMs"
	// AccountDemand is how many requests a second the account sends to the service at this rank, by all routers.
	AccountDemand Name = "accountDemand"
	// AccountShare is how many of them it may have served.
	AccountShare Name = "accountShare"
	// AccountHash identifies an account between routers, in hexadecimal.
	AccountHash Name = "accountHash"
	// Retrying tells whether the client has tried the request before.
	Retrying Name = "retrying"
)

// Fields of a service whose endpoints this router cannot connect to.
const (
	// UnreachableMs is for how long this router has had no way of its own to any endpoint of the service.
	UnreachableMs Name = "unreachableMs"
	// LastBytesMs is the time since this router received bytes from any endpoint of the service; -1 if it never has.
	LastBytesMs Name = "lastBytesMs"
	// Down is the number of endpoints at which the newest connection attempt has failed.
	Down Name = "down"
	// Ready tells whether the readiness check passes.
	Ready Name = "ready"
)

// Fields of the speed that a router believes an endpoint to have.
const (
	// Factor is by how much longer than usual work is expected to take at the endpoint now.
	Factor Name = "factor"
	// Lasting is the part of the factor that does not depend on what the endpoint reports.
	Lasting Name = "lasting"
	// AgeMs is the time since the newest report or work of the endpoint.
	AgeMs Name = "ageMs"
	// Distrusted tells whether the reports of the endpoint have become distrusted.
	Distrusted Name = "distrusted"
)

// Fields of a client connection that has ended.
const (
	// Ended is who ended the connection, a clientconn.CloseReason.
	Ended Name = "ended"
	// Served is the number of responses that it had carried before.
	Served Name = "served"
	// IdleMs is how long it was idle before the request; in a configuration, the limit on that.
	IdleMs Name = "idleMs"
	// ReadMs is the time from the first byte of the request to its handler.
	ReadMs Name = "readMs"
)

// Fields of reads from the store.
const (
	// Topic is the data that is read: the configuration or the registry.
	Topic Name = "topic"
	// Offset is the offset of a record, or of the next one to read.
	Offset Name = "offset"
	// Want is the offset that was expected next.
	Want Name = "want"
	// End is the offset at which the log ends, as an answer of the store states it.
	End Name = "end"
	// First is the first offset that the store still keeps.
	First Name = "first"
	// Generation is the generation of the store's log, which rises when the store comes back from an older copy.
	Generation Name = "generation"
	// Failures is the number of failed reads.
	Failures Name = "failures"
	// AfterMs is how long the store was unavailable, or this router behind the end of the log.
	AfterMs Name = "afterMs"
	// From is the version that was in force before.
	From Name = "from"
	// Routes is the number of routes in the configuration.
	Routes Name = "routes"
	// HeaderMs is the limit on the time to read the header of a request.
	HeaderMs Name = "headerMs"
	// Endpoint is the id of an endpoint.
	Endpoint Name = "endpoint"
	// Address is the address of an endpoint or of a listener.
	Address Name = "address"
	// Domain is the name of a failure domain.
	Domain Name = "domain"
	// Listed is the number of known endpoints in the failure domain.
	Listed Name = "listed"
	// Born is the start time of the endpoint's process, from its registry entry.
	Born Name = "born"
	// Leaving tells whether the endpoint's process has announced that it is leaving.
	Leaving Name = "leaving"
	// PausedMs is for how long a stream was not read for want of memory.
	PausedMs Name = "pausedMs"
	// PauseMs is for how long an endpoint asked for no requests.
	PauseMs Name = "pauseMs"
	// Refusals is the number of requests that the endpoint refused in a pause.
	Refusals Name = "refusals"
	// Source is where a change was learned from: the registry, the hub, or an endpoint's answer.
	Source Name = "source"
)

// Fields of the other routers.
const (
	// Hub is the router that this one reports to and receives updates from.
	Hub Name = "hub"
	// Self tells whether the hub is this router itself.
	Self Name = "self"
	// Reads tells whether this router reads the store continuously.
	Reads Name = "reads"
	// Routers is the number of known routers, or of those whose reports are in the totals of the fleet.
	Routers Name = "routers"
	// StateAgeMs is the age of the totals of the fleet, or for how long overload control has been active without any.
	StateAgeMs Name = "stateAgeMs"
)

// Fields of the process.
const (
	// Clients is the listen address for clients.
	Clients Name = "clients"
	// Store is the address of the store.
	Store Name = "store"
	// KeyTerm is the setting for how long withdrawn keys are accepted.
	KeyTerm Name = "keyTerm"
	// Grace is the setting for the maximum shutdown time.
	Grace Name = "grace"
	// Open is the number of open requests.
	Open Name = "open"
	// Reading is the number of connections on which a request was being read.
	Reading Name = "reading"
	// Serving is the number of connections with a request in its handler.
	Serving Name = "serving"
	// Listener is the section of the settings with the address that was connected to.
	Listener Name = "listener"
	// Count is the number of dropped lines, of closed connections, or of records of origins.
	Count Name = "count"
	// Versions is how many software versions the record of versions has.
	Versions Name = "versions"
	// CoveredMs is for how long, in milliseconds, the record of versions has all of them.
	CoveredMs Name = "coveredMs"
	// Call is the kind of a call to the store.
	Call Name = "call"
	// Err is the text of an error.
	Err Name = "err"
)
