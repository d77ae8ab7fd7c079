package endpoint

import (
	"net"

	"savoryfall/core/tomldoc"
)

const (
	// KindEngine is a model engine.
	KindEngine = "engine"
	// KindService is a plain service.
	KindService = "service"
)

// Endpoint is one model engine or one process of a plain service.
type Endpoint struct {
	name          string
	kind          string
	address       string
	failureDomain string
	models        []string
	service       string
	weight        float64
	checksFence   bool
	echoes        bool
}

// Read takes an endpoint from its table.
func Read(t *tomldoc.Table) (e Endpoint) {
	e.name = t.Required("name")
	e.kind = t.Choice("kind", KindEngine, KindEngine, KindService)
	e.address = t.Required("address")
	e.failureDomain = t.Required("failureDomain")
	e.models = t.Texts("models")
	e.service = t.Text("service", "")
	e.weight = t.Real("weight", 1, 0.001, 1000)
	e.checksFence = t.Flag("checksFence", false)
	e.echoes = t.Flag("echoes", e.kind == KindEngine)
	e.check(t)
	return e
}

func (e Endpoint) check(t *tomldoc.Table) {
	host, _, err := net.SplitHostPort(e.address)
	if e.address != "" && (err != nil || net.ParseIP(host) == nil) {
		t.Fault("address", e.address, "an IP number and a port, such as 10.0.0.7:8000")
	}
	if e.kind == KindEngine && len(e.models) == 0 {
		t.Fault("models", "nothing", "the models that the engine may serve")
	}
	if e.kind == KindService && e.service == "" {
		t.Fault("service", "nothing", "the name of the plain service")
	}
}

// Name is unique among the endpoints.
func (e Endpoint) Name() string { return e.name }

// Kind is KindEngine or KindService.
func (e Endpoint) Kind() string { return e.kind }

// Address is an IP number and a port.
func (e Endpoint) Address() string { return e.address }

// FailureDomain is where the endpoint stands.
func (e Endpoint) FailureDomain() string { return e.failureDomain }

// Models are the models that an engine may serve.
func (e Endpoint) Models() []string { return e.models }

// Service is the plain service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Weight is its capacity relative to the others.
func (e Endpoint) Weight() float64 { return e.weight }

// ChecksFence tells whether it refuses an order with an old fencing number.
func (e Endpoint) ChecksFence() bool { return e.checksFence }

// Echoes tells whether it repeats the attempt id in its answers, so that a crossed answer is seen.
func (e Endpoint) Echoes() bool { return e.echoes }
