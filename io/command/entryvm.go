package command

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"savoryfall/core/annotate"
	"savoryfall/core/bodybudget"
	"savoryfall/core/bytebudget"
	"savoryfall/core/coldlimit"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/freshness"
	"savoryfall/core/jointlimit"
	"savoryfall/core/lifecycle"
	"savoryfall/core/members"
	"savoryfall/core/quarantine"
	"savoryfall/core/reach"
	"savoryfall/core/retrylimit"
	"savoryfall/core/routetable"
	"savoryfall/core/settings"
	"savoryfall/io/bootclock"
	"savoryfall/io/clientconn"
	"savoryfall/io/connect"
	"savoryfall/io/draining"
	"savoryfall/io/entry"
	"savoryfall/io/gobconn"
	"savoryfall/io/http1"
	"savoryfall/io/httpserver"
	"savoryfall/io/hub"
	"savoryfall/io/logwriter"
	"savoryfall/io/originlog"
	"savoryfall/io/origins"
	"savoryfall/io/registry"
	"savoryfall/io/storeconfig"
	"savoryfall/io/tracing"
	"savoryfall/io/tunnel"
	"savoryfall/io/versionlog"
	"savoryfall/platform/clientapi"
	"savoryfall/platform/endpointapi"
	"savoryfall/platform/terms"
)

// entryVM runs the services of a router on an entry VM. All state that routers share comes from the platform's store.
type entryVM struct {
	manager    lifecycle.Manager
	settings   *settings.Entry
	logger     log.Logger
	stopGrace  time.Duration
	lease      freshness.Lease
	retries    retrylimit.Limiter
	limits     atomic.Pointer[retrylimit.Limits]
	dispatcher *dispatch.Dispatcher
	reach      reach.Tracker
	// connector opens the connections to endpoints.
	connector *connect.Connector
	// memory is the budget of the bytes that are held for slow readers, connectionBytes how many may be held for one.
	memory          bytebudget.Budget
	connectionBytes atomic.Int64
	// answers is the budget of the bytes that are held of answers before they are passed on.
	answers bytebudget.Budget
	// bodies is the budget of the bytes that are held of request bodies.
	bodies bodybudget.Budget
	// held limits what is held of bodies and for slow readers together.
	held jointlimit.Limit
	// parts is what is known of prompt parts under which endpoints crashed.
	quarantine    quarantine.Table
	endpoints     *registry.Tracker
	configTracker *storeconfig.Tracker
	members       members.List
	origins       origins.Keeper
	versions      versionlog.Recorder
	originLog     originlog.Log
	hub           *hub.Agent
	// tunnels are the connections to endpoints that this router opens for others.
	tunnels      tunnel.Server
	peerListener *gobconn.Listener
	drainTracker *draining.Tracker
	// routers is the number of routers in the fleet, as far as known.
	routers      atomic.Int64
	handler      *entry.Handler
	clientServer *entry.Server
	// reportedReady is the newest answer to the load balancer.
	reportedReady atomic.Bool
	closed        closeLog
	metricSet     *metrics.Set
}

const (
	// keyTermMargin is subtracted from the time that a withdrawn key may still be accepted. It covers the time between
	// the check of the key and the request's arrival at the endpoint.
	keyTermMargin = 150 * time.Millisecond
	// configurationPollWait is how long a read waits for a newer configuration. Each read renews the lease to serve.
	configurationPollWait = 500 * time.Millisecond
	// configurationMinInterval is the minimum time between two reads. Without it, a store that answers long polls at
	// once would be read in a busy loop.
	configurationMinInterval = 50 * time.Millisecond
	// registryMinInterval is the minimum time between two reads of the endpoints' entries, which change many times per
	// second. An endpoint that leaves must get no new work after two seconds.
	registryMinInterval = 600 * time.Millisecond
	// staleFraction is the fraction of the changesWithin setting after which a router without news from a hub reads the
	// store itself. The rest of the time is left for that read.
	staleFraction = 0.75
	// startupWait bounds how long a starting router waits for a hub to send it the contents of the store.
	startupWait = 2 * time.Second
	// hubGrace is how long a router waits for the hub to send a newer configuration: a few times the duration of a
	// request to the hub.
	hubGrace = 400 * time.Millisecond
	// minRouters is the minimum number of routers to divide the retry budget by, since routers that have just started
	// are not known yet.
	minRouters = 4
	// bodiesShare is the share of the memory that the bodies of requests and what is held for slow readers may take together.
	bodiesShare = 0.3
	// answersShare is the share of the memory that answers may hold. The buffers that they outgrow are garbage of about the same
	// size, so that twice as much is taken.
	answersShare = 0.125
	// settingsPollInterval is how often the settings file is checked for changes that came without a SIGHUP.
	settingsPollInterval = time.Second
)

