package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/account"
	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
	"savoryfall/core/settings"
	"savoryfall/io/configuration"
	"savoryfall/io/httpserver"
	"savoryfall/io/router"
	"savoryfall/io/standin/engine"
	"savoryfall/io/standin/logservice"
	"savoryfall/io/standin/plainservice"
	"savoryfall/io/standin/vmservice"
	"savoryfall/io/standin/weightservice"
	"savoryfall/io/vmlist"
)

// Options configures a fleet; a field with the zero value uses its default.
type Options struct {
	Routers        int
	Engines        int
	Services       int
	Models         []string
	FailureDomains []string
	Accounts       []string
	// AccountWeights holds the weight of each account, in the order of Accounts; if empty, all are equal.
	AccountWeights []float64
	Engine         engine.Options
	// ExtraSettings holds TOML that is appended to a section of each router's settings, by section name.
	ExtraSettings   map[string]string
	Log             *logservice.Service
	SkipReleaseNote bool
}

// Fleet holds the simulated platform services and endpoints, and the routers.
type Fleet struct {
	opts           Options
	logger         log.Logger
	dir            string
	Log            *logservice.Service
	VMList         *vmservice.Service
	WeightStore    *weightservice.Service
	mu             sync.Mutex
	servers        map[string]*httpserver.Server
	routers        []*router.Router
	engines        map[string]*runningEngine
	services       map[string]*plainservice.Service
	routersStarted int
}

type runningEngine struct {
	*engine.Engine
	stop context.CancelFunc
}

const (
	loopback  = "127.0.0.1:0"
	keyPrefix = "key-of-"
	ticketKey = "shared secret of the routers on this machine"
	// ServicePath is the path prefix that the routers send to the plain service.
	ServicePath = "/permits/"
	// NonIdempotentPath is the path of the plain service's call that must run at most once per idempotency key.
	NonIdempotentPath = "/permits/issue"
	weightStoreRate   = 100
)

// APIKey returns the bearer key of an account.
func APIKey(accountName string) string { return keyPrefix + accountName }

// New returns a fleet that is not started.
func New(o Options, logger log.Logger) *Fleet {
	if len(o.Models) == 0 {
		o.Models = []string{"sur-large"}
	}
	if len(o.FailureDomains) == 0 {
		o.FailureDomains = []string{"temuco-uno", "temuco-dos", "valdivia-uno", "osorno-uno"}
	}
	if len(o.Accounts) == 0 {
		o.Accounts = []string{"guardia"}
	}
	if o.Log == nil {
		o.Log = logservice.New(0, 0)
	}
	return &Fleet{
		opts: o, logger: logger, Log: o.Log, VMList: &vmservice.Service{}, WeightStore: weightservice.New(weightStoreRate, weightStoreRate),
		servers: map[string]*httpserver.Server{}, engines: map[string]*runningEngine{},
		services: map[string]*plainservice.Service{},
	}
}

