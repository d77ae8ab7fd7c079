package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/endpoint"
	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/orders"
	"savoryfall/core/report"
)

// Leases tells whether this router may act for a duty now.
type Leases interface {
	Watch(duty string)
	MayAct(duty string) (fence int64, ok bool)
}

// Configuration gives what is in force.
type Configuration interface {
	Current() *inforce.Configuration
}

// Health tells which engines can be reached.
type Health interface {
	State(name string, now time.Time) health.State
}

// Giver compares what the engines of a failure domain hold with what is wanted.
type Giver struct {
	leases  Leases
	config  Configuration
	health  Health
	client  *http.Client
	logger  log.Logger
	period  time.Duration
	longest time.Duration
	loads   *rate.Limiter
	cancel  context.CancelFunc
	running background.Group
}

const (
	reportPath = "/savoryfall/report"
	ordersPath = "/savoryfall/orders"
	maxReport  = 64 << 10
)

// New makes a giver; an order takes longest at most, and loadsPerSecond is what the weight store bears.
func New(l Leases, c Configuration, h Health, client *http.Client, period, longest time.Duration, loadsPerSecond float64, logger log.Logger) *Giver {
	return &Giver{
		leases: l, config: c, health: h, client: client, logger: logger, period: period, longest: longest,
		loads: rate.NewLimiter(rate.Limit(loadsPerSecond), max(int(loadsPerSecond), 1)),
	}
}

// Duty names the duty of giving orders to the engines of a failure domain.
func Duty(failureDomain string) string { return "orders/" + failureDomain }

// Start compares in the background until Stop.
func (g *Giver) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.running.Go(func() { background.Every(ctx, g.period, func(time.Time) { g.round(ctx) }) })
	return nil
}

// Stop ends the comparing; an order under way is let go.
func (g *Giver) Stop(context.Context) error {
	g.cancel()
	g.running.Stop()
	return nil
}

func (g *Giver) round(ctx context.Context) {
	c := g.config.Current()
	wanted := wantedOf(c)
	if len(wanted) == 0 {
		return
	}
	domains := map[string][]endpoint.Endpoint{}
	for _, e := range c.Endpoints() {
		if e.Kind() == endpoint.KindEngine {
			domains[e.FailureDomain()] = append(domains[e.FailureDomain()], e)
		}
	}
	for domain, engines := range domains {
		g.leases.Watch(Duty(domain))
		if _, ok := g.leases.MayAct(Duty(domain)); ok {
			g.compare(ctx, domain, wanted, engines)
		}
	}
}

func wantedOf(c *inforce.Configuration) (wanted []orders.Wanted) {
	for _, v := range c.Versions() {
		wanted = append(wanted, orders.Wanted{Model: v.Model(), Name: v.Name(), Replicas: v.Replicas()})
	}
	return wanted
}

func (g *Giver) compare(ctx context.Context, domain string, wanted []orders.Wanted, engines []endpoint.Endpoint) {
	byName := map[string]endpoint.Endpoint{}
	var reported []orders.Engine
	for _, e := range engines {
		if g.health.State(e.Name(), time.Now()) != health.Up {
			continue
		}
		r, err := g.report(ctx, e)
		if err != nil {
			continue
		}
		byName[e.Name()] = e
		reported = append(reported, orders.Engine{Name: e.Name(), Models: e.Models(), Loaded: r.Loaded})
	}
	for _, o := range orders.Plan(wanted, reported, int(g.loads.Tokens())) {
		if o.Loads > 0 && !g.loads.AllowN(time.Now(), o.Loads) {
			continue
		}
		err := g.give(ctx, domain, byName[o.Engine], o)
		_ = g.logger.Log("event", "order", "engine", o.Engine, "loaded", fmt.Sprint(o.Loaded), "err", err)
	}
}

func (g *Giver) report(ctx context.Context, e endpoint.Endpoint) (r report.Report, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address()+reportPath, nil)
	if err != nil {
		return r, err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&r)
	return r, err
}

// lapsedError says that the lease ended before the order was sent.
type lapsedError struct{ duty string }

func (e lapsedError) Error() string { return "the lease for " + e.duty + " has lapsed" }

// give sends one order. The lease is checked right before: an engine that does not check numbers would obey a holder
// that was paused since the comparison.
func (g *Giver) give(ctx context.Context, domain string, e endpoint.Endpoint, o orders.Order) (err error) {
	defer annotate.Error(&err, "order to %s", e.Name())
	ctx, cancel := context.WithTimeout(ctx, g.longest)
	defer cancel()
	fence, ok := g.leases.MayAct(Duty(domain))
	if !ok {
		return lapsedError{duty: Duty(domain)}
	}
	body, err := json.Marshal(map[string]any{"fence": fence, "loaded": o.Loaded})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.Address()+ordersPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.GetBody = nil
	resp, err := g.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedError{status: resp.StatusCode}
	}
	return nil
}

// refusedError says that the engine did not obey.
type refusedError struct{ status int }

func (e refusedError) Error() string { return fmt.Sprintf("the engine answered %d", e.status) }
