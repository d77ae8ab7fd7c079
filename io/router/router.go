package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"savoryfall/core/admission"
	"savoryfall/core/annotate"
	"savoryfall/core/decision"
	"savoryfall/core/health"
	"savoryfall/core/lease"
	"savoryfall/core/ledger"
	"savoryfall/core/lifecycle"
	"savoryfall/core/membership"
	"savoryfall/core/overflow"
	"savoryfall/core/placement"
	"savoryfall/core/quarantine"
	"savoryfall/core/retrybudget"
	"savoryfall/core/settings"
	"savoryfall/core/ticket"
	"savoryfall/core/tokens"
	"savoryfall/io/caller"
	"savoryfall/io/claims"
	"savoryfall/io/clientconn"
	"savoryfall/io/configuration"
	"savoryfall/io/endpoint"
	"savoryfall/io/gobconn"
	"savoryfall/io/httpserver"
	"savoryfall/io/leases"
	"savoryfall/io/operator"
	"savoryfall/io/peer"
	"savoryfall/io/platformlog"
	"savoryfall/io/probe"
	"savoryfall/io/rollout"
	"savoryfall/io/tracing"
	"savoryfall/io/traffic"
	"savoryfall/io/vmlist"
)

// Router is one router; a process may run several.
type Router struct {
	manager  lifecycle.Manager
	settings *settings.Settings
	logger   log.Logger
}

// The names under which services are registered and looked up.
const (
	nameTracing       = "tracing"
	nameMeter         = "meter"
	nameMetrics       = "metrics"
	nameLog           = "log"
	nameConfiguration = "configuration"
	nameClaims        = "claims"
	nameMembers       = "members"
	nameHealth        = "health"
	nameLedger        = "ledger"
	nameProbe         = "probe"
	nameOverflows     = "spills"
	nameQuarantine    = "quarantine"
	namePeers         = "peers"
	nameAdmission     = "admission"
	nameEndpoints     = "endpoints"
	nameCallerServer  = "front"
	nameCallers       = "callers"
	nameOperators     = "operators"
	nameVMWatcher     = "watch"
	nameSnapshots     = "snapshots"
	nameLeases        = "leases"
	nameOrders        = "orders"
)

// New builds a router from its settings and binds its listening addresses. Services run only after Start.
func New(s *settings.Settings, logger log.Logger) (r *Router, err error) {
	defer annotate.Error(&err, "build router %s", s.VM().Name())
	r = &Router{settings: s, logger: log.With(logger, "vm", s.VM().Name())}
	for _, build := range []func() error{
		r.buildTelemetry, r.buildState, r.buildConfiguration, r.buildPeers, r.buildOrders, r.buildCallerServer, r.buildOperators,
	} {
		err = build()
		if err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Router) buildTelemetry() (err error) {
	s := r.settings
	set := metrics.NewSet()
	r.manager.Register(nameMetrics, set)
	r.manager.Register(nameMeter, traffic.New(set))
	traces, err := tracing.New(context.Background(), s.VM().Name(), s.Traces().OTLP(), s.Traces().File())
	if err != nil {
		return err
	}
	r.manager.Register(nameTracing, traces)
	return nil
}

// incarnationEpoch is the time from which incarnation numbers count seconds. A recent epoch keeps the numbers, which
// are part of every heartbeat, short.
var incarnationEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// suspicionHalfPeriods is the number of half heartbeat periods for which a silent member is suspected before it counts
// as dead: long enough for one more contact, and short enough to detect a dead member within three periods.
const suspicionHalfPeriods = 3

func (r *Router) buildState() (err error) {
	v := r.settings.VM()
	self := membership.Update{
		Name: v.Name(), FailureDomain: v.FailureDomain(), Incarnation: uint64(time.Since(incarnationEpoch) / time.Second),
	}
	r.manager.Register(nameMembers, membership.New(self, suspicionHalfPeriods*r.settings.Peers().Period()/2))
	r.manager.Register(nameHealth, &health.Table{})
	r.manager.Register(nameLedger, &ledger.Ledger{})
	r.manager.Register(nameProbe, probe.New(r.health(), r.ledger(), r.meter(), r.settings.Routing().ProbePeriod(),
		r.settings.Routing().Maturity(), r.logger))
	r.manager.Register(nameOverflows, &overflow.Table{})
	r.manager.Register(nameQuarantine, &quarantine.Table{})
	return nil
}

func (r *Router) buildConfiguration() (err error) {
	s := r.settings
	client, err := r.platformClient(traffic.KindLog)
	if err != nil {
		return err
	}
	l := platformlog.New(s.Platform().Log(), client)
	r.manager.Register(nameLog, l)
	f := configuration.New(l, r.logger)
	f.OnChange(r.probe().Configure)
	r.manager.Register(nameConfiguration, f)
	r.manager.Register(nameClaims, claims.New(l, s.VM().Name(), s.Claims().Partitions(),
		s.Claims().KeyRetention(), s.Claims().Validity(), r.logger))
	return nil
}

// platformClient returns a client whose requests carry the name of this VM, for the platform's own records.
func (r *Router) platformClient(k traffic.Kind) (c *http.Client, err error) {
	t := r.meter().Transport(k)
	t.TLSClientConfig, err = clientTLS(r.settings.Platform().Authority())
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: vmHeaderTransport{vm: r.settings.VM().Name(), next: t}}, nil
}

