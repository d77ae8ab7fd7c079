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

	"savoryfall/core/background"
	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/core/report"
	"savoryfall/io/endpoint"
	"savoryfall/io/meter"
)

// Duties says which endpoints this router probes.
type Duties interface {
	Mine(duty string, n int) bool
}

// Gossip passes findings on.
type Gossip interface {
	Finding(endpoint string, down bool)
	Mark(endpoint, incarnation string)
}

// Keeper hears of endpoints and decides whether they may take new work.
type Keeper struct {
	health *health.Table
	ledger *ledger.Ledger
	duties Duties
	gossip Gossip
	logger log.Logger
	period time.Duration
	// maturity is how long returning chats pass an endpoint over that has just come.
	maturity time.Duration
	client   *http.Client
	mu       sync.Mutex
	current  *inforce.Configuration
	states   map[string]health.State
	looking  map[string]bool
	again    map[string]bool
	cancel   context.CancelFunc
	running  background.Group
}

const (
	// probers is how many routers probe each endpoint, so that the loss of one leaves another.
	probers = 2
	// timeoutShare of the period is how long a probe waits. Two probes follow each other, the one of whoever has the
	// duty and that of each router that hears its finding, and both must fit into three seconds with the period.
	timeoutShare = 0.3
	reportPath   = "/savoryfall/report"
	maxReport    = 64 << 10
	// sweeps is how often in a period the states are brought up to date.
	sweeps = 4
	// doubtPeriods is every how many periods a router without the duty probes an endpoint that it takes for down.
	doubtPeriods = 8
)

// New makes a keeper that probes through the metered transport.
func New(h *health.Table, l *ledger.Ledger, m *meter.Meter, period, maturity time.Duration, logger log.Logger) *Keeper {
	return &Keeper{
		health: h, ledger: l, period: period, maturity: maturity, logger: logger, current: &inforce.Configuration{},
		states: map[string]health.State{}, looking: map[string]bool{}, again: map[string]bool{},
		client: &http.Client{
			Transport: m.Transport(meter.KindProbe),
			Timeout:   time.Duration(timeoutShare * float64(period)),
		},
	}
}

// Use names who shares the probes and who passes findings on; both must be set before Start.
func (k *Keeper) Use(d Duties, g Gossip) { k.duties, k.gossip = d, g }

// Configure takes the endpoints in force.
func (k *Keeper) Configure(c *inforce.Configuration) {
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

// Start sweeps and probes in the background until Stop.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.running.Go(func() { k.loop(ctx) })
	return nil
}

// Stop ends the probes.
func (k *Keeper) Stop(context.Context) error {
	k.cancel()
	k.running.Stop()
	k.client.CloseIdleConnections()
	return nil
}

func (k *Keeper) loop(ctx context.Context) {
	n := 0
	background.Every(ctx, k.period/sweeps, func(time.Time) {
		k.sweep()
		k.probeDue(ctx, n)
		n++
	})
}

func (k *Keeper) configuration() *inforce.Configuration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// sweep brings the placement up to date with states that change with time alone.
func (k *Keeper) sweep() {
	for _, e := range k.configuration().Endpoints() {
		k.settle(e.Name())
	}
}

// settle applies the state of one endpoint, and tells of a change.
func (k *Keeper) settle(name string) {
	state := k.health.State(name, time.Now())
	k.mu.Lock()
	before, known := k.states[name]
	k.states[name] = state
	k.mu.Unlock()
	k.ledger.SetState(name, state)
	k.ledger.SetYoung(name, k.health.Young(name, k.maturity, time.Now()))
	if known && before == state || !known && state == health.Up {
		return
	}
	_ = k.logger.Log("event", "endpointState", "endpoint", name, "state", state, "before", before)
	switch {
	case state == health.Leaving && k.health.Marked(name):
		k.gossip.Mark(name, k.health.Incarnation(name))
	case state == health.Down:
		k.gossip.Finding(name, true)
	case before == health.Down:
		k.gossip.Finding(name, false)
	}
}

