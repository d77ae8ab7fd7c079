package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Entry holds the settings of a router on an entry VM that takes everything else from the platform's store. It is
// immutable after ParseEntry.
type Entry struct {
	vm            VM
	cores         float64
	bootstrap     bool
	linkMbps      float64
	changesWithin time.Duration
	drainedWithin time.Duration
	heartbeat     time.Duration
	cold          ColdLimits
	clients       string
	connections   Connections
	peersTake     Connections
	readiness     string
	metrics       string
	peers         string
	announced     string
	store         string
	keyTerm       time.Duration
	grace         time.Duration
	retries       RetryBudget
	overload      OverloadControl
	terms         []string
	traces        Traces
}

// RetryBudget holds the section retries: the retry budget of the whole fleet for one service.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
}

// Ratio returns the number of retries allowed per request.
func (r RetryBudget) Ratio() float64 { return r.ratio }

// Slack returns the number of retries allowed in a window in addition to the ratio.
func (r RetryBudget) Slack() float64 { return r.slack }

// Window returns the time window over which requests and retries are counted.
func (r RetryBudget) Window() time.Duration { return r.window }

// ColdLimits holds the section cold: by how much all routers together may exceed the rate of a cold endpoint.
type ColdLimits struct {
	overrun float64
	slack   float64
}

// Overrun returns the allowed request rate of a cold endpoint as a multiple of its stated rate.
func (c ColdLimits) Overrun() float64 { return c.overrun }

// Slack returns the number of requests per second allowed in addition to that.
func (c ColdLimits) Slack() float64 { return c.slack }

// ParseEntry parses and validates a settings file. The error is a tomldoc.Errors that lists all errors.
func ParseEntry(file string, data []byte) (s *Entry, err error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	t := doc.Root()
	s = &Entry{
		vm:          readVM(t.Table("vm")),
		cores:       t.Table("vm").Float("cores", 1, 0, 1024),
		bootstrap:   t.Table("vm").Bool("bootstrap", false),
		linkMbps:    t.Table("vm").Float("linkMbps", 0, 0, 1e9),
		clients:     readAddress(t.Table("clients")),
		connections: readConnections(t.Table("clients")),
		peersTake:   readPeerConnections(t.Table("peers")),
		readiness:   readAddress(t.Table("readiness")),
		metrics:     readAddress(t.Table("metrics")),
		peers:       readAddress(t.Table("peers")),
		store:       readAddress(t.Table("store")),
		keyTerm:     t.Table("keys").Duration("withdrawnWithin", 5*time.Second, 500*time.Millisecond, time.Hour),
		grace:       t.Table("stop").Duration("grace", 8*time.Second, time.Second, time.Hour),
		retries:     readRetries(t.Table("retries")),
		cold:        readCold(t.Table("cold")),
		overload:    readOverloadControl(t.Table("overloadControl")),
		terms:       t.Table("vm").Strings("terms"),
		traces:      readTraces(t.Table("traces")),
	}
	const announced = "announced"
	s.changesWithin = readChangesWithin(t.Table("store"))
	s.drainedWithin = readDrainedWithin(t.Table("store"))
	s.heartbeat = t.Table("store").Duration("heartbeat", time.Second, 10*time.Millisecond, time.Hour)
	s.announced = validateAddress(t.Table("peers"), announced, t.Table("peers").String(announced, s.peers))
	return s, doc.Err()
}

func readChangesWithin(t *tomldoc.Table) time.Duration {
	const usual, least, most = 2 * time.Second, 500 * time.Millisecond, time.Minute
	return min(
		t.Duration("configurationWithin", usual, least, most), t.Duration("leavingWithin", usual, least, most),
		readDrainedWithin(t),
	)
}

func readDrainedWithin(t *tomldoc.Table) time.Duration {
	return t.Duration("drainedWithin", 5*time.Second, 500*time.Millisecond, time.Minute)
}

func readCold(t *tomldoc.Table) ColdLimits {
	return ColdLimits{overrun: t.Float("overrun", 1, 1, 1000), slack: t.Float("slack", 0, 0, 1e6)}
}

func readRetries(t *tomldoc.Table) (r RetryBudget) {
	r.ratio = t.Float("ratio", 0.2, 0, 10)
	r.slack = t.Float("slack", 20, 0, 1e6)
	r.window = t.Duration("window", 10*time.Second, time.Second, time.Hour)
	return r
}

// VM returns the identity of this VM.
func (s *Entry) VM() VM { return s.vm }

// Cores returns the number of CPU cores of the VM.
func (s *Entry) Cores() float64 { return s.cores }

// Bootstrap reports whether this is the first start of the whole fleet.
func (s *Entry) Bootstrap() bool { return s.bootstrap }

// MemoryMB returns how much memory a process on the VM may use; 0 means unknown.
func (s *Entry) MemoryMB() float64 { return s.vm.memoryMB }

// LinkMbps returns the network bandwidth of the VM; 0 means unknown.
func (s *Entry) LinkMbps() float64 { return s.linkMbps }

// Cold returns the limits on requests to endpoints that have just started.
func (s *Entry) Cold() ColdLimits { return s.cold }

// DrainedWithin returns how long it may take until the drain of a failure domain is in force on every router.
func (s *Entry) DrainedWithin() time.Duration { return s.drainedWithin }

// Heartbeat returns about how often endpoints write their entries.
func (s *Entry) Heartbeat() time.Duration { return s.heartbeat }

// ChangesWithin returns how long a change in the store may take until it is in force on every router. It is the minimum
// of the limits for configuration changes, leaving endpoints and drained failure domains.
func (s *Entry) ChangesWithin() time.Duration { return s.changesWithin }

// ClientAddress returns the listen address for clients.
func (s *Entry) ClientAddress() string { return s.clients }

// Connections returns what the connections of clients may take.
func (s *Entry) Connections() Connections { return s.connections }

// PeerConnections returns what the connections of hosts may take that are not known as routers.
func (s *Entry) PeerConnections() Connections { return s.peersTake }

// ReadinessAddress returns the listen address of the readiness check for the load balancer.
func (s *Entry) ReadinessAddress() string { return s.readiness }

// MetricsAddress returns the listen address for metrics.
func (s *Entry) MetricsAddress() string { return s.metrics }

// AdvertisedAddress returns the address at which other routers reach this one. It is that of PeerAddress, unless there
// is a proxy or NAT between them.
func (s *Entry) AdvertisedAddress() string { return s.announced }

// PeerAddress returns the listen address for other routers.
func (s *Entry) PeerAddress() string { return s.peers }

// StoreAddress returns the address of the platform's store.
func (s *Entry) StoreAddress() string { return s.store }

// WithdrawnKeyTTL returns how long an API key may still be accepted after its withdrawal.
func (s *Entry) WithdrawnKeyTTL() time.Duration { return s.keyTerm }

// ShutdownGrace returns how long the process may take to shut down.
func (s *Entry) ShutdownGrace() time.Duration { return s.grace }

// Retries returns the retry budget of the whole fleet.
func (s *Entry) Retries() RetryBudget { return s.retries }

// OverloadControl returns the settings of overload control.
func (s *Entry) OverloadControl() OverloadControl { return s.overload }

// Terms returns the platform's names of the terms that apply to the deployment.
func (s *Entry) Terms() []string { return s.terms }

// Traces returns the destination of trace spans.
func (s *Entry) Traces() Traces { return s.traces }
