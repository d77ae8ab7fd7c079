package fleet

import (
	"context"
	"errors"
	"net/http"
	"os"

	"savoryfall/core/annotate"
	"savoryfall/io/httpserver"
	"savoryfall/io/router"
	"savoryfall/io/standin/engine"
	"savoryfall/io/standin/plainservice"
)

func (f *Fleet) serve(ctx context.Context, name string, h http.Handler) (err error) {
	return f.serveAt(ctx, name, loopback, h)
}

func (f *Fleet) serveAt(ctx context.Context, name, address string, h http.Handler) (err error) {
	s, err := httpserver.New(address, h, httpserver.Options{})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.servers[name] = s
	f.mu.Unlock()
	return s.Start(ctx)
}

// Address returns the address that a simulated service or endpoint listens on, or "" if it was never started.
func (f *Fleet) Address(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[name]; s != nil {
		return s.Address()
	}
	return ""
}

// StartEngine starts an engine with an empty cache at the address. An earlier engine of the same name must have been
// killed.
func (f *Fleet) StartEngine(ctx context.Context, name, address string) (err error) {
	defer annotate.Error(&err, "start engine %s", name)
	o := f.opts.Engine
	o.Name, o.Models = name, f.opts.Models
	o.WeightStoreURL = "http://" + f.Address("weights")
	e := engine.New(o)
	err = f.serveAt(ctx, name, address, e.Handler())
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	go e.Run(runCtx)
	f.mu.Lock()
	f.engines[name] = &runningEngine{Engine: e, stop: stop}
	f.mu.Unlock()
	return nil
}

// KillEngine stops an engine abruptly, without draining, and returns its address so that a replacement can use it.
func (f *Fleet) KillEngine(name string) (address string) {
	address = f.Address(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[name].stop()
	f.servers[name].Kill()
	return address
}

// KillEngines kills several engines at once. All of them stop accepting connections first, so that a request that one
// of them loses cannot be retried at another that is about to be killed.
func (f *Fleet) KillEngines(names ...string) {
	f.mu.Lock()
	for _, name := range names {
		f.servers[name].StopAccepting()
	}
	f.mu.Unlock()
	for _, name := range names {
		f.KillEngine(name)
	}
}

// Engine returns the engine of that name.
func (f *Fleet) Engine(name string) *engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name].Engine
}

// Engines returns all engines by name.
func (f *Fleet) Engines() map[string]*engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]*engine.Engine{}
	for name, e := range f.engines {
		all[name] = e.Engine
	}
	return all
}

// Service returns the plain service process of that name.
func (f *Fleet) Service(name string) *plainservice.Service { return f.services[name] }

// KillService stops a process of the plain service abruptly, without draining.
func (f *Fleet) KillService(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[name].Kill()
}

// Services returns all processes of the plain service by name.
func (f *Fleet) Services() map[string]*plainservice.Service { return f.services }

// KillRouter stops a router abruptly, as the loss of its VM would, and removes it from the list of routers.
func (f *Fleet) KillRouter(r *router.Router) {
	f.removeRouter(r)
	r.Kill()
}

// StopRouter stops a router gracefully and removes it from the list of routers.
func (f *Fleet) StopRouter(ctx context.Context, r *router.Router) error {
	f.removeRouter(r)
	return r.Stop(ctx)
}

func (f *Fleet) removeRouter(r *router.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.routers {
		if other == r {
			f.routers = append(f.routers[:i], f.routers[i+1:]...)
			return
		}
	}
}

// Stop stops the routers gracefully, then kills the simulated services and endpoints.
func (f *Fleet) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop fleet")
	stopped := make(chan error)
	routers := f.Routers()
	for _, r := range routers {
		go func() { stopped <- r.Stop(ctx) }()
	}
	for range routers {
		err = errors.Join(err, <-stopped)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.stop()
	}
	for _, s := range f.servers {
		s.Kill()
	}
	return errors.Join(err, os.RemoveAll(f.dir))
}