// limitPeers limits what the connections of the listener may take that do not come from routers.
func (r *Router) limitPeers(l net.Listener) net.Listener {
	s := r.settings
	limited := &gobconn.Listener{Listener: l, Known: r.isRouter, Opaque: s.Peers().Certificate() != ""}
	c := s.Peers().Connections()
	limited.Budget.SetLimits(c.Bytes(s.VM()), c.Descriptors(s.VM(), clientconn.MaxDescriptors()))
	if limited.Opaque {
		limited.Budget.SetSecure()
	}
	return limited
}

// isRouter reports whether a router runs at the host, an IP address.
func (r *Router) isRouter(host string) bool {
	return slices.ContainsFunc(r.members().Peers(), func(p membership.Peer) bool {
		h, _, err := net.SplitHostPort(p.Address)
		return err == nil && h == host
	})
}

func (r *Router) buildPeers() (err error) {
	s := r.settings
	var cfg *tls.Config
	if s.Peers().Certificate() != "" {
		cfg, err = mutualTLS(s.Peers().Certificate(), s.Peers().Key(), s.Peers().Authority())
		if err != nil {
			return err
		}
	}
	agent, err := peer.New(s.Peers().Address(), peer.Config{
		Members: r.members(), Ledger: r.ledger(), Health: r.health(), Configuration: r.follower(), Prober: r.probe(),
		Claims: r.claims(), Overflow: r.overflows(), Quarantine: r.quarantine(), Meter: r.meter(), Logger: r.logger, TLS: cfg, Period: s.Peers().Period(), BytesPerSecond: s.Peers().BytesPerSecond(), Limit: r.limitPeers,
	})
	if err != nil {
		return err
	}
	r.quarantine().OnChange = func(quarantined, released []quarantine.Status) {
		r.logQuarantine("requestQuarantined", quarantined)
		r.logQuarantine("requestReleased", released)
		agent.AnnounceCrashes()
	}
	r.members().SetAddress(agent.Address())
	r.follower().SetPeers(agent)
	r.claims().SetPeers(r.members(), agent)
	r.probe().SetPeers(r.members(), gossip{agent})
	r.manager.Register(namePeers, agent)
	client, err := r.platformClient(traffic.KindVMList)
	if err != nil {
		return err
	}
	r.manager.Register(nameVMWatcher, &vmWatcher{
		list: vmlist.New(s.Platform().VMList(), client), members: r.members(), probe: r.probe(),
		period: s.Platform().VMListPeriod(), logger: r.logger,
	})
	r.manager.Register(nameSnapshots, &snapshotWriter{
		follower: r.follower(), members: r.members(), retention: s.Platform().Retention(), logger: r.logger,
	})
	return nil
}

