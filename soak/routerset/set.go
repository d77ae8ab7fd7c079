package routerset

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/platform/site"
)

// Set is a number of router processes. It ends only those that it has started.
type Set struct {
	program, dir string
	within       time.Duration
	// number distinguishes the sets of this process.
	number  int64
	routers []*Router
}

// sets counts the sets of this process.
var sets atomic.Int64

// Router is a router process.
type Router struct {
	site.Router
	// Clients is the address for clients, Readiness that for the platform.
	Clients, Readiness string
	cmd                *exec.Cmd
	exited             chan struct{}
}

// New returns a set of routers that run the program, write their logs below the directory, and put changes into force within a time.
func New(program, dir string, within time.Duration) *Set {
	return &Set{program: program, dir: dir, within: within, number: sets.Add(1)}
}

// firstPort is the first of a router's ports, which are below those that the system hands out.
const firstPort = 20001

// address returns one of a router's addresses. Each router has a loopback address of its own, so that nothing else takes its ports.
func (s *Set) address(i, port int) string {
	n := os.Getpid() + int(s.number)*7919
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+n%250, 1+n/250%250, 1+i, firstPort+port)
}

// settings is the settings file of a router.
const settings = `[vm]
name = %q
failureDomain = %q
bootstrap = true
cores = %v
memoryMB = %d
descriptors = %d
linkMbps = %v
terms = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
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
configurationWithin = "%dms"
leavingWithin = "%dms"
[keys]
withdrawnWithin = "5000ms"
[stop]
grace = "8s"
[retries]
ratio = 0.2
slack = 52
window = "10s"
`

// Start starts a router that reaches the store at the address.
func (s *Set) Start(vm site.Router, store string) (err error) {
	defer annotate.Error(&err, "start the router %s", vm.Name)
	i := len(s.routers)
	file := filepath.Join(s.dir, vm.Name+".conf")
	text := fmt.Sprintf(settings, vm.Name, vm.FailureDomain, vm.Cores, vm.MemoryMB, vm.Descriptors, vm.LinkMbps,
		s.address(i, 0), s.address(i, 1), s.address(i, 2), s.address(i, 3), store, s.within.Milliseconds(), s.within.Milliseconds())
	err = os.WriteFile(file, []byte(text), 0o600)
	if err != nil {
		return err
	}
	log, err := os.Create(file + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r := &Router{Router: vm, Clients: s.address(i, 0), Readiness: s.address(i, 1), exited: make(chan struct{})}
	r.cmd = exec.Command(s.program, "entry", "--settings", file)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	err = r.cmd.Start()
	if err != nil {
		return err
	}
	go func() {
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	s.routers = append(s.routers, r)
	return nil
}

// Routers returns the routers that were started.
func (s *Set) Routers() []*Router { return s.routers }

// readyPause is the time between two questions whether routers are ready.
const readyPause = 50 * time.Millisecond

var errNotReady = errors.New("the routers are not ready")

// AwaitReady returns when all routers say that they are ready.
func (s *Set) AwaitReady(timeout time.Duration) (err error) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(readyPause) {
		ready := 0
		for _, r := range s.routers {
			resp, err := http.Get("http://" + r.Readiness + "/api/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.routers) {
			return nil
		}
	}
	return errNotReady
}

// Ended returns the names of the routers whose processes have ended.
func (s *Set) Ended() (names []string) {
	for _, r := range s.routers {
		select {
		case <-r.exited:
			names = append(names, r.Name)
		default:
		}
	}
	return names
}

// Stop ends all processes that the set has started.
func (s *Set) Stop() {
	for _, r := range s.routers {
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
		<-r.exited
	}
}