// Start starts the simulated services and endpoints, publishes the first release note, starts the routers and waits
// until all of them are ready.
func (f *Fleet) Start(ctx context.Context) (err error) {
	defer annotate.Error(&err, "start fleet")
	f.dir, err = os.MkdirTemp("", "savoryfall")
	if err != nil {
		return err
	}
	err = os.WriteFile(f.ticketKeyFile(), []byte(ticketKey), 0o600)
	if err != nil {
		return err
	}
	err = f.startPlatform(ctx)
	if err != nil {
		return err
	}
	err = f.startEndpoints(ctx)
	if err != nil {
		return err
	}
	if !f.opts.SkipReleaseNote {
		f.publishRelease(ctx)
	}
	for range f.opts.Routers {
		_, err = f.AddRouter(ctx)
		if err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) ticketKeyFile() string { return filepath.Join(f.dir, "ticket.key") }

func (f *Fleet) startPlatform(ctx context.Context) (err error) {
	return errors.Join(
		f.serve(ctx, "log", f.Log.Handler()),
		f.serve(ctx, "vms", f.VMList.Handler()),
		f.serve(ctx, "weights", f.WeightStore.Handler()),
	)
}

func (f *Fleet) startEndpoints(ctx context.Context) (err error) {
	for i := range f.opts.Engines {
		err = f.StartEngine(ctx, fmt.Sprintf("engine-%02d", i+1), loopback)
		if err != nil {
			return err
		}
	}
	for i := range f.opts.Services {
		name := fmt.Sprintf("service-%02d", i+1)
		s := plainservice.New(name)
		f.services[name] = s
		err = f.serve(ctx, name, s.Handler())
		if err != nil {
			return err
		}
	}
	return nil
}

// publishRelease appends the first release note to the log, as an operator would.
func (f *Fleet) publishRelease(ctx context.Context) {
	f.Publish(ctx, f.ReleaseNote())
}

// Publish appends a release note to the configuration stream.
func (f *Fleet) Publish(_ context.Context, text string) {
	f.Log.Append(configuration.Stream, activeconfig.NoteRecord(text))
}

// ReleaseNote returns a release note that adds all models, accounts, services and endpoints of the fleet.
func (f *Fleet) ReleaseNote() (text string) {
	text = "id = \"first\"\n"
	for _, m := range f.opts.Models {
		text += fmt.Sprintf("\n[[added.models]]\nname = %q\n", m)
	}
	for i, a := range f.opts.Accounts {
		text += fmt.Sprintf("\n[[added.accounts]]\nname = %q\nkeyDigest = %q\n", a, account.DigestKey(APIKey(a)))
		if i < len(f.opts.AccountWeights) {
			text += fmt.Sprintf("weight = %.4f\n", f.opts.AccountWeights[i])
		}
	}
	if f.opts.Services > 0 {
		text += fmt.Sprintf("\n[[added.services]]\nname = \"permits\"\npath = %q\nnotRepeatable = [%q]\n",
			ServicePath, "POST "+NonIdempotentPath)
	}
	for i := range f.opts.Engines {
		name := fmt.Sprintf("engine-%02d", i+1)
		text += f.EngineEntry("added", name)
	}
	for i := range f.opts.Services {
		name := fmt.Sprintf("service-%02d", i+1)
		text += fmt.Sprintf("\n[[added.endpoints]]\nname = %q\nkind = \"service\"\nservice = \"permits\"\n"+
			"address = %q\nfailureDomain = %q\nechoes = true\n", name, f.Address(name), f.domainAt(i))
	}
	return text
}

// EngineEntry returns the part of a release note that lists one engine in the given section, such as "added".
func (f *Fleet) EngineEntry(section, name string) string {
	var i int
	_, _ = fmt.Sscanf(name, "engine-%d", &i)
	return fmt.Sprintf("\n[[%s.endpoints]]\nname = %q\naddress = %q\nfailureDomain = %q\nmodels = %s\nchecksFence = %t\n",
		section, name, f.Address(name), f.domainAt(i), tomlStringArray(f.opts.Models), f.opts.Engine.ChecksFence)
}

func tomlStringArray(values []string) (array string) {
	for _, t := range values {
		array += fmt.Sprintf("%q, ", t)
	}
	return "[" + array + "]"
}

func (f *Fleet) domainAt(i int) string { return f.opts.FailureDomains[i%len(f.opts.FailureDomains)] }

// AddRouter starts another router on a new VM.
func (f *Fleet) AddRouter(ctx context.Context) (r *router.Router, err error) {
	defer annotate.Error(&err, "add router")
	f.mu.Lock()
	f.routersStarted++
	n := f.routersStarted
	f.mu.Unlock()
	s, err := settings.Parse(fmt.Sprintf("router-%d.toml", n), []byte(f.settings(n)))
	if err != nil {
		return nil, err
	}
	r, err = router.New(s, f.logger)
	if err != nil {
		return nil, err
	}
	f.VMList.Put(vmlist.VM{
		Name: s.VM().Name(), Address: r.PeerAddress(), FailureDomain: s.VM().FailureDomain(), Role: vmlist.RoleRouter,
	})
	f.mu.Lock()
	f.routers = append(f.routers, r)
	f.mu.Unlock()
	return r, r.Start(ctx)
}

func (f *Fleet) settings(n int) (text string) {
	text = fmt.Sprintf("[vm]\nname = \"entry-%d\"\nfailureDomain = %q\n%s", n, f.domainAt(n-1), f.opts.ExtraSettings["vm"])
	for _, section := range []string{"callers", "operators", "peers"} {
		text += fmt.Sprintf("\n[%s]\naddress = %q\n%s", section, loopback, f.opts.ExtraSettings[section])
	}
	text += fmt.Sprintf("\n[platform]\nlog = \"http://%s\"\nvmList = \"http://%s\"\nweightStore = \"http://%s\"\n%s",
		f.Address("log"), f.Address("vms"), f.Address("weights"), f.opts.ExtraSettings["platform"])
	text += fmt.Sprintf("\n[routing]\nticketKeyFile = %q\n%s", f.ticketKeyFile(), f.opts.ExtraSettings["routing"])
	for _, section := range []string{"limits", "claims", "orders", "traces"} {
		text += fmt.Sprintf("\n[%s]\n%s", section, f.opts.ExtraSettings[section])
	}
	return text
}

const readyPollInterval = 5 * time.Millisecond

func (f *Fleet) awaitReady(ctx context.Context) (err error) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !f.allReady() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

func (f *Fleet) allReady() bool {
	for _, r := range f.Routers() {
		if !r.Ready() {
			return false
		}
	}
	return true
}

// Routers returns the routers that were started and not killed or stopped, in order of their start.
func (f *Fleet) Routers() []*router.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*router.Router{}, f.routers...)
}
