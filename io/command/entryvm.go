package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"savoryfall/core/annotate"
	"savoryfall/core/coldshare"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/freshness"
	"savoryfall/core/kernel"
	"savoryfall/core/members"
	"savoryfall/core/retryshare"
	"savoryfall/core/routetable"
	"savoryfall/core/settings"
	"savoryfall/io/bootclock"
	"savoryfall/io/clientconn"
	"savoryfall/io/desired"
	"savoryfall/io/draining"
	"savoryfall/io/entry"
	"savoryfall/io/follow"
	"savoryfall/io/http1"
	"savoryfall/io/httpserver"
	"savoryfall/io/hub"
	"savoryfall/io/meter"
	"savoryfall/io/registry"
	"savoryfall/io/stdout"
	"savoryfall/io/tracing"
	"savoryfall/platform/backend"
	wiredesired "savoryfall/platform/desired"
	"savoryfall/platform/evacuation"
	"savoryfall/platform/front"
	wireregistry "savoryfall/platform/registry"
	"savoryfall/platform/store"
)

// entryVM is the process of an entry VM: the services of a router that takes all it shares from the platform's store.
type entryVM struct {
	kernel     kernel.Kernel
	settings   *settings.Entry
	logger     log.Logger
	grace      time.Duration
	lease      freshness.Lease
	retries    retryshare.Share
	limits     atomic.Pointer[retryshare.Limits]
	dispatcher *dispatch.Dispatcher
	desired    *desired.Keeper
	hub        *hub.Agent
	drained    *draining.Keeper
	routers    atomic.Int64
	front      *entry.Front
	clients    *entry.Server
	set        *metrics.Set
}

const (
	// keyMargin is what is taken off the term of withdrawn keys, for the way from the check to the endpoint.
	keyMargin = 150 * time.Millisecond
	// configurationWait is how long a read waits for a newer configuration; each read renews the right to serve.
	configurationWait = 500 * time.Millisecond
	// configurationPause is the least time between two reads: a store that does not wait must not be asked without end.
	configurationPause = 50 * time.Millisecond
	// registryPause is the least time between two reads of the endpoints' entries, which change many times a
	// second: a leaving endpoint may get no new work two seconds later.
	registryPause = 600 * time.Millisecond
	// staleShare is the part of the time which a change may take to be known everywhere after which a router that
	// nobody reads for reads itself; the rest is for that read.
	staleShare = 0.75
	// firstWait is how long a starting router waits at most for a hub to tell it what the store holds.
	firstWait = 2 * time.Second
	// grace is how long a router waits to be given a newer configuration by the hub: a few times what asking for it takes.
	grace = 400 * time.Millisecond
	// leastRouters is how many routers share the retries at least: those that have just come are not known yet.
	leastRouters = 4
	// settingsLook is how often the settings file is looked at for a change that no signal told of.
	settingsLook = time.Second
)

func newEntryVM(cfg *settings.Entry, logger *stdout.Log) (vm *entryVM, err error) {
	defer annotate.Error(&err, "build entry VM %s", cfg.VM().Name())
	vm = &entryVM{
		settings: cfg, logger: log.With(logger, field.Time, log.DefaultTimestampUTC, field.VM, cfg.VM().Name()),
		dispatcher: dispatch.New(cfg.VM().FailureDomain()), set: metrics.NewSet(),
	}
	vm.kernel.Register("stdout", logger)
	vm.apply(cfg)
	err = vm.buildStore()
	if err != nil {
		return nil, err
	}
	err = vm.buildFront()
	if err != nil {
		return nil, err
	}
	return vm, vm.buildReadiness()
}

// apply takes the settings that may change while the process runs.
func (vm *entryVM) apply(cfg *settings.Entry) {
	vm.grace = cfg.Grace()
	vm.lease.SetTerm(cfg.KeyTerm() - keyMargin)
	vm.dispatcher.SetColdBound(coldshare.Bound{Overrun: cfg.Cold().Overrun(), Slack: cfg.Cold().Slack()})
	vm.dispatcher.SetDrainTerm(cfg.DrainedWithin() / 2)
	vm.limits.Store(&retryshare.Limits{
		Ratio: cfg.Retries().Ratio(), Slack: cfg.Retries().Slack(), Window: cfg.Retries().Window(),
	})
	vm.share()
}

