package field

// Name is the key of a field; docs/OPERATIONS.md explains each.
type Name string

// The fields of every line.
const (
	// Time is when the line was written, in UTC.
	Time Name = "ts"
	// VM is the name of the router's VM.
	VM Name = "vm"
	// Event is what happened, an event.Name.
	Event Name = "event"
)

// The fields of a request.
const (
	// Request is the id of the client's attempt.
	Request Name = "request"
	// Route is the name of the route, empty when none fits.
	Route Name = "route"
	// Status is what the client was told, 0 when it got no whole answer.
	Status Name = "status"
	// Reason is why it was not served, an ask.Reason.
	Reason Name = "reason"
	// Outcome is whether it may have run, an outcome.Outcome.
	Outcome Name = "outcome"
	// By is who failed it, when that is not this router.
	By Name = "by"
	// BackMs is when the client was asked to come back.
	BackMs Name = "backMs"
	// Sends is how many endpoints got it.
	Sends Name = "sends"
	// Endpoints are those that were chosen, the last one last.
	Endpoints Name = "endpoints"
	// Version is that of the configuration that it was judged by, or that is in force.
	Version Name = "version"
	// ReadAgeMs is how long ago the newest read of the configuration was sent.
	ReadAgeMs Name = "readAgeMs"
	// Ms is how long it was here.
	Ms Name = "ms"
)

// The fields of a refusal for want of a place.
const (
	// Service is the endpoint service.
	Service Name = "service"
	// Rank is how urgent the request was among those to the service, 0 first.
	Rank Name = "rank"
	// Account is the client account.
	Account Name = "account"
	// Taken is how many places were believed taken.
	Taken Name = "taken"
	// Places is how many there are.
	Places Name = "places"
	// LoadsAgeMs is how old the other routers' loads were.
	LoadsAgeMs Name = "loadsAgeMs"
)

// The fields of a client's connection that has ended.
const (
	// Ended is by whom, a clientconn.Ending.
	Ended Name = "ended"
	// Served is how many answers it had carried before.
	Served Name = "served"
	// IdleMs is how long it had been idle before the request; of a configuration, how long it may be.
	IdleMs Name = "idleMs"
	// ReadMs is the time from the request's first byte to its handler.
	ReadMs Name = "readMs"
)

// The fields of what the router reads at the store.
const (
	// Topic is what is read: the configuration or the registry.
	Topic Name = "topic"
	// Offset is the place of a record, or the next one to read.
	Offset Name = "offset"
	// Want is the offset that was to be read next.
	Want Name = "want"
	// First is the first offset that the store still has.
	First Name = "first"
	// Failures is how many reads had failed.
	Failures Name = "failures"
	// AfterMs is how long the store had been lost.
	AfterMs Name = "afterMs"
	// From is the version that was in force before.
	From Name = "from"
	// Routes is how many routes the configuration has.
	Routes Name = "routes"
	// HeaderMs is how long a request's header may take.
	HeaderMs Name = "headerMs"
	// Endpoint is the id of an endpoint.
	Endpoint Name = "endpoint"
	// Address is that of an endpoint, or of a listener.
	Address Name = "address"
	// Domain is a failure domain.
	Domain Name = "domain"
	// Listed is how many endpoints of it are known.
	Listed Name = "listed"
	// Born is when the endpoint's process started, as its entry says.
	Born Name = "born"
)

// The fields of the other routers.
const (
	// Hub is the router that this one reports to and hears from.
	Hub Name = "hub"
	// Self tells whether that is this router.
	Self Name = "self"
	// Reads tells whether this router reads the store all the time.
	Reads Name = "reads"
	// Routers is how many are known.
	Routers Name = "routers"
)

// The fields of the process.
const (
	// Clients is the address for clients.
	Clients Name = "clients"
	// Store is the address of the store.
	Store Name = "store"
	// KeyTerm is how long withdrawn keys may be used, by the settings.
	KeyTerm Name = "keyTerm"
	// Grace is the time that a stop may take, by the settings.
	Grace Name = "grace"
	// Open is how many requests were open.
	Open Name = "open"
	// Reading is how many connections had a request that was being read.
	Reading Name = "reading"
	// Serving is how many had one in its handler.
	Serving Name = "serving"
	// Count is how many lines were dropped.
	Count Name = "count"
	// Err is the text of an error.
	Err Name = "err"
)
