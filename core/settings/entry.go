package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Entry are the settings of a router on an entry VM that takes everything else from the platform's store; ParseEntry
// fills them, and nothing changes them afterwards.
type Entry struct {
	vm        VM
	cores     float64
	bootstrap bool
	memoryMB  float64
	linkMbps  float64
	changes   time.Duration
	drained   time.Duration
	cold      Cold
	clients   string
	readiness string
	metrics   string
	peers     string
	announced string
	store     string
	keyTerm   time.Duration
	grace     time.Duration
	retries   Retries
	traces    Traces
}

// Retries bound the retries of the whole fleet at one service.
type Retries struct {
	ratio  float64
	slack  float64
	window time.Duration
}

// Ratio is how many retries there may be for each request.
func (r Retries) Ratio() float64 { return r.ratio }

// Slack is how many retries there may be beyond the ratio in a window.
func (r Retries) Slack() float64 { return r.slack }

// Window is the time over which both are counted.
func (r Retries) Window() time.Duration { return r.window }

// Cold is how far beyond their rate endpoints may be sent requests while they are cold, by all routers together.
type Cold struct {
	overrun float64
	slack   float64
}

// Overrun is how many times its rate a cold endpoint may be sent.
func (c Cold) Overrun() float64 { return c.overrun }

// Slack is how many requests more it may be sent in a second.
func (c Cold) Slack() float64 { return c.slack }

// ParseEntry reads and checks a settings file; the error is a tomldoc.Faults with every fault.
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
	s.changes = readChanges(t.Table("store"))
	s.drained = readDrained(t.Table("store"))
	s.announced = checkAddress(t.Table("peers"), announced, t.Table("peers").Text(announced, s.peers))
	return s, doc.Err()
}

func readChanges(t *tomldoc.Table) time.Duration {
	const usual, least, most = 2 * time.Second, 500 * time.Millisecond, time.Minute
	return min(
		t.Duration("configurationWithin", usual, least, most), t.Duration("leavingWithin", usual, least, most),
		readDrained(t),
	)
}

func readDrained(t *tomldoc.Table) time.Duration {
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

// VM is the machine itself.
func (s *Entry) VM() VM { return s.vm }

// Cores is how much processor time the VM has.
func (s *Entry) Cores() float64 { return s.cores }

// Bootstrap tells that the whole fleet starts for the first time.
func (s *Entry) Bootstrap() bool { return s.bootstrap }

// MemoryMB is how much memory a process of the VM may use, 0 when it is not known.
func (s *Entry) MemoryMB() float64 { return s.memoryMB }

// LinkMbps is the bandwidth of the VM's link, 0 when it is not known.
func (s *Entry) LinkMbps() float64 { return s.linkMbps }

// Cold bounds what endpoints that have just started are sent.
func (s *Entry) Cold() Cold { return s.cold }

// DrainedWithin is how long the drain of a failure domain may take to be in force on every router.
func (s *Entry) DrainedWithin() time.Duration { return s.drained }

// ChangesWithin is how long a change at the store may take to be in force on every router: of the configuration, of an
// endpoint that leaves, or of a failure domain that is drained, whichever is shortest.
func (s *Entry) ChangesWithin() time.Duration { return s.changes }

// Clients is the address where clients are served.
func (s *Entry) Clients() string { return s.clients }

// Readiness is the address where the balancer asks whether this router takes new clients.
func (s *Entry) Readiness() string { return s.readiness }

// Metrics is the address of the metrics.
func (s *Entry) Metrics() string { return s.metrics }

// Announced is the address at which other routers reach this one: that of Peers, unless something stands between them.
func (s *Entry) Announced() string { return s.announced }

// Peers is the address where the other routers call.
func (s *Entry) Peers() string { return s.peers }

// Store is the address of the platform's store.
func (s *Entry) Store() string { return s.store }

// KeyTerm is how long after its withdrawal a key may still be used.
func (s *Entry) KeyTerm() time.Duration { return s.keyTerm }

// Grace is how long a process that was told to stop may take.
func (s *Entry) Grace() time.Duration { return s.grace }

// Retries bound the retries of the whole fleet.
func (s *Entry) Retries() Retries { return s.retries }

// Traces says where spans go.
func (s *Entry) Traces() Traces { return s.traces }
