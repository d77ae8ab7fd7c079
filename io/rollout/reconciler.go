package rollout

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

	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/endpoint"
	"savoryfall/core/health"
	"savoryfall/core/report"
	"savoryfall/core/rollout"
)

// Leases grants the right to act for a duty.
type Leases interface {
	Watch(duty string)
	MayAct(duty string) (fence int64, ok bool)
}

// Configuration returns the configuration in force.
type Configuration interface {
	Current() *activeconfig.Configuration
}

// Health returns the health state of an engine.
type Health interface {
	State(name string, now time.Time) health.State
}

// Reconciler compares the versions that the engines of a failure domain have loaded with the wanted ones, and sends
// orders to engines that differ.
type Reconciler struct {
	leases      Leases
	config      Configuration
	health      Health
	client      *http.Client
	logger      log.Logger
	period      time.Duration
	maxDuration time.Duration
	loadLimiter *rate.Limiter
	cancel      context.CancelFunc
	tasks       background.Group
}

const (
	reportPath     = "/savoryfall/report"
	ordersPath     = "/savoryfall/orders"
	maxReportBytes = 64 << 10
)

// New returns a reconciler. maxDuration bounds the time of one order, and loadsPerSecond is the rate of loads that the
// weight store can serve.
func New(l Leases, c Configuration, h Health, client *http.Client, period, maxDuration time.Duration, loadsPerSecond float64, logger log.Logger) *Reconciler {
	return &Reconciler{
		leases: l, config: c, health: h, client: client, logger: logger, period: period, maxDuration: maxDuration,
		loadLimiter: rate.NewLimiter(rate.Limit(loadsPerSecond), max(int(loadsPerSecond), 1)),
	}
}

// DutyName returns the name of the duty to send orders to the engines of a failure domain.
func DutyName(failureDomain string) string { return "orders/" + failureDomain }

// Start reconciles periodically in the background until Stop is called.
func (rc *Reconciler) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	rc.cancel = cancel
	rc.tasks.Go(func() { background.Every(ctx, rc.period, func(time.Time) { rc.reconcile(ctx) }) })
	return nil
}

// Stop stops reconciling; an order in flight is canceled.
func (rc *Reconciler) Stop(context.Context) error {
	rc.cancel()
	rc.tasks.Stop()
	return nil
}

func (rc *Reconciler) reconcile(ctx context.Context) {
	c := rc.config.Current()
	wanted := wantedVersions(c)
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
		rc.leases.Watch(DutyName(domain))
		if _, ok := rc.leases.MayAct(DutyName(domain)); ok {
			rc.reconcileDomain(ctx, domain, wanted, engines)
		}
	}
}

func wantedVersions(c *activeconfig.Configuration) (wanted []rollout.WantedVersion) {
	for _, v := range c.Versions() {
		wanted = append(wanted, rollout.WantedVersion{Model: v.Model(), Name: v.Name(), Replicas: v.Replicas()})
	}
	return wanted
}

func (rc *Reconciler) reconcileDomain(ctx context.Context, domain string, wanted []rollout.WantedVersion, engines []endpoint.Endpoint) {
	byName := map[string]endpoint.Endpoint{}
	var reported []rollout.Engine
	for _, e := range engines {
		if rc.health.State(e.Name(), time.Now()) != health.Up {
			continue
		}
		r, err := rc.fetchReport(ctx, e)
		if err != nil {
			continue
		}
		byName[e.Name()] = e
		reported = append(reported, rollout.Engine{Name: e.Name(), Models: e.Models(), Loaded: r.Loaded})
	}
	for _, o := range rollout.Plan(wanted, reported, int(rc.loadLimiter.Tokens())) {
		if o.Loads > 0 && !rc.loadLimiter.AllowN(time.Now(), o.Loads) {
			continue
		}
		err := rc.sendOrder(ctx, domain, byName[o.Engine], o)
		_ = rc.logger.Log("event", "order", "engine", o.Engine, "loaded", fmt.Sprint(o.Loaded), "err", err)
	}
}

func (rc *Reconciler) fetchReport(ctx context.Context, e endpoint.Endpoint) (r report.Report, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address()+reportPath, nil)
	if err != nil {
		return r, err
	}
	resp, err := rc.client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
	return r, err
}

// leaseExpiredError reports that the lease expired before the order was sent.
type leaseExpiredError struct{ duty string }

func (e leaseExpiredError) Error() string { return "lease for " + e.duty + " expired" }

// sendOrder sends one order. It checks the lease again right before: an engine that does not check fencing tokens would
// accept an order from a router that was paused since the comparison and has lost the lease.
func (rc *Reconciler) sendOrder(ctx context.Context, domain string, e endpoint.Endpoint, o rollout.Order) (err error) {
	defer annotate.Error(&err, "order to %s", e.Name())
	ctx, cancel := context.WithTimeout(ctx, rc.maxDuration)
	defer cancel()
	fence, ok := rc.leases.MayAct(DutyName(domain))
	if !ok {
		return leaseExpiredError{duty: DutyName(domain)}
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
	resp, err := rc.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rejectedError{status: resp.StatusCode}
	}
	return nil
}

// rejectedError reports that the engine rejected the order.
type rejectedError struct{ status int }

func (e rejectedError) Error() string { return fmt.Sprintf("rejected with status %d", e.status) }
