package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// router is one process of the deploy file's role.
type router struct {
	name, clients, readiness string
	// store is the address at which the router calls the store, peers where it listens for other routers.
	store, peers string
	settings     string
	binary       string
	log          *os.File
	process      *exec.Cmd
	exited       chan struct{}
	// link stands before peers, nil if nothing does.
	link *link
}

// The ports of routers are taken from below those that systems give to outgoing channels.
const (
	firstPort = 12000
	ports     = 18000
)

var taken = map[int]bool{}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (address string, err error) {
	for range 100 {
		port := firstPort + rand.IntN(ports)
		if taken[port] {
			continue
		}
		taken[port] = true
		address = fmt.Sprintf("127.0.0.1:%d", port)
		var l net.Listener
		l, err = net.Listen("tcp4", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// newRouter writes the settings of a router as deploy/settings.toml lays them out, with the figures of a small site.
// If others is not nil, a link stands between it and the other routers.
func newRouter(dir, binary, name string, st *store, others func() []*router) (r *router, err error) {
	r = &router{name: name, binary: binary, settings: filepath.Join(dir, name+".conf")}
	var metrics string
	for _, address := range []*string{&r.clients, &r.readiness, &metrics, &r.peers} {
		*address, err = freeAddress()
		if err != nil {
			return nil, err
		}
	}
	r.store, err = st.serve()
	if err != nil {
		return nil, err
	}
	announced := r.peers
	if others != nil {
		r.link, err = newLink(r.peers, r, others)
		if err != nil {
			return nil, err
		}
		announced = r.link.address()
	}
	text := fmt.Sprintf(`[vm]
name = %q
failureDomain = "zone-a"
region = "region"
bootstrap = true
cores = 0.4
memoryMB = 284
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
announced = %q
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
[cold]
`, name, r.clients, r.readiness, metrics, r.peers, announced, r.store)
	err = os.WriteFile(r.settings, []byte(text), 0o600)
	if err != nil {
		return nil, err
	}
	r.log, err = os.Create(filepath.Join(dir, name+".log"))
	return r, err
}

// start starts the process with the command of the deploy file.
func (r *router) start() (err error) {
	r.process = exec.Command(r.binary, "entry", "--settings", r.settings)
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYFALL_NODE_FILE=" + r.settings}
	r.process.Stdout, r.process.Stderr = r.log, r.log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = r.process.Start()
	if err != nil {
		return err
	}
	r.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(r.process, r.exited)
	return nil
}

// kill ends the process at once and waits for its end.
func (r *router) kill() {
	if r.process == nil || r.exited == nil {
		return
	}
	_ = r.process.Process.Kill()
	<-r.exited
}

// ready reports whether the router answers the readiness check with 200.
func (r *router) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func awaitReady(routers []*router, atMost time.Duration) (ok bool) {
	until := time.Now().Add(atMost)
	for _, r := range routers {
		for !r.ready() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
