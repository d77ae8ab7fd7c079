package probe

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
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
	"savoryfall/core/retryafter"
	"savoryfall/io/endpoint"
	"savoryfall/io/http1"
	"savoryfall/io/traffic"
)

// Duties determines which endpoints this router probes.
type Duties interface {
	Assigned(duty string, n int) bool
}

// Gossip passes changes of endpoints on to the other routers.
type Gossip interface {
	Finding(name string, down bool)
	Mark(name, incarnation string)
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
	// probersPerEndpoint is how many routers probe each endpoint, so that one of them may be lost.
	probersPerEndpoint = 2
	// timeoutShare is the probe timeout as a share of the period. Two probes follow each other, that of a router with
	// the duty and then that of each router that receives its finding, and together with the period both must fit into
	// three seconds.
	timeoutShare   = 0.3
	reportPath     = "/savoryfall/report"
	maxReportBytes = 64 << 10
	// sweepsPerPeriod is how often the endpoint states are updated in each period.
	sweepsPerPeriod = 4
	// returnProbePeriods is the number of periods between two probes of an endpoint that a router without the duty
	// considers down or leaving.
	returnProbePeriods = 8
)

// New returns a prober that probes through the meter's HTTP transport.
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
func (p *Prober) SetPeers(d Duties, g Gossip) { p.duties, p.gossip = d, g }

// Configure sets the endpoints in force.
func (p *Prober) Configure(c *activeconfig.Configuration) {
	endpoints := c.Endpoints()
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		names = append(names, e.Name())
	}
	p.health.Configure(names)
	p.ledger.Configure(endpoints)
	p.mu.Lock()
	p.current = c
	p.mu.Unlock()
}

// Start updates states and probes in the background until Stop.
func (p *Prober) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.loop(ctx) })
	return nil
}

// Stop ends the probes.
func (p *Prober) Stop(context.Context) error {
	p.cancel()
	p.running.Stop()
	p.client.CloseIdleConnections()
	return nil
}

func (p *Prober) loop(ctx context.Context) {
	n := 0
	background.Every(ctx, p.period/sweepsPerPeriod, func(time.Time) {
		p.sweep()
		p.probeDue(ctx, n)
		n++
	})
}

func (p *Prober) configuration() *activeconfig.Configuration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// sweep updates the states of all endpoints, since states also change with time alone.
func (p *Prober) sweep() {
	for _, e := range p.configuration().Endpoints() {
		p.updateState(e.Name())
	}
}

// updateState passes the state of an endpoint to the placement, and reports a change to the peers.
func (p *Prober) updateState(name string) {
	state := p.health.State(name, time.Now())
	p.mu.Lock()
	before, known := p.states[name]
	p.states[name] = state
	p.mu.Unlock()
	p.ledger.SetState(name, state)
	p.ledger.SetRecentlyStarted(name, p.health.RecentlyStarted(name, p.maturity, time.Now()))
	if known && before == state || !known && state == health.Up {
		return
	}
	_ = p.logger.Log("event", "endpointState", "endpoint", name, "state", state, "before", before,
		"incarnation", p.health.Incarnation(name), "knownLeaving", p.health.KnownLeaving(name))
	switch {
	case state == health.Leaving && p.health.KnownLeaving(name):
		p.gossip.Mark(name, p.health.Incarnation(name))
	case state == health.Down:
		p.gossip.Finding(name, true)
	case before == health.Down || before == health.Leaving:
		p.gossip.Finding(name, false)
	}
}

// probeDue probes the endpoints that haven't answered for a period, spread over the sweeps of the period.
func (p *Prober) probeDue(ctx context.Context, n int) {
	for i, e := range p.configuration().Endpoints() {
		if i%sweepsPerPeriod != n%sweepsPerPeriod || time.Since(p.health.LastAnsweredAt(e.Name())) < p.period {
			continue
		}
		if p.duties.Assigned("probe/"+e.Name(), probersPerEndpoint) || p.health.LastAnsweredAt(e.Name()).IsZero() || p.returnProbeDue(e.Name(), n) {
			p.startProbe(ctx, e.Name(), e.Address())
		}
	}
}

// returnProbeDue reports whether this router should probe an endpoint that it sends no requests, because it is down or
// leaving, although it has no duty to. If only the network between this router and the endpoint had failed, the routers
// with the duty have seen neither the failure nor the recovery, and will never report either. Without requests and
// probes, it would not notice that a leaving endpoint was replaced if it missed their report.
func (p *Prober) returnProbeDue(name string, n int) bool {
	if n/sweepsPerPeriod%returnProbePeriods != 0 {
		return false
	}
	state := p.health.State(name, time.Now())
	return state == health.Down || state == health.Leaving
}