func newEntryVM(cfg *settings.Entry, logger *logwriter.Logger) (vm *entryVM, err error) {
	defer annotate.Error(&err, "build entry VM %s", cfg.VM().Name())
	vm = &entryVM{
		settings: cfg, logger: log.With(logger, field.Time, log.DefaultTimestampUTC, field.VM, cfg.VM().Name()),
		dispatcher: dispatch.New(cfg.VM().FailureDomain()), metricSet: metrics.NewSet(),
	}
	vm.manager.Register("stdout", logger)
	vm.bodies.SetJoint(&vm.held)
	vm.memory.SetJoint(&vm.held)
	vm.closed.Logger = vm.logger
	vm.manager.Register("closeLog", &vm.closed)
	vm.applySettings(cfg)
	vm.buildConnector()
	err = vm.buildStore()
	if err != nil {
		return nil, err
	}
	err = vm.buildHandler()
	if err != nil {
		return nil, err
	}
	return vm, vm.buildOperatorServers()
}

// applySettings applies the settings that may change at run time.
func (vm *entryVM) applySettings(cfg *settings.Entry) {
	vm.stopGrace = cfg.ShutdownGrace()
	vm.lease.SetTerm(cfg.WithdrawnKeyTTL() - keyTermMargin)
	vm.dispatcher.SetColdBound(coldlimit.Bound{RateFactor: cfg.Cold().Overrun(), Slack: cfg.Cold().Slack()})
	vm.dispatcher.SetDrainFetchTerm(cfg.DrainedWithin() / 2)
	vm.dispatcher.SetOverloadControl(overloadControl(cfg))
	vm.memory.SetSize(int64(cfg.OverloadControl().SlowReaderShare() * cfg.MemoryMB() * (1 << 20)))
	vm.bodies.SetSize(int64(bodiesShare * cfg.MemoryMB() * (1 << 20)))
	vm.held.SetSize(int64(bodiesShare * cfg.MemoryMB() * (1 << 20)))
	vm.answers.SetSize(int64(answersShare * cfg.MemoryMB() * (1 << 20)))
	vm.connectionBytes.Store(cfg.OverloadControl().ConnectionBytes())
	if vm.handler != nil {
		vm.handler.SetWaitLimits(cfg.OverloadControl().MaxWait(), cfg.OverloadControl().MaxWaiting())
		vm.limitConnections(cfg)
		vm.limitPeers(cfg)
	}
	vm.limits.Store(&retrylimit.Limits{
		Ratio: cfg.Retries().Ratio(), Slack: cfg.Retries().Slack(), Window: cfg.Retries().Window(),
	})
	vm.updateRetryLimits()
}

// limitConnections sets what the connections of clients may take, and how many idle ones to endpoints there may be.
func (vm *entryVM) limitConnections(cfg *settings.Entry) {
	c := cfg.Connections()
	most := clientconn.MaxDescriptors()
	vm.clientServer.Connections().Budget().SetLimits(c.Bytes(cfg.VM()), c.Descriptors(cfg.VM(), most))
	vm.handler.Pool.SetMaxIdle(cfg.VM().MaxIdle(most))
}

