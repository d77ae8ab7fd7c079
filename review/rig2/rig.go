package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"savoryfall/platform/standin/fakestore"
)

// The names of the deployment.
const (
	host      = "orchard.example"
	apiKey    = "k3y0fth30rchard00000"
	tenant    = "orchard"
	modelPool = "models"
	plainPool = "bookings"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// rig is a small deployment around router processes.
type rig struct {
	program string
	trouble bool
	dir     string
	began   time.Time
	record  *os.File

	store        fakestore.Service
	storeAddress string
	closers      []func()
	// storeFor returns the address at which a router meets the store. It defaults to storeAddress.
	storeFor func(name string) (address string, err error)
	done     chan struct{}
	beats    sync.WaitGroup

	mu       sync.Mutex
	routers  []*router
	runs     map[string][]string
	attempts int
}

// router is a router process and its addresses.
type router struct {
	name, client, readiness string
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

func newRig(program, record string, trouble bool) (r *rig, err error) {
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	r = &rig{program: program, trouble: trouble, began: time.Now(), done: make(chan struct{}), runs: map[string][]string{}}
	r.dir, err = os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r.record, err = os.Create(record)
	if err != nil {
		return nil, err
	}
	r.storeAddress, err = r.serve(&r.store)
	return r, err
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a server began to work on a request.
func (r *rig) ran(id, server string) {
	r.note("server %s runs %s", server, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
}

// runsOf returns the servers that ran the request.
func (r *rig) runsOf(id string) (servers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(servers, r.runs[id]...)
}

// serve serves h on a free loopback port until the rig is closed.
func (r *rig) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	r.closers = append(r.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// configure writes the desired state.
func (r *rig) configure(state map[string]any) (err error) {
	value, err := json.Marshal(state)
	if err != nil {
		return err
	}
	r.store.Put("keyed.op", "config", value)
	r.note("desired state %v written", state["version"])
	return nil
}

// firstPort is the first of a router's ports, which are below those that the system hands out.
const firstPort = 20001

// routerAddress returns one of a router's addresses. The routers of a rig have loopback addresses of their own, so that nothing else takes
// their ports.
func routerAddress(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, 1+i, firstPort+port)
}

// settings is the settings file of a router, as the template of the deploy file gives it for a small site.
const settings = `[vm]
name = %q
failureDomain = "westvale-a"
region = "westvale"
bootstrap = true
cores = 0.4
memoryMB = 284
descriptors = 4100
terms = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
linkMbps = 1000.0
[clients]
address = %q
[readiness]
address = %q
[metrics]
address = %q
[peers]
address = %q
[store]
address = %q
configurationWithin = "2000ms"
leavingWithin = "2000ms"
[keys]
withdrawnWithin = "5000ms"
[stop]
grace = "8s"
[retries]
ratio = 0.2
slack = 52
window = "10s"
`

// startRouters starts routers and waits until they are ready.
func (r *rig) startRouters(n int) (err error) {
	for i := range n {
		var addresses [4]string
		for k := range addresses {
			addresses[k] = routerAddress(i, k)
		}
		name := fmt.Sprintf("edge-westvale-a-%d", i+1)
		file := filepath.Join(r.dir, name+".conf")
		store := r.storeAddress
		if r.storeFor != nil {
			store, err = r.storeFor(name)
		}
		if err != nil {
			return err
		}
		text := fmt.Sprintf(settings, name, addresses[0], addresses[1], addresses[2], addresses[3], store)
		err = os.WriteFile(file, []byte(text), 0o600)
		if err != nil {
			return err
		}
		x := &router{name: name, client: addresses[0], readiness: addresses[1], exited: make(chan struct{})}
		err = r.startProcess(x, file)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, x)
	}
	return r.awaitReady()
}

func (r *rig) startProcess(x *router, file string) (err error) {
	log, err := os.Create(file + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	x.cmd = exec.Command(r.program, "entry", "--settings", file)
	x.cmd.Env = append(os.Environ(), "SAVORYFALL_NODE_FILE="+file)
	x.cmd.Stdout, x.cmd.Stderr = log, log
	err = x.cmd.Start()
	if err != nil {
		return err
	}
	go func() {
		_ = x.cmd.Wait()
		close(x.exited)
	}()
	r.note("router %s started", x.name)
	return nil
}

var errNotReady = errors.New("the routers are not ready after ten seconds")

func (r *rig) awaitReady() (err error) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, x := range r.routers {
			resp, err := http.Get("http://" + x.readiness + "/api/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.routers) {
			return nil
		}
	}
	return errNotReady
}

// close ends all processes that the rig started. It returns the error that it is given.
func (r *rig) close(cause error) error {
	close(r.done)
	r.beats.Wait()
	for _, x := range r.routers {
		_ = x.cmd.Process.Signal(syscall.SIGKILL)
		<-x.exited
	}
	for _, end := range r.closers {
		end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	return cause
}