// ProbeNow probes an endpoint immediately, whichever router has the duty. If a probe is already in progress, another
// one follows: the first may return a response that the endpoint sent before the reported event, and a router without
// the duty would not probe again.
func (p *Prober) ProbeNow(name string) {
	e, ok := p.configuration().Endpoint(name)
	if !ok {
		return
	}
	p.mu.Lock()
	p.repeat[name] = p.probing[name]
	p.mu.Unlock()
	p.startProbe(context.Background(), name, e.Address())
}

func (p *Prober) startProbe(ctx context.Context, name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[name] {
		return
	}
	p.probing[name] = true
	p.running.Go(func() {
		for repeat := true; repeat; repeat = p.probeDone(name) {
			p.probe(ctx, name, address)
		}
	})
}

// probeDone records the end of a probe, and reports whether another one was requested in the meantime.
func (p *Prober) probeDone(name string) (repeat bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	repeat = p.repeat[name]
	delete(p.repeat, name)
	if !repeat {
		delete(p.probing, name)
	}
	return repeat
}

func (p *Prober) probe(ctx context.Context, name, address string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return
	}
	r.Header.Set("User-Agent", "")
	sentAt := time.Now()
	resp, err := p.client.Do(r)
	if err == nil {
		err = http1.CheckLenient(resp)
		defer resp.Body.Close()
	}
	if err != nil {
		if ctx.Err() == nil {
			p.health.Failed(name, true, time.Now())
			p.updateState(name)
		}
		return
	}
	var response report.Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&response)
	if err != nil {
		response = report.Report{}
	}
	p.RecordAnswer(name, response, sentAt, sentAt)
}

// RecordAnswer applies the report from the response to a request sent at sentAt. If the endpoint is considered down,
// because an attempt has failed in the meantime, a probe determines which of the two is newer.
func (p *Prober) RecordAnswer(name string, r report.Report, sentAt, at time.Time) {
	restarted := p.health.RecordAnswer(name, r.Incarnation, r.Leaving, sentAt)
	if p.health.State(name, at) == health.Down {
		p.ProbeNow(name)
	}
	if restarted {
		_ = p.logger.Log("event", "endpointRestarted", "endpoint", name, "incarnation", r.Incarnation)
	}
	p.ledger.Report(name, r.Requests(), at.Add(-r.Age()))
	p.updateState(name)
}

// Failed applies a failed attempt. A refused connection proves that the endpoint is down, whereas other failures may
// be caused by the request.
func (p *Prober) Failed(name string, f *endpoint.AttemptError) {
	if errors.Is(f.Cause, context.Canceled) || errors.Is(f.Cause, context.DeadlineExceeded) {
		return
	}
	if f.Outcome == outcome.NotRun && f.Status != 0 {
		p.applyPause(name, f)
		return
	}
	p.health.Failed(name, errors.Is(f.Cause, syscall.ECONNREFUSED), time.Now())
	p.updateState(name)
}

// pauseJitter is the share of a pause that is added to it at most, so that the routers don't all return at once.
const pauseJitter = 0.25

// applyPause keeps requests from an endpoint that asked for none when it refused one.
func (p *Prober) applyPause(name string, f *endpoint.AttemptError) {
	asked := retryafter.Parse(f.Header.Get("Retry-After"))
	if f.Status != http.StatusServiceUnavailable || asked == 0 {
		return
	}
	p.health.Pause(name, time.Now().Add(asked+time.Duration(rand.Float64()*pauseJitter*float64(asked))))
	p.updateState(name)
}

// MarkLeaving applies a leaving mark that another router has observed.
func (p *Prober) MarkLeaving(name, incarnation string) {
	p.health.MarkLeaving(name, incarnation)
	p.updateState(name)
}

// ProbeAll probes the named endpoints and waits for the answers. It is called before leaving marks of the VM list are
// applied: the list names no incarnation, and a mark put on an incarnation that is no longer running, or on none, would
// be taken for that of its successor.
func (p *Prober) ProbeAll(ctx context.Context, names []string) {
	var probes sync.WaitGroup
	for _, name := range names {
		if e, ok := p.configuration().Endpoint(name); ok {
			probes.Go(func() { p.probe(ctx, name, e.Address()) })
		}
	}
	probes.Wait()
}

// UpdateFromVMList applies whether the VM list shows the endpoint as leaving.
func (p *Prober) UpdateFromVMList(name string, leaving bool) {
	p.health.Listed(name, leaving)
	if _, ok := p.configuration().Endpoint(name); ok {
		p.updateState(name)
	}
}

// VMListRead records that the VM list, as it was asked for at the given time, has been applied.
func (p *Prober) VMListRead(asked time.Time) { p.health.ListRead(asked) }