// overloadControl returns when overload control is active.
func overloadControl(cfg *settings.Entry) dispatch.OverloadControl {
	c := cfg.OverloadControl()
	return dispatch.OverloadControl{
		Always: c.Mode() == settings.OverloadOn || c.Mode() == settings.OverloadAuto && terms.Terms(cfg.Terms()).MemoryPressure(),
		Never:  c.Mode() == settings.OverloadOff, ReportTerm: c.ReportTerm(), Accounts: c.Accounts(),
		ExpectedTime: c.Placement() == settings.PlaceByExpectedTime, LatencyLimit: c.Limit() == settings.LimitByLatency,
	}
}

// setRouters sets the routers of the fleet, as hashes of their names. Each of them gets a share of the retry budget and
// of the request limits of cold endpoints.
func (vm *entryVM) setRouters(routers []uint64) {
	vm.routers.Store(int64(len(routers)))
	fleet := coldlimit.New(members.Hash(vm.settings.VM().Name()), routers)
	vm.dispatcher.SetFleet(fleet)
	vm.quarantine.SetFleet(fleet)
	vm.updateRetryLimits()
	vm.versions.Wake()
}

func (vm *entryVM) updateRetryLimits() {
	limits := *vm.limits.Load()
	limits.Routers = max(int(vm.routers.Load()), minRouters)
	vm.retries.SetLimits(limits)
}

func (vm *entryVM) onConfiguration(t *routetable.Table) {
	vm.dispatcher.Configure(t)
	vm.endpoints.Recheck()
}

func (vm *entryVM) setEndpoints(usable []directory.Entry) {
	vm.connector.Update(usable)
	vm.dispatcher.Update(usable, time.Now())
	vm.origins.EndpointsChanged()
}

func (vm *entryVM) buildHandler() (err error) {
	tracer, err := vm.tracer()
	if err != nil {
		return err
	}
	pool := http1.NewPool(vm.connector.Connect)
	vm.connector.OnUnreachable = pool.DiscardIdle
	vm.handler = entry.New(entry.Config{
		ClientProtocol: clientapi.Codec{}, EndpointProtocol: endpointapi.Codec{}, Configuration: vm.configTracker, Lease: &vm.lease,
		Endpoints: vm.endpoints, Origins: &vm.origins, Dispatcher: vm.dispatcher, Retries: &vm.retries, Pool: pool, Connections: vm.connector, Quarantine: &vm.quarantine, Dial: vm.dialEndpoint, Tracer: tracer,
		Metrics: entry.NewMetrics(vm.metricSet), Logger: vm.logger, Clock: bootclock.Now, Memory: &vm.memory, Bodies: &vm.bodies, Answers: &vm.answers, ConnectionBytes: vm.connectionBytes.Load,
		MaxWait: vm.settings.OverloadControl().MaxWait(), MaxWaiting: vm.settings.OverloadControl().MaxWaiting(),
	})
	vm.clientServer, err = entry.NewServer(vm.settings.ClientAddress(), vm.handler)
	if err != nil {
		return err
	}
	vm.limitConnections(vm.settings)
	vm.watchSet("clients", vm.clientServer.Connections())
	vm.manager.Register("clients", vm.clientServer)
	return nil
}

// tracer returns a no-op tracer unless the settings name a destination for spans.
func (vm *entryVM) tracer() (t trace.Tracer, err error) {
	cfg := vm.settings.Traces()
	if cfg.OTLP() == "" && cfg.File() == "" {
		return noop.NewTracerProvider().Tracer(""), nil
	}
	provider, err := tracing.New(context.Background(), vm.settings.VM().Name(), cfg.OTLP(), cfg.File())
	if err != nil {
		return nil, err
	}
	vm.manager.Register("tracing", provider)
	return provider.Tracer(), nil
}

// metricsServerName is the registered name of the server that exposes the metrics.
const metricsServerName = "metrics"

// readinessPath is the path of the load balancer's readiness check: whether this router accepts new clients.
const readinessPath = clientapi.ReadinessPath