func (r *Router) logQuarantine(event string, changed []quarantine.Status) {
	for _, s := range changed {
		_ = r.logger.Log("event", event, "requestKey", strconv.FormatUint(s.Key.Part, 16), "crashes", s.Crashes, "trials", s.Trials)
	}
}

// buildOrders registers the services that order engines to load models. Without a weight store there are none: engines
// then load models by themselves.
func (r *Router) buildOrders() (err error) {
	s := r.settings
	if s.Platform().WeightStore() == "" {
		return nil
	}
	ownsDuty := func(duty string) bool { return r.members().Assigned(duty, 1) }
	l := leases.New(r.manager.Find(nameLog).(*platformlog.Client), s.VM().Name(),
		lease.Terms{Term: s.Orders().LeaseTerm(), MaxAction: s.Orders().MaxAction()}, ownsDuty, r.logger)
	r.manager.Register(nameLeases, l)
	client := &http.Client{Transport: r.meter().Transport(traffic.KindOrders), Timeout: s.Orders().MaxAction()}
	r.manager.Register(nameOrders, rollout.New(l, r.follower(), r.health(), client, s.Orders().Period(),
		s.Orders().MaxAction(), s.Orders().LoadsPerSecond(), r.logger))
	return nil
}

// gossip spreads findings and marks of the endpoint probes to the peers.
type gossip struct{ agent *peer.Agent }

func (g gossip) Finding(name string, down bool) {
	g.agent.BroadcastFinding(peer.Finding{Endpoint: name, Down: down})
}

func (g gossip) Mark(name, incarnation string) {
	g.agent.BroadcastLeavingMark(peer.LeavingMark{Endpoint: name, Incarnation: incarnation})
}

func (r *Router) buildCallerServer() (err error) {
	s := r.settings
	policy, _ := placement.New(s.Routing().Policy(), s.Routing().Bound(), s.Routing().NewBound(), uint64(time.Now().UnixNano()))
	key, err := readSecret(s.Routing().TicketKeyFile())
	if err != nil {
		return err
	}
	gate := admission.NewGate(s.Limits().QueueLength(), r.poolLimit)
	r.manager.Register(nameAdmission, gate)
	r.manager.Register(nameEndpoints, endpoint.New(r.probe()))
	callerServer := caller.New(caller.Config{
		Configuration: r.follower(), Endpoints: r.endpoints(), Admission: gate, Claims: r.claims(),
		Ledger: r.ledger(), Health: r.health(), Policy: policy, Tickets: ticket.NewSigner(key), Overflow: r.overflows(), Quarantine: r.quarantine(),
		Tokens: &tokens.Estimator{}, CacheValue: &tokens.CacheValue{}, Retries: retrybudget.NewBudget(s.Limits().RetryRatio()), Decisions: &decision.Log{},
		Tracer: r.tracing().Tracer(), Metrics: r.metrics(), Logger: r.logger, Callers: s.Callers(),
		Limits: s.Limits(),
	})
	r.manager.Register(nameCallerServer, callerServer)
	cfg, err := serverTLS(s.Callers().Certificate(), s.Callers().Key())
	if err != nil {
		return err
	}
	server, err := httpserver.New(s.Callers().Address(), callerServer.Handler(), httpserver.Options{
		MaxHeaderBytes: s.Callers().MaxHeaderBytes(), HeaderTimeout: s.Callers().HeaderTimeout(), TLS: cfg,
		ConnectionBytes: s.Callers().Connections().Bytes(s.VM()),
		Descriptors:     s.Callers().Connections().Descriptors(s.VM(), clientconn.MaxDescriptors()),
	})
	if err != nil {
		return err
	}
	r.manager.Register(nameCallers, server)
	return nil
}

