package command_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/badclient"
	"savoryfall/platform/standin/testclient"
)

const (
	// crowdMemoryMB and crowdDescriptors are what a router under a crowd may use. Of the descriptors, a quarter is to be left for
	// connections of its own.
	crowdMemoryMB    = 96
	crowdDescriptors = 768
	// crowdClients is how many connections a crowd keeps open, silentClients how many a crowd that sends little does.
	crowdClients  = 450
	silentClients = 1000
	// crowdTime is how long a crowd stays at least.
	crowdTime = 5 * time.Second
	// unknownMemoryMB is what a router may use whose settings don't state the memory of its VM.
	unknownMemoryMB = 512
)

// crowdRouter is a router under a crowd.
type crowdRouter struct {
	t              *testing.T
	pid            int
	ended          atomic.Bool
	memoryMB       int
	descriptors    int
	peakMB         int
	mostDescriptor int
}

// watch returns when the crowd has left. It ends the crowd early once a bound is passed, to spare the machine.
func (r *crowdRouter) watch(left <-chan struct{}, end func()) {
	for {
		select {
		case <-left:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if r.ended.Load() {
			end()
			continue
		}
		r.peakMB = max(r.peakMB, residentMB(r.t, r.pid))
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
		if err == nil {
			r.mostDescriptor = max(r.mostDescriptor, len(open))
		}
		if r.peakMB > 2*r.memoryMB {
			end()
		}
	}
}

// playCrowd lets a crowd of n connections, each of which connects again when it is closed, play until crowdTime has passed and during,
// which is called while all are connected, has returned.
func (r *crowdRouter) playCrowd(m badclient.Client, n int, address string, during func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	defer cancel()
	var crowd sync.WaitGroup
	var connections atomic.Int64
	for range n {
		crowd.Go(func() {
			for ctx.Err() == nil {
				m.Play(ctx, address)
				connections.Add(1)
			}
		})
	}
	left := make(chan struct{})
	go func() {
		crowd.Wait()
		close(left)
	}()
	go func() {
		<-time.After(crowdTime)
		during()
		cancel()
	}()
	r.watch(left, cancel)
	r.t.Logf("%d connections, at most %d MB and %d descriptors", connections.Load(), r.peakMB, r.mostDescriptor)
}

// checkBounds checks that the process lives and has stayed within its memory and descriptors.
func (r *crowdRouter) checkBounds() {
	assert.Check(r.t, !r.ended.Load(), "the process has ended")
	assert.Check(r.t, r.peakMB <= r.memoryMB, "%d MB", r.peakMB)
	assert.Check(r.t, r.mostDescriptor <= r.descriptors*3/4, "%d descriptors", r.mostDescriptor)
}

// routerBinary returns the path of the program, built without the race detector, which takes several times as much memory.
func routerBinary(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "savoryfall")
	out, err := exec.Command("go", "build", "-o", file, "savoryfall").CombinedOutput()
	assert.NilError(t, err, string(out))
	return file
}

// startCrowdRouter starts a router that may have crowdDescriptors descriptors.
func startCrowdRouter(t *testing.T, command, settings string, memoryMB int) (r *crowdRouter, address string) {
	return startRouterWithin(t, command, settings, memoryMB, crowdDescriptors)
}

// startRouterWithin starts a router that may have as many descriptors.
func startRouterWithin(t *testing.T, command, settings string, memoryMB, descriptors int) (r *crowdRouter, address string) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	cmd := exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), routerBinary(t), command, "--settings", file)
	lines, _, address := startProcess(t, cmd)
	r = &crowdRouter{t: t, pid: cmd.Process.Pid, memoryMB: memoryMB, descriptors: descriptors}
	go func() {
		for lines.Scan() {
		}
		_ = cmd.Wait()
		r.ended.Store(true)
	}()
	return r, address
}

// crowdAddressCount numbers the addresses that loopbackAddress returns.
var crowdAddressCount atomic.Int64

// loopbackAddress returns a loopback address that no other test uses.
func loopbackAddress() string {
	return fmt.Sprintf("127.%d.254.%d:20102", 1+os.Getpid()%250, 1+crowdAddressCount.Add(1)%250)
}