func (vm *entryVM) buildOperatorServers() (err error) {
	readinessHandler := mux.NewRouter()
	readinessHandler.HandleFunc(readinessPath, vm.answerReadiness)
	err = vm.addServer("readiness", vm.settings.ReadinessAddress(), readinessHandler)
	if err != nil {
		return err
	}
	vm.registerGauges()
	metricsHandler := mux.NewRouter()
	metricsHandler.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		vm.metricSet.WritePrometheus(w)
		vm.writeServiceGauges(w)
		// Only the operating system's process metrics: collecting the Go runtime's would pause the process.
		metrics.WriteProcMetrics(w)
	})
	return vm.addServer(metricsServerName, vm.settings.MetricsAddress(), metricsHandler)
}

// answerReadiness answers the load balancer, and logs when the answer changes.
func (vm *entryVM) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	ready := vm.handler.Ready()
	if vm.reportedReady.Swap(ready) != ready {
		_ = vm.logger.Log(field.Event, event.ReadinessChanged, field.Ready, ready)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// metricsAddress returns the address of the metrics server.
func (vm *entryVM) metricsAddress() string {
	return vm.manager.Find(metricsServerName).(*httpserver.Server).Address()
}

func (vm *entryVM) addServer(name, address string, h http.Handler) (err error) {
	s, err := httpserver.New(address, h, httpserver.Options{StopTimeout: auxiliaryStopTimeout}.Auxiliary())
	if err != nil {
		return err
	}
	vm.watchSet(name, s.Connections())
	vm.manager.Register(name, s)
	return nil
}

func (vm *entryVM) start(ctx context.Context) (err error) {
	err = vm.manager.Start(ctx)
	if err == nil {
		_ = vm.logger.Log(field.Event, event.Started, field.Clients, vm.clientServer.Address(), field.Store, vm.settings.StoreAddress())
	}
	return err
}

// watchSettings applies changes of the settings file, on SIGHUP and by polling, until ctx ends. current is the content
// that the process started with: the file may have changed since it was read.
func (vm *entryVM) watchSettings(ctx context.Context, file string, current []byte, hangup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for stopping := false; !stopping; {
		select {
		case <-ctx.Done():
			// Read the file a last time: the platform kills the process by the grace in the file, which may have been
			// lowered just before the stop.
			stopping = true
		case <-hangup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil || bytes.Equal(data, current) {
			continue
		}
		current = data
		vm.reload(file, data)
	}
}

func (vm *entryVM) reload(file string, data []byte) {
	cfg, err := settings.ParseEntry(file, data)
	if err != nil {
		_ = vm.logger.Log(field.Event, event.SettingsRefused, field.Err, err)
		return
	}
	vm.applySettings(cfg)
	_ = vm.logger.Log(field.Event, event.SettingsReloaded, field.KeyTerm, cfg.WithdrawnKeyTTL(), field.Grace, cfg.ShutdownGrace())
}

func (vm *entryVM) stop() (err error) {
	_ = vm.logger.Log(field.Event, event.Stopping, field.Open, vm.handler.ActiveRequests())
	vm.tunnels.RefuseNew()
	tunnelsEnd, cancelTunnels := context.WithTimeout(context.Background(), time.Duration(entry.DrainShare*float64(vm.stopGrace)))
	defer cancelTunnels()
	vm.clientServer.Drain(vm.stopGrace)
	vm.tunnels.Wait(tunnelsEnd)
	vm.handOverOrigins()
	remaining := vm.clientServer.Connections().Counts()
	_ = vm.logger.Log(field.Event, event.Stopped, field.Open, vm.handler.ActiveRequests(),
		field.Reading, remaining.Reading(), field.Serving, remaining.Serving())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return vm.manager.Stop(ctx)
}

const (
	// stopTimeout bounds stopping the services after the last request.
	stopTimeout = 300 * time.Millisecond
	// handOverTimeout bounds handing over where streams began, which takes a call to each of the other routers, and one to the store.
	handOverTimeout = 100 * time.Millisecond
	// auxiliaryStopTimeout bounds stopping each of the readiness and metrics servers. They stop before the server for
	// clients, and an idle connection to them must not use up the time for the last responses to clients.
	auxiliaryStopTimeout = 50 * time.Millisecond
)