// poolLimit returns this router's share of the concurrent requests that a pool may have. All routers have the same
// share, because the load balancer distributes callers evenly.
func (r *Router) poolLimit(pool string) int {
	total := r.ledger().Capacity(pool, r.settings.Limits().RequestsPerEndpoint())
	return max(total/r.members().Count(), 1)
}

// operatorHeaderTimeout bounds reading the header of an operator's request. operatorStopTimeout bounds stopping the
// operators' server: it stops before the callers' server, and an operator that doesn't complete its header must not use
// up the time for the responses to callers.
const (
	operatorHeaderTimeout = 10 * time.Second
	operatorStopTimeout   = 2 * time.Second
)

func (r *Router) buildOperators() (err error) {
	s := r.settings
	api := operator.New(operator.Dependencies{
		VM: s.VM().Name(), FailureDomain: s.VM().FailureDomain(), Configuration: r.follower(), Members: r.members(),
		Ledger: r.ledger(), Health: r.health(), Decisions: r.callerServer().Decisions, Meter: r.meter(),
		Metrics: r.metrics(), Waiting: r.gate().Queued, Claims: r.claims().KeyCount, Draining: r.callerServer().Draining,
	})
	cfg, err := serverTLS(s.Operators().Certificate(), s.Operators().Key())
	if err != nil {
		return err
	}
	server, err := httpserver.New(s.Operators().Address(), api.Handler(), httpserver.Options{
		HeaderTimeout: operatorHeaderTimeout, TLS: cfg, StopTimeout: operatorStopTimeout,
	}.Auxiliary())
	if err != nil {
		return err
	}
	r.manager.Register(nameOperators, server)
	return nil
}

// Start starts all services.
func (r *Router) Start(ctx context.Context) (err error) {
	err = r.manager.Start(ctx)
	if err == nil {
		_ = r.logger.Log("event", "started", "callers", r.CallerAddress(), "operators", r.OperatorAddress(), "peers", r.PeerAddress())
	}
	return err
}

// Stop drains the router: the readiness check fails at once, peers are notified, requests in flight finish, then all
// services stop.
func (r *Router) Stop(ctx context.Context) (err error) {
	_ = r.logger.Log("event", "draining")
	r.callerServer().Drain()
	r.members().Leave()
	select {
	case <-time.After(r.settings.Callers().LameDuck()):
	case <-ctx.Done():
	}
	err = r.manager.Stop(ctx)
	_ = r.logger.Log("event", "stopped", "err", err)
	return err
}

// Kill stops the router abruptly, without draining or notifying peers, to simulate the loss of its VM.
func (r *Router) Kill() {
	r.callers().Kill()
	r.operatorsServer().Kill()
	r.agent().Kill()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range []lifecycle.Service{r.follower(), r.claims(), r.probe(), r.endpoints()} {
		_ = s.Stop(ctx)
	}
	for _, name := range []string{nameVMWatcher, nameSnapshots, nameOrders, nameLeases} {
		if s, ok := r.manager.Lookup(name).(lifecycle.Service); ok {
			_ = s.Stop(ctx)
		}
	}
}

// CallerAddress returns the address that serves callers.
func (r *Router) CallerAddress() string { return r.callers().Address() }

// OperatorAddress returns the address that serves operators.
func (r *Router) OperatorAddress() string { return r.operatorsServer().Address() }

// PeerAddress returns the address that serves peers.
func (r *Router) PeerAddress() string { return r.agent().Address() }

// PeerAgent returns the agent that communicates with the peers.
func (r *Router) PeerAgent() *peer.Agent { return r.agent() }

// Ready reports whether the router has a configuration.
func (r *Router) Ready() bool { return r.follower().Ready() }

// Meter returns the counters of this router's control traffic.
func (r *Router) Meter() *traffic.Meter { return r.meter() }

// AttemptCount returns the number of attempts at endpoints that this router has made.
func (r *Router) AttemptCount() uint64 {
	return r.metrics().GetOrCreateCounter(caller.AttemptsMetric).Get()
}