// newCrowdFleet starts a router under a crowd and its endpoints, and returns the addresses that it listens on by name.
func newCrowdFleet(t *testing.T) (r *crowdRouter, addresses map[string]string) {
	addresses = map[string]string{}
	settings := strings.Replace(entrySettings, "[clients]", fmt.Sprintf("memoryMB = %d\n[clients]", crowdMemoryMB), 1)
	for _, name := range []string{"readiness", "metrics", "peers"} {
		addresses[name] = loopbackAddress()
		settings = strings.Replace(settings, "["+name+"]\naddress = \"127.0.0.1:0\"", fmt.Sprintf("[%s]\naddress = %q", name, addresses[name]), 1)
	}
	settings, _ = withEndpoints(t, endlessConfiguration, settings)
	r, addresses["clients"] = startCrowdRouter(t, "entry", settings, crowdMemoryMB)
	assert.Assert(t, askUntilServed(addresses["clients"]))
	return r, addresses
}

// askUntilServed sends an ordinary request, and again while it is refused as not run, for as long as an ordinary client would.
func askUntilServed(address string) (served bool) {
	const patience = 10 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
		a := testclient.Send(address, testclient.Request{Method: "GET", Host: "shop.example", Path: "/read/x", ID: "ordinary", Key: "good", Prompt: testclient.NoPrompt})
		if a.Status == 200 && a.Complete {
			return true
		}
	}
	return false
}

// Guards against a router that is ended for its memory, or left without descriptors, by clients that send heads beyond the limit,
// or that are late with them.
func TestCrowdAtClientAddress(t *testing.T) {
	for name, m := range badclient.Kinds("shop.example", "good") {
		t.Run(name, func(t *testing.T) {
			r, addresses := newCrowdFleet(t)
			r.playCrowd(m, crowdClients, addresses["clients"], func() {})
			r.checkBounds()
			assert.Assert(t, askUntilServed(addresses["clients"]))
		})
	}
}

// Guards against connections that carry nothing and leave a router without descriptors for others: its clients, its endpoints and
// the store.
func TestSilentCrowd(t *testing.T) {
	for name, begin := range map[string]string{"clients": "", "readiness": "", "metrics": "G", "peers": "\x03"} {
		t.Run(name, func(t *testing.T) {
			r, addresses := newCrowdFleet(t)
			served := false
			r.playCrowd(badclient.Client{Begin: begin}, silentClients, addresses[name], func() { served = askUntilServed(addresses["clients"]) })
			r.checkBounds()
			assert.Assert(t, served)
		})
	}
}

// Guards against a router that is ended for its memory through the addresses for the load balancer and for metrics.
func TestCrowdAtAuxiliaryAddresses(t *testing.T) {
	for _, name := range []string{"readiness", "metrics"} {
		t.Run(name, func(t *testing.T) {
			r, addresses := newCrowdFleet(t)
			r.playCrowd(badclient.Client{Begin: badclient.HeadBegin("shop.example", "good") + badclient.ShortLines(900<<10)}, crowdClients, addresses[name], func() {})
			r.checkBounds()
			assert.Assert(t, askUntilServed(addresses["clients"]))
			assert.Assert(t, answers("http://"+addresses[name]+"/metrics"))
		})
	}
}

// answers reports whether the server answers an ordinary request, with any status.
func answers(url string) bool {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil
}

// Guards against a router that is ended for its memory by messages without end at the address for other routers.
func TestCrowdAtPeerAddress(t *testing.T) {
	// A message of gob begins with its length: here four bytes that say half a gigabyte.
	const announced = "\xfc\x20\x00\x00\x00"
	const clients, most = 40, 32 << 20
	r, addresses := newCrowdFleet(t)
	m := badclient.Client{Begin: announced, Endless: strings.Repeat("\x00", 64<<10), Most: most}
	r.playCrowd(m, clients, addresses["peers"], func() {})
	r.checkBounds()
	assert.Assert(t, askUntilServed(addresses["clients"]))
}

// Guards against a router with the project's own interface that is ended for its memory through its addresses for callers and for
// operators.
func TestCrowdAtOwnInterface(t *testing.T) {
	for _, name := range []string{"callers", "operators"} {
		t.Run(name, func(t *testing.T) {
			operators := loopbackAddress()
			settings := strings.Replace(routerSettings, "[operators]\naddress = \"127.0.0.1:0\"", fmt.Sprintf("[operators]\naddress = %q", operators), 1)
			settings = strings.Replace(settings, "[callers]", "[callers]\nmaxHeaderBytes = 1048576", 1)
			r, callers := startCrowdRouter(t, "router", settings, unknownMemoryMB)
			address := map[string]string{"callers": callers, "operators": operators}[name]
			r.playCrowd(badclient.Client{Begin: badclient.HeadBegin("shop.example", "good") + badclient.ShortLines(900<<10)}, crowdClients, address, func() {})
			r.checkBounds()
			assert.Assert(t, answers("http://"+callers+"/readyz"))
			assert.Assert(t, answers("http://"+operators+"/metrics"))
		})
	}
}