// counted takes the routers that share the retries and what cold endpoints bear, by the hashes of their names.
func (vm *entryVM) counted(routers []uint64) {
	vm.routers.Store(int64(len(routers)))
	vm.dispatcher.SetFleet(coldshare.New(members.Hash(vm.settings.VM().Name()), routers))
	vm.share()
}

func (vm *entryVM) share() {
	limits := *vm.limits.Load()
	limits.Routers = max(int(vm.routers.Load()), leastRouters)
	vm.retries.SetLimits(limits)
}

func (vm *entryVM) buildStore() (err error) {
	counted := meter.New(vm.set)
	c := store.New(vm.settings.Store(), &http.Client{Transport: counted.Calls(meter.KindLog, storeTransport(counted))})
	vm.desired = desired.New(wiredesired.Decoder{}, &vm.lease, vm.configured, vm.logger)
	stale := time.Duration(staleShare * float64(vm.settings.ChangesWithin()))
	vm.drained = draining.New(evacuation.Decoder{}, vm.dispatcher, vm.logger)
	configuration := follow.New(c.Topic(wiredesired.Topic), follow.Sinks{vm.drained, vm.desired}, follow.Options{
		Name: "configuration", Wait: configurationWait, Pause: configurationPause, Grace: grace, Stale: stale, First: firstWait,
		Clock: bootclock.Now,
	}, vm.logger)
	vm.kernel.Register("configuration", configuration)
	endpoints := registry.New(wireregistry.Decoder{}, vm.listed, vm.logger)
	listed := follow.New(c.Topic(wireregistry.Topic), endpoints, follow.Options{
		Name: "registry", Pause: registryPause, Stale: stale, First: firstWait, Clock: bootclock.Now,
	}, vm.logger)
	vm.kernel.Register("registry", listed)
	vm.set.NewGauge("savoryfall_registry_age_seconds", func() float64 {
		_, sent, known := listed.Known()
		if !known {
			return -1
		}
		return (bootclock.Now() - sent).Seconds()
	})
	vm.hub, err = hub.New(hub.Parts{
		Self: members.Member{
			Name: vm.settings.VM().Name(), Address: vm.settings.Announced(), FailureDomain: vm.settings.VM().FailureDomain(),
			Started: time.Now().UnixMilli(),
			Bears:   members.VM{Cores: vm.settings.Cores(), MemoryMB: vm.settings.MemoryMB(), LinkMbps: vm.settings.LinkMbps()}.Bears(),
		},
		Address: vm.settings.Peers(),
		Members: &members.List{}, Configuration: configuration, Record: vm.desired.Record, Beside: vm.drained.Records, Registry: listed, Endpoints: endpoints,
		Loads: vm.dispatcher, Listing: hub.NewListing(c.Topic(store.MembersTopic)), Bootstrap: vm.settings.Bootstrap(), Meter: counted,
		Logger: vm.logger, Clock: bootclock.Now, Stale: stale, Counted: vm.counted,
	})
	if err != nil {
		return err
	}
	vm.kernel.Register("hub", vm.hub)
	return nil
}

// storeTransport finds out by itself that a connection has gone silent, and counts the bytes.
func storeTransport(m *meter.Meter) *http.Transport {
	d := &net.Dialer{Timeout: storeDial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	dial := func(ctx context.Context, network, address string) (c net.Conn, err error) {
		c, err = d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(meter.KindLog, c), nil
	}
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true}
}

// storeDial bounds the making of a connection to the store, which answers within some milliseconds.
const storeDial = 500 * time.Millisecond

func (vm *entryVM) configured(t *routetable.Table)  { vm.dispatcher.Configure(t) }
func (vm *entryVM) listed(usable []directory.Entry) { vm.dispatcher.Update(usable, time.Now()) }

