package probe

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/activeconfig"
	"savoryfall/core/background"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/core/report"
	"savoryfall/io/endpoint"
	"savoryfall/io/traffic"
)

// Duties determines which endpoints this router probes.
type Duties interface {
	Assigned(duty string, n int) bool
}

// Gossip passes changes of endpoints on to the other routers.
type Gossip interface {
	Finding(endpoint string, down bool)
	Mark(endpoint, incarnation string)
}

// Prober collects reports and failures of endpoints, and decides whether the endpoints may receive new requests.
type Prober struct {
	health *health.Table
	ledger *ledger.Ledger
	duties Duties
	gossip Gossip
	logger log.Logger
	period time.Duration
	// maturity is how long after its start an endpoint is avoided for returning chats.
	maturity time.Duration
	client   *http.Client
	mu       sync.Mutex
	current  *activeconfig.Configuration
	states   map[string]health.State
	probing  map[string]bool
	repeat   map[string]bool
	cancel   context.CancelFunc
	running  background.Group
}

const (
	// probersPerEndpoint is how many routers probe each endpoint, so that one of them may fail.
	probersPerEndpoint = 2
	// timeoutShare is the probe timeout as a share of the period. Two probes follow each other, that of a router with
	// the duty and then that of each router that receives its finding, and together with the period both must fit into
	// three seconds.
	timeoutShare   = 0.3
	reportPath     = "/savoryfall/report"
	maxReportBytes = 64 << 10
	// sweepsPerPeriod is how often the endpoint states are updated in each period.
	sweepsPerPeriod = 4
	// downProbePeriods is the number of periods between two probes of an endpoint that a router without the duty
	// considers down.
	downProbePeriods = 8
)

// New returns a keeper that probes through the meter's HTTP transport.
func New(h *health.Table, l *ledger.Ledger, m *traffic.Meter, period, maturity time.Duration, logger log.Logger) *Prober {
	return &Prober{
		health: h, ledger: l, period: period, maturity: maturity, logger: logger, current: &activeconfig.Configuration{},
		states: map[string]health.State{}, probing: map[string]bool{}, repeat: map[string]bool{},
		client: &http.Client{
			Transport: m.Transport(traffic.KindProbe),
			Timeout:   time.Duration(timeoutShare * float64(period)),
		},
	}
}

// SetPeers sets who assigns the probe duties and who passes changes on; it must be called before Start.
func (k *Prober) SetPeers(d Duties, g Gossip) { k.duties, k.gossip = d, g }

// Configure sets the endpoints in force.
func (k *Prober) Configure(c *activeconfig.Configuration) {
	endpoints := c.Endpoints()
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		names = append(names, e.Name())
	}
	k.health.Configure(names)
	k.ledger.Configure(endpoints)
	k.mu.Lock()
	k.current = c
	k.mu.Unlock()
}

// Start updates states and probes in the background until Stop.
func (k *Prober) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.running.Go(func() { k.loop(ctx) })
	return nil
}

// Stop ends the probes.
func (k *Prober) Stop(context.Context) error {
	k.cancel()
	k.running.Stop()
	k.client.CloseIdleConnections()
	return nil
}

func (k *Prober) loop(ctx context.Context) {
	n := 0
	background.Every(ctx, k.period/sweepsPerPeriod, func(time.Time) {
		k.sweep()
		k.probeDue(ctx, n)
		n++
	})
}

func (k *Prober) configuration() *activeconfig.Configuration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// sweep updates the states of all endpoints, since states also change with time alone.
func (k *Prober) sweep() {
	for _, e := range k.configuration().Endpoints() {
		k.updateState(e.Name())
	}
}

// updateState passes the state of an endpoint to the placement, and reports a change to the peers.
func (k *Prober) updateState(name string) {
	state := k.health.State(name, time.Now())
	k.mu.Lock()
	before, known := k.states[name]
	k.states[name] = state
	k.mu.Unlock()
	k.ledger.SetState(name, state)
	k.ledger.SetRecentlyStarted(name, k.health.RecentlyStarted(name, k.maturity, time.Now()))
	if known && before == state || !known && state == health.Up {
		return
	}
	_ = k.logger.Log("event", "endpointState", "endpoint", name, "state", state, "before", before)
	switch {
	case state == health.Leaving && k.health.KnownLeaving(name):
		k.gossip.Mark(name, k.health.Incarnation(name))
	case state == health.Down:
		k.gossip.Finding(name, true)
	case before == health.Down:
		k.gossip.Finding(name, false)
	}
}

