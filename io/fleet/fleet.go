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
	"savoryfall/core/annotate"
	"savoryfall/core/inforce"
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

// Options shape a fleet; a zero field means its default.
type Options struct {
	Routers        int
	Engines        int
	Services       int
	Models         []string
	FailureDomains []string
	Accounts       []string
	// Weights are the shares of the accounts, in their order; none means that all are equal.
	Weights []float64
	Engine  engine.Options
	// Extra is TOML added to the settings of each router, by the name of its section.
	Extra     map[string]string
	Log       *logservice.Service
	NoRelease bool
}

// Fleet is the platform's stand-ins, endpoints and routers.
type Fleet struct {
	opts     Options
	logger   log.Logger
	dir      string
	Log      *logservice.Service
	VMs      *vmservice.Service
	Weights  *weightservice.Service
	mu       sync.Mutex
	servers  map[string]*httpserver.Server
	routers  []*router.Router
	engines  map[string]*runningEngine
	services map[string]*plainservice.Service
	started  int
}

type runningEngine struct {
	*engine.Engine
	stop context.CancelFunc
}

const (
	loopback   = "127.0.0.1:0"
	defaultKey = "key-of-"
	ticketKey  = "shared secret of the routers on this machine"
	// ServicePath is the prefix of the plain service.
	ServicePath = "/permits/"
	// NotRepeatable is the path of its call that may run only once.
	NotRepeatable = "/permits/issue"
	weightRate    = 100
)

// Key is the bearer key of an account of the fleet.
func Key(accountName string) string { return defaultKey + accountName }

// New makes a fleet that is not started.
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
		opts: o, logger: logger, Log: o.Log, VMs: &vmservice.Service{}, Weights: weightservice.New(weightRate, weightRate),
		servers: map[string]*httpserver.Server{}, engines: map[string]*runningEngine{},
		services: map[string]*plainservice.Service{},
	}
}

// Start brings up the stand-ins, publishes one release note and starts the routers; it returns when all are ready.
func (f *Fleet) Start(ctx context.Context) (err error) {
	defer annotate.Error(&err, "start fleet")
	f.dir, err = os.MkdirTemp("", "savoryfall")
	if err != nil {
		return err
	}
	err = os.WriteFile(f.secretFile(), []byte(ticketKey), 0o600)
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
	if !f.opts.NoRelease {
		f.publish(ctx)
	}
	for range f.opts.Routers {
		_, err = f.AddRouter(ctx)
		if err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) secretFile() string { return filepath.Join(f.dir, "ticket.key") }

func (f *Fleet) startPlatform(ctx context.Context) (err error) {
	return errors.Join(
		f.serve(ctx, "log", f.Log.Handler()),
		f.serve(ctx, "vms", f.VMs.Handler()),
		f.serve(ctx, "weights", f.Weights.Handler()),
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

// publish puts the first release note on the log, as an operator would.
func (f *Fleet) publish(ctx context.Context) {
	f.Publish(ctx, f.ReleaseNote())
}

// Publish appends the text of a release note.
func (f *Fleet) Publish(_ context.Context, text string) {
	f.Log.Append(configuration.Stream, inforce.NoteRecord(text))
}

// ReleaseNote is the note that puts the whole fleet in force.
func (f *Fleet) ReleaseNote() (text string) {
	text = "id = \"first\"\n"
	for _, m := range f.opts.Models {
		text += fmt.Sprintf("\n[[added.models]]\nname = %q\n", m)
	}
	for i, a := range f.opts.Accounts {
		text += fmt.Sprintf("\n[[added.accounts]]\nname = %q\nkeyDigest = %q\n", a, account.Digest(Key(a)))
		if i < len(f.opts.Weights) {
			text += fmt.Sprintf("weight = %.4f\n", f.opts.Weights[i])
		}
	}
	if f.opts.Services > 0 {
		text += fmt.Sprintf("\n[[added.services]]\nname = \"permits\"\npath = %q\nnotRepeatable = [%q]\n",
			ServicePath, "POST "+NotRepeatable)
	}
	for i := range f.opts.Engines {
		name := fmt.Sprintf("engine-%02d", i+1)
		text += f.EngineItem("added", name)
	}
	for i := range f.opts.Services {
		name := fmt.Sprintf("service-%02d", i+1)
		text += fmt.Sprintf("\n[[added.endpoints]]\nname = %q\nkind = \"service\"\nservice = \"permits\"\n"+
			"address = %q\nfailureDomain = %q\nechoes = true\n", name, f.Address(name), f.domain(i))
	}
	return text
}

// EngineItem is the part of a release note that adds or changes one engine.
func (f *Fleet) EngineItem(verb, name string) string {
	var i int
	_, _ = fmt.Sscanf(name, "engine-%d", &i)
	return fmt.Sprintf("\n[[%s.endpoints]]\nname = %q\naddress = %q\nfailureDomain = %q\nmodels = %s\nchecksFence = %t\n",
		verb, name, f.Address(name), f.domain(i), tomlList(f.opts.Models), f.opts.Engine.ChecksFence)
}

func tomlList(texts []string) (list string) {
	for _, t := range texts {
		list += fmt.Sprintf("%q, ", t)
	}
	return "[" + list + "]"
}

func (f *Fleet) domain(i int) string { return f.opts.FailureDomains[i%len(f.opts.FailureDomains)] }

// AddRouter starts one more router on a VM of its own name.
func (f *Fleet) AddRouter(ctx context.Context) (r *router.Router, err error) {
	defer annotate.Error(&err, "add router")
	f.mu.Lock()
	f.started++
	n := f.started
	f.mu.Unlock()
	s, err := settings.Parse(fmt.Sprintf("router-%d.toml", n), []byte(f.settings(n)))
	if err != nil {
		return nil, err
	}
	r, err = router.New(s, f.logger)
	if err != nil {
		return nil, err
	}
	f.VMs.Put(vmlist.VM{
		Name: s.VM().Name(), Address: r.Peers(), FailureDomain: s.VM().FailureDomain(), Role: vmlist.RoleRouter,
	})
	f.mu.Lock()
	f.routers = append(f.routers, r)
	f.mu.Unlock()
	return r, r.Start(ctx)
}

func (f *Fleet) settings(n int) (text string) {
	text = fmt.Sprintf("[vm]\nname = \"entry-%d\"\nfailureDomain = %q\n%s", n, f.domain(n-1), f.opts.Extra["vm"])
	for _, section := range []string{"callers", "operators", "peers"} {
		text += fmt.Sprintf("\n[%s]\naddress = %q\n%s", section, loopback, f.opts.Extra[section])
	}
	text += fmt.Sprintf("\n[platform]\nlog = \"http://%s\"\nvmList = \"http://%s\"\nweightStore = \"http://%s\"\n%s",
		f.Address("log"), f.Address("vms"), f.Address("weights"), f.opts.Extra["platform"])
	text += fmt.Sprintf("\n[routing]\nticketKeyFile = %q\n%s", f.secretFile(), f.opts.Extra["routing"])
	for _, section := range []string{"limits", "claims", "orders", "traces"} {
		text += fmt.Sprintf("\n[%s]\n%s", section, f.opts.Extra[section])
	}
	return text
}

const readyCheck = 5 * time.Millisecond

func (f *Fleet) awaitReady(ctx context.Context) (err error) {
	tick := time.NewTicker(readyCheck)
	defer tick.Stop()
	for !f.ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, r := range f.Routers() {
		if !r.Ready() {
			return false
		}
	}
	return true
}

// Routers are the routers started so far, in their order.
func (f *Fleet) Routers() []*router.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*router.Router{}, f.routers...)
}