func (vm *entryVM) buildFront() (err error) {
	tracer, err := vm.tracer()
	if err != nil {
		return err
	}
	vm.front = entry.New(entry.Parts{
		Clients: front.Front{}, Endpoints: backend.Backend{}, Configuration: vm.desired, Lease: &vm.lease,
		Dispatcher: vm.dispatcher, Retries: &vm.retries, Pool: &http1.Pool{}, Tracer: tracer,
		Figures: entry.NewFigures(vm.set), Logger: vm.logger, Clock: bootclock.Now,
	})
	vm.clients, err = entry.NewServer(vm.settings.Clients(), vm.front)
	if err != nil {
		return err
	}
	vm.kernel.Register("clients", vm.clients)
	return nil
}

// tracer makes no spans, at no cost, unless the settings say where they go.
func (vm *entryVM) tracer() (t trace.Tracer, err error) {
	cfg := vm.settings.Traces()
	if cfg.OTLP() == "" && cfg.File() == "" {
		return noop.NewTracerProvider().Tracer(""), nil
	}
	spans, err := tracing.New(context.Background(), vm.settings.VM().Name(), cfg.OTLP(), cfg.File())
	if err != nil {
		return nil, err
	}
	vm.kernel.Register("tracing", spans)
	return spans.Tracer(), nil
}

// nameMetrics is the name of the server of the metrics.
const nameMetrics = "metrics"

// readyPath is where the balancer asks whether this router takes new clients.
const readyPath = front.ReadyPath

func (vm *entryVM) buildReadiness() (err error) {
	ready := mux.NewRouter()
	ready.HandleFunc(readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !vm.front.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	err = vm.serve("readiness", vm.settings.Readiness(), ready)
	if err != nil {
		return err
	}
	vm.gauges()
	figures := mux.NewRouter()
	figures.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		vm.set.WritePrometheus(w)
		vm.services(w)
		// Of the operating system only: the runtime's own would stop the process for a moment.
		metrics.WriteProcMetrics(w)
	})
	return vm.serve(nameMetrics, vm.settings.Metrics(), figures)
}