// probeDue probes the endpoints that nobody has heard for a period, spread over the sweeps of the period.
func (k *Keeper) probeDue(ctx context.Context, n int) {
	for i, e := range k.configuration().Endpoints() {
		if i%sweeps != n%sweeps || time.Since(k.health.HeardAt(e.Name())) < k.period {
			continue
		}
		if k.duties.Mine("probe/"+e.Name(), probers) || k.health.HeardAt(e.Name()).IsZero() || k.alone(e.Name(), n) {
			k.look(ctx, e.Name(), e.Address())
		}
	}
}

// alone tells whether this router, which has no duty to probe the endpoint, does so because nobody may ever tell it
// otherwise: where the way from here alone was cut, those that have the duty saw nothing fall and nothing return.
func (k *Keeper) alone(name string, n int) bool {
	return n/sweeps%doubtPeriods == 0 && k.health.State(name, time.Now()) == health.Down
}

// Look probes an endpoint now, whoever's duty it is. A probe that is on its way does not do: it may bring what the endpoint
// answered before what this router was told happened, and a router that has no duty to probe would not look once more.
func (k *Keeper) Look(name string) {
	e, ok := k.configuration().Endpoint(name)
	if !ok {
		return
	}
	k.mu.Lock()
	k.again[name] = k.looking[name]
	k.mu.Unlock()
	k.look(context.Background(), name, e.Address())
}

func (k *Keeper) look(ctx context.Context, name, address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.looking[name] {
		return
	}
	k.looking[name] = true
	k.running.Go(func() {
		for again := true; again; again = k.looked(name) {
			k.probe(ctx, name, address)
		}
	})
}

// looked notes the end of a probe, unless another one was asked for in the meantime.
func (k *Keeper) looked(name string) (again bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	again = k.again[name]
	delete(k.again, name)
	if !again {
		delete(k.looking, name)
	}
	return again
}

func (k *Keeper) probe(ctx context.Context, name, address string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return
	}
	r.Header.Set("User-Agent", "")
	asked := time.Now()
	resp, err := k.client.Do(r)
	if err != nil {
		if ctx.Err() == nil {
			k.health.Failed(name, true, time.Now())
			k.settle(name)
		}
		return
	}
	defer resp.Body.Close()
	var got report.Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&got)
	if err != nil {
		got = report.Report{}
	}
	k.Heard(name, got, asked, asked)
}

// Heard takes the report that came with an answer to what was asked before. Where the endpoint has failed in between, a
// probe tells which of both is newer.
func (k *Keeper) Heard(name string, r report.Report, asked, at time.Time) {
	restarted := k.health.Heard(name, r.Incarnation, r.Leaving, asked)
	if k.health.State(name, at) == health.Down {
		k.Look(name)
	}
	if restarted {
		_ = k.logger.Log("event", "endpointRestarted", "endpoint", name, "incarnation", r.Incarnation)
	}
	k.ledger.Report(name, r.Requests(), at.Add(-r.Age()))
	k.settle(name)
}

// Failed takes an attempt that failed. A refused connection is sure; a request that broke may be at fault itself.
func (k *Keeper) Failed(name string, f *endpoint.AttemptError) {
	if errors.Is(f.Cause, context.Canceled) || errors.Is(f.Cause, context.DeadlineExceeded) {
		return
	}
	if f.Outcome == outcome.NotRun && f.Status != 0 {
		return
	}
	k.health.Failed(name, errors.Is(f.Cause, syscall.ECONNREFUSED), time.Now())
	k.settle(name)
}

// MarkLeaving takes a leaving mark that somebody else has seen.
func (k *Keeper) MarkLeaving(name, incarnation string) {
	k.health.MarkLeaving(name, incarnation)
	k.settle(name)
}

// Listed takes whether the VM list shows the endpoint as leaving.
func (k *Keeper) Listed(name string, leaving bool) {
	k.health.Listed(name, leaving)
	k.settle(name)
}
