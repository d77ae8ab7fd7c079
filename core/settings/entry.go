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
	memoryMB      float64
	linkMbps      float64
	changesWithin time.Duration
	drainedWithin time.Duration
	cold          Cold
	clients       string
	readiness     string
	metrics       string
	peers         string
	announced     string
	store         string
	keyTerm       time.Duration
	grace         time.Duration
	retries       Retries
	traces        Traces
}

// Retries holds the section retries: the retry budget of the whole fleet for one service.
type Retries struct {
	ratio  float64
	slack  float64
	window time.Duration
}

// Ratio returns the number of retries allowed per request.
func (r Retries) Ratio() float64 { return r.ratio }

// Slack returns the number of retries allowed in a window in addition to the ratio.
func (r Retries) Slack() float64 { return r.slack }

// Window returns the time window over which requests and retries are counted.
func (r Retries) Window() time.Duration { return r.window }

// Cold holds the section cold: by how much all routers together may exceed the rate of a cold endpoint.
type Cold struct {
	overrun float64
	slack   float64
}

// Overrun returns the allowed request rate of a cold endpoint as a multiple of its stated rate.
func (c Cold) Overrun() float64 { return c.overrun }

// Slack returns the number of requests per second allowed in addition to that.
func (c Cold) Slack() float64 { return c.slack }

// ParseEntry parses and validates a settings file. The error is a tomldoc.Faults that lists all errors.
func ParseEntry(file string, data []byte) (s *Entry, err error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	t := doc.Root()
	s = &Entry{
		vm:        readVM(t.Table("vm")),
		cores:     t.Table("vm").Real("cores", 1, 0, 1024),
		bootstrap: t.Table("vm").Flag("bootstrap", false),
		memoryMB:  t.Table("vm").Real("memoryMB", 0, 0, 1e9),
		linkMbps:  t.Table("vm").Real("linkMbps", 0, 0, 1e9),
		clients:   readAddress(t.Table("clients")),
		readiness: readAddress(t.Table("readiness")),
		metrics:   readAddress(t.Table("metrics")),
		peers:     readAddress(t.Table("peers")),
		store:     readAddress(t.Table("store")),
		keyTerm:   t.Table("keys").Duration("withdrawnWithin", 5*time.Second, 500*time.Millisecond, time.Hour),
		grace:     t.Table("stop").Duration("grace", 8*time.Second, time.Second, time.Hour),
		retries:   readRetries(t.Table("retries")),
		cold:      readCold(t.Table("cold")),
		traces:    readTraces(t.Table("traces")),
	}
	const announced = "announced"
	s.changesWithin = readChangesWithin(t.Table("store"))
	s.drainedWithin = readDrainedWithin(t.Table("store"))
	s.announced = validateAddress(t.Table("peers"), announced, t.Table("peers").Text(announced, s.peers))
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

func readCold(t *tomldoc.Table) Cold {
	return Cold{overrun: t.Real("overrun", 1, 1, 1000), slack: t.Real("slack", 0, 0, 1e6)}
}

func readRetries(t *tomldoc.Table) (r Retries) {
	r.ratio = t.Real("ratio", 0.2, 0, 10)
	r.slack = t.Real("slack", 20, 0, 1e6)
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
func (s *Entry) MemoryMB() float64 { return s.memoryMB }

// LinkMbps returns the network bandwidth of the VM; 0 means unknown.
func (s *Entry) LinkMbps() float64 { return s.linkMbps }

// Cold returns the limits on requests to endpoints that have just started.
func (s *Entry) Cold() Cold { return s.cold }

// DrainedWithin returns how long it may take until the drain of a failure domain is in force on every router.
func (s *Entry) DrainedWithin() time.Duration { return s.drainedWithin }

// ChangesWithin returns how long a change in the store may take until it is in force on every router. It is the minimum
// of the limits for configuration changes, leaving endpoints and drained failure domains.
func (s *Entry) ChangesWithin() time.Duration { return s.changesWithin }

// Clients returns the listen address for clients.
func (s *Entry) Clients() string { return s.clients }

// Readiness returns the listen address of the readiness check for the load balancer.
func (s *Entry) Readiness() string { return s.readiness }

// Metrics returns the listen address for metrics.
func (s *Entry) Metrics() string { return s.metrics }

// Announced returns the address at which other routers reach this one. It is that of Peers, unless there is a proxy or
// NAT between them.
func (s *Entry) Announced() string { return s.announced }

// Peers returns the listen address for other routers.
func (s *Entry) Peers() string { return s.peers }

// Store returns the address of the platform's store.
func (s *Entry) Store() string { return s.store }

// KeyTerm returns how long an API key may still be accepted after its withdrawal.
func (s *Entry) KeyTerm() time.Duration { return s.keyTerm }

// Grace returns how long the process may take to shut down.
func (s *Entry) Grace() time.Duration { return s.grace }

// Retries returns the retry budget of the whole fleet.
func (s *Entry) Retries() Retries { return s.retries }

// Traces returns the destination of trace spans.
func (s *Entry) Traces() Traces { return s.traces }