// gauges are what is looked at when the metrics are read.
func (vm *entryVM) gauges() {
	vm.set.NewGauge("savoryfall_configuration_age_seconds", func() float64 {
		age, _ := vm.lease.Age(bootclock.Now())
		return age.Seconds()
	})
	vm.set.NewGauge("savoryfall_configuration_version", func() float64 {
		if t := vm.desired.Current(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	vm.set.NewGauge("savoryfall_cores", func() float64 { return float64(runtime.GOMAXPROCS(0)) })
	vm.set.NewGauge("savoryfall_routers", func() float64 { return float64(vm.routers.Load()) })
	vm.measures()
	vm.set.NewGauge("savoryfall_open_requests", func() float64 { return float64(vm.front.Open()) })
	vm.set.NewGauge("savoryfall_connections_made", func() float64 { return float64(vm.front.Pool.Dials()) })
	for state, count := range map[string]func(c clientconn.Counts) int{
		"idle": clientconn.Counts.Idle, "reading": clientconn.Counts.Reading, "serving": clientconn.Counts.Serving,
	} {
		vm.set.NewGauge(fmt.Sprintf("savoryfall_client_connections{state=%q}", state), func() float64 {
			return float64(count(vm.clients.Connections().Counts()))
		})
	}
	for _, by := range clientconn.Endings() {
		vm.set.NewGauge(fmt.Sprintf("savoryfall_client_connections_ended_total{by=%q}", by), func() float64 {
			return float64(vm.clients.Connections().Ended(by))
		})
	}
}

// measures are the users' own, and what they rest on.
func (vm *entryVM) measures() {
	for name, value := range map[string]func(m dispatch.Measures) float64{
		"savoryfall_prompt_tokens_total":      func(m dispatch.Measures) float64 { return float64(m.Prompt) },
		"savoryfall_warm_prompt_tokens_total": func(m dispatch.Measures) float64 { return float64(m.Warm) },
		"savoryfall_busiest_over_mean":        func(m dispatch.Measures) float64 { return m.Busiest },
		"savoryfall_endpoints":                func(m dispatch.Measures) float64 { return float64(m.Endpoints) },
		"savoryfall_endpoints_failing":        func(m dispatch.Measures) float64 { return float64(m.Failing) },
		"savoryfall_endpoints_silent":         func(m dispatch.Measures) float64 { return float64(m.Silent) },
		"savoryfall_full_for_seconds":         func(m dispatch.Measures) float64 { return m.FullFor.Seconds() },
		"savoryfall_load_view_age_seconds":    func(m dispatch.Measures) float64 { return m.ViewAge.Seconds() },
	} {
		vm.set.NewGauge(name, func() float64 { return value(vm.dispatcher.Measure(time.Now())) })
	}
}

// services shows this router's part of the retries, and the places, at each service of the configuration.
func (vm *entryVM) services(w io.Writer) {
	t := vm.desired.Current()
	if t == nil {
		return
	}
	for _, name := range t.Services() {
		now := time.Now()
		taken, places := vm.dispatcher.Occupancy(name, now)
		for metric, value := range map[string]float64{
			"savoryfall_retries_left": vm.retries.Left(name, now),
			"savoryfall_places":       float64(places), "savoryfall_places_taken": float64(taken),
		} {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("%s{service=%q}", metric, name), value)
		}
	}
}

// metricsAddress is where the metrics are served.
func (vm *entryVM) metricsAddress() string {
	return vm.kernel.Find(nameMetrics).(*httpserver.Server).Address()
}

func (vm *entryVM) serve(name, address string, h http.Handler) (err error) {
	s, err := httpserver.New(address, h, httpserver.Options{StopWithin: besideStop})
	if err != nil {
		return err
	}
	vm.kernel.Register(name, s)
	return nil
}

func (vm *entryVM) start(ctx context.Context) (err error) {
	err = vm.kernel.Start(ctx)
	if err == nil {
		_ = vm.logger.Log(field.Event, event.Started, field.Clients, vm.clients.Address(), field.Store, vm.settings.Store())
	}
	return err
}

// watchSettings takes changed settings, on a signal or without one, until the process is told to stop. What the process
// started with is given, since the file may have changed while it started.
func (vm *entryVM) watchSettings(ctx context.Context, file string, last []byte, hangup <-chan os.Signal) {
	tick := time.NewTicker(settingsLook)
	defer tick.Stop()
	for stopping := false; !stopping; {
		select {
		case <-ctx.Done():
			// Once more: a grace that was lowered just before the stop is the one that the process is killed by.
			stopping = true
		case <-hangup:
		case <-tick.C:
		}
		data, err := os.ReadFile(file)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		vm.reload(file, data)
	}
}

func (vm *entryVM) reload(file string, data []byte) {
	cfg, err := settings.ParseEntry(file, data)
	if err != nil {
		_ = vm.logger.Log(field.Event, event.SettingsRefused, field.Err, err)
		return
	}
	vm.apply(cfg)
	_ = vm.logger.Log(field.Event, event.SettingsReloaded, field.KeyTerm, cfg.KeyTerm(), field.Grace, cfg.Grace())
}

func (vm *entryVM) stop() (err error) {
	_ = vm.logger.Log(field.Event, event.Stopping, field.Open, vm.front.Open())
	vm.clients.Drain(vm.grace)
	left := vm.clients.Connections().Counts()
	_ = vm.logger.Log(field.Event, event.Stopped, field.Open, vm.front.Open(), field.Reading, left.Reading(), field.Serving, left.Serving())
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	return vm.kernel.Stop(ctx)
}

const (
	// stopWithin bounds the end of the services after the last request.
	stopWithin = 300 * time.Millisecond
	// besideStop is the part of it that a server beside the clients' may take: they are stopped first, and a connection
	// on which nobody asks for anything must not use up the time of the clients' last answers.
	besideStop = 50 * time.Millisecond
)
