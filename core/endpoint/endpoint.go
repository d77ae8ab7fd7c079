package endpoint

import (
	"net"

	"savoryfall/core/tomldoc"
)

const (
	// KindEngine is the kind of a model engine.
	KindEngine = "engine"
	// KindService is the kind of a process of a plain service.
	KindService = "service"
)

// Endpoint is one model engine or one process of a plain service.
type Endpoint struct {
	name            string
	kind            string
	address         string
	failureDomain   string
	models          []string
	service         string
	weight          float64
	checksFence     bool
	echoesAttemptID bool
}

// Read reads an endpoint from its TOML table and reports invalid values to the table.
func Read(t *tomldoc.Table) (e Endpoint) {
	e.name = t.RequiredString("name")
	e.kind = t.Choice("kind", KindEngine, KindEngine, KindService)
	e.address = t.RequiredString("address")
	e.failureDomain = t.RequiredString("failureDomain")
	e.models = t.Strings("models")
	e.service = t.String("service", "")
	e.weight = t.Float("weight", 1, 0.001, 1000)
	e.checksFence = t.Bool("checksFence", false)
	e.echoesAttemptID = t.Bool("echoes", e.kind == KindEngine)
	e.validate(t)
	return e
}

func (e Endpoint) validate(t *tomldoc.Table) {
	host, _, err := net.SplitHostPort(e.address)
	if e.address != "" && (err != nil || net.ParseIP(host) == nil) {
		t.AddError("address", e.address, "an IP number and a port, such as 10.0.0.7:8000")
	}
	if e.kind == KindEngine && len(e.models) == 0 {
		t.AddError("models", "nothing", "the models that the engine may serve")
	}
	if e.kind == KindService && e.service == "" {
		t.AddError("service", "nothing", "the name of the plain service")
	}
}

// Name returns the endpoint's name, which is unique among the endpoints.
func (e Endpoint) Name() string { return e.name }

// Kind returns KindEngine or KindService.
func (e Endpoint) Kind() string { return e.kind }

// Address returns the endpoint's IP address and port.
func (e Endpoint) Address() string { return e.address }

// FailureDomain returns the failure domain that the endpoint runs in.
func (e Endpoint) FailureDomain() string { return e.failureDomain }

// Models returns the models that an engine may serve.
func (e Endpoint) Models() []string { return e.models }

// Service returns the name of the plain service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Weight returns the endpoint's capacity relative to the other endpoints.
func (e Endpoint) Weight() float64 { return e.weight }

// ChecksFence returns whether the endpoint rejects an order with an outdated fencing token.
func (e Endpoint) ChecksFence() bool { return e.checksFence }

// EchoesAttemptID returns whether the endpoint repeats the attempt ID in its responses, so that a response to another
// attempt is detected.
func (e Endpoint) EchoesAttemptID() bool { return e.echoesAttemptID }
