package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/core/settings"
	"savoryfall/io/logwriter"
	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/fakestore"
)

// platformDemo runs a small fleet of entry VMs in this process, with stand-ins for the platform's store and the
// endpoints.
type platformDemo struct {
	store fakestore.Service
	// address is the store's address.
	address     string
	httpServers []*http.Server
	vms         []*entryVM
}

// demoConfiguration has a route of each kind; its only API key is "demo".
const demoConfiguration = `{"version":1,"routes":[
	{"name":"draft","host":"demo.example","path_prefix":"/draft/","type":"streaming","resumable":true,"timeout_ms":15000,
		"goal_ms":800,"service":"models","max_attempts":2},
	{"name":"book","host":"demo.example","path_prefix":"/book/","type":"non_idempotent","timeout_ms":1000,"goal_ms":100,
		"service":"plain","max_attempts":1},
	{"name":"read","host":"demo.example","path_prefix":"/read/","type":"idempotent","timeout_ms":1000,"goal_ms":100,
		"service":"plain","max_attempts":2}],
	"services":[{"name":"models","engine":{"slots":32,"kv_capacity":500000}},{"name":"plain"}],
	"tenants":[{"name":"guardia","api_keys":["demo"]}]}`

func runPlatformDemo(ctx context.Context, s streams, quiet bool) (err error) {
	d := &platformDemo{}
	defer d.stop()
	err = d.start(ctx, s, quiet)
	if err != nil {
		return err
	}
	address := d.vms[0].clientServer.Address()
	fmt.Fprintf(s.out, "clients    http://%s\nstore      http://%s\nkey        demo\n\n", address, d.address)
	fmt.Fprintf(s.out, "curl -sN -X POST http://%s/draft/plan -H 'Host: demo.example' -H 'Authorization: Bearer demo' "+
		"%s\n\npress Ctrl-C to stop\n", address, fakeendpoint.CurlHeaders)
	<-ctx.Done()
	return nil
}

func (d *platformDemo) start(ctx context.Context, s streams, quiet bool) (err error) {
	defer annotate.Error(&err, "start the demo")
	d.address, err = d.serve(&d.store)
	if err != nil {
		return err
	}
	d.store.Put("keyed.op", "config", []byte(demoConfiguration))
	for i := range demoEngines {
		err = d.addEndpoint(fakeendpoint.Options{ID: fmt.Sprint("engine", i), Service: "models", Slots: 32, Events: 40, EventTime: 30 * time.Millisecond})
		if err != nil {
			return err
		}
	}
	for i := range demoServices {
		err = d.addEndpoint(fakeendpoint.Options{ID: fmt.Sprint("plain", i), Service: "plain", Slots: 6, ResponseTime: 15 * time.Millisecond})
		if err != nil {
			return err
		}
	}
	for i := range demoRouters {
		err = d.startRouter(ctx, s, i, quiet)
		if err != nil {
			return err
		}
	}
	return nil
}

// serve serves h on a free loopback port and returns the address.
func (d *platformDemo) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	httpServer := &http.Server{Handler: h}
	d.httpServers = append(d.httpServers, httpServer)
	go func() {
		err := httpServer.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			panic("demo: " + err.Error())
		}
	}()
	return l.Addr().String(), nil
}

func (d *platformDemo) addEndpoint(o fakeendpoint.Options) (err error) {
	var s *fakeendpoint.Endpoint
	o.FailureDomain = "demo"
	o.Address, err = d.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r) }))
	if err != nil {
		return err
	}
	s = fakeendpoint.New(o)
	d.store.Put("keyed.servers", o.ID, s.Entry())
	return nil
}

func (d *platformDemo) startRouter(ctx context.Context, s streams, i int, quiet bool) (err error) {
	peerListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := peerListener.Addr().String()
	err = peerListener.Close()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("[vm]\nname = \"vm%d\"\nfailureDomain = \"demo\"\n[clients]\naddress = \"127.0.0.1:0\"\n"+
		"[readiness]\naddress = \"127.0.0.1:0\"\n[metrics]\naddress = \"127.0.0.1:0\"\n[peers]\naddress = %q\n[store]\naddress = %q\n",
		i, address, d.address)
	cfg, err := settings.ParseEntry("demo.toml", []byte(text))
	if err != nil {
		return err
	}
	out := s.err
	if quiet {
		out = io.Discard
	}
	vm, err := newEntryVM(cfg, logwriter.New(out))
	if err != nil {
		return err
	}
	d.vms = append(d.vms, vm)
	return vm.start(ctx)
}

func (d *platformDemo) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	for _, vm := range d.vms {
		_ = vm.manager.Stop(ctx)
	}
	for _, s := range d.httpServers {
		_ = s.Close()
	}
}