// probeDue probes the endpoints that haven't answered for a period, spread over the sweeps of the period.
func (k *Prober) probeDue(ctx context.Context, n int) {
	for i, e := range k.configuration().Endpoints() {
		if i%sweepsPerPeriod != n%sweepsPerPeriod || time.Since(k.health.LastAnsweredAt(e.Name())) < k.period {
			continue
		}
		if k.duties.Assigned("probe/"+e.Name(), probersPerEndpoint) || k.health.LastAnsweredAt(e.Name()).IsZero() || k.downProbeDue(e.Name(), n) {
			k.startProbe(ctx, e.Name(), e.Address())
		}
	}
}

// downProbeDue reports whether this router should probe an endpoint that it considers down although it has no duty to.
// If only the network between this router and the endpoint had failed, the routers with the duty have seen neither the
// failure nor the recovery, and will never report either.
func (k *Prober) downProbeDue(name string, n int) bool {
	return n/sweepsPerPeriod%downProbePeriods == 0 && k.health.State(name, time.Now()) == health.Down
}

// ProbeNow probes an endpoint immediately, whichever router has the duty. If a probe is already in progress, another
// one follows: the first may return a response that the endpoint sent before the reported event, and a router without
// the duty would not probe again.
func (k *Prober) ProbeNow(name string) {
	e, ok := k.configuration().Endpoint(name)
	if !ok {
		return
	}
	k.mu.Lock()
	k.repeat[name] = k.probing[name]
	k.mu.Unlock()
	k.startProbe(context.Background(), name, e.Address())
}

func (k *Prober) startProbe(ctx context.Context, name, address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.probing[name] {
		return
	}
	k.probing[name] = true
	k.running.Go(func() {
		for repeat := true; repeat; repeat = k.probeDone(name) {
			k.probe(ctx, name, address)
		}
	})
}

// probeDone records the end of a probe, and reports whether another one was requested in the meantime.
func (k *Prober) probeDone(name string) (repeat bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	repeat = k.repeat[name]
	delete(k.repeat, name)
	if !repeat {
		delete(k.probing, name)
	}
	return repeat
}

func (k *Prober) probe(ctx context.Context, name, address string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return
	}
	r.Header.Set("User-Agent", "")
	sentAt := time.Now()
	resp, err := k.client.Do(r)
	if err != nil {
		if ctx.Err() == nil {
			k.health.Failed(name, true, time.Now())
			k.updateState(name)
		}
		return
	}
	defer resp.Body.Close()
	var response report.Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&response)
	if err != nil {
		response = report.Report{}
	}
	k.Heard(name, response, sentAt, sentAt)
}

// Heard applies the report from the response to a request sent at sentAt. If the endpoint is considered down, because
// an attempt has failed in the meantime, a probe determines which of the two is newer.
func (k *Prober) Heard(name string, r report.Report, sentAt, at time.Time) {
	restarted := k.health.Heard(name, r.Incarnation, r.Leaving, sentAt)
	if k.health.State(name, at) == health.Down {
		k.ProbeNow(name)
	}
	if restarted {
		_ = k.logger.Log("event", "endpointRestarted", "endpoint", name, "incarnation", r.Incarnation)
	}
	k.ledger.Report(name, r.Requests(), at.Add(-r.Age()))
	k.updateState(name)
}

// Failed applies a failed attempt. A refused connection proves that the endpoint is down, whereas other failures may
// be caused by the request.
func (k *Prober) Failed(name string, f *endpoint.AttemptError) {
	if errors.Is(f.Cause, context.Canceled) || errors.Is(f.Cause, context.DeadlineExceeded) {
		return
	}
	if f.Outcome == outcome.NotRun && f.Status != 0 {
		return
	}
	k.health.Failed(name, errors.Is(f.Cause, syscall.ECONNREFUSED), time.Now())
	k.updateState(name)
}

// MarkLeaving applies a leaving mark that another router has observed.
func (k *Prober) MarkLeaving(name, incarnation string) {
	k.health.MarkLeaving(name, incarnation)
	k.updateState(name)
}

// UpdateFromVMList applies whether the VM list shows the endpoint as leaving.
func (k *Prober) UpdateFromVMList(name string, leaving bool) {
	k.health.Listed(name, leaving)
	k.updateState(name)
}
