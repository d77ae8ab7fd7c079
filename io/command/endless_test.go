package command_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/fakestore"
	"savoryfall/platform/standin/testclient"
)

const (
	// endlessClients call one router, and memoryLimitMB is what its machine has.
	endlessClients = 36
	memoryLimitMB  = 284
	// endlessShare is the share of the answers of a faulty endpoint that do not end.
	endlessShare = 3
)

// newEndpoint starts an endpoint and writes its entry.
func newEndpoint(t *testing.T, store *fakestore.Service, id, service string, events int) (e *fakeendpoint.Endpoint) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	e = fakeendpoint.New(fakeendpoint.Options{
		ID: id, Service: service, Address: l.Addr().String(), FailureDomain: "a", Slots: 64, ResponseTime: 5 * time.Millisecond, Events: events, EventTime: 5 * time.Millisecond,
	})
	s := &http.Server{Handler: e}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	store.Put("keyed.servers", id, e.Entry())
	return e
}

const endlessConfiguration = `{"version":1,"routes":[
	{"name":"read","host":"shop.example","path_prefix":"/read/","type":"idempotent","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3},
	{"name":"book","host":"shop.example","path_prefix":"/book/","type":"non_idempotent","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3},
	{"name":"draft","host":"shop.example","path_prefix":"/draft/","type":"streaming","timeout_ms":3000,"goal_ms":100,"service":"models","max_attempts":3}],
	"services":[{"name":"plain","max_conns":400},{"name":"models","max_conns":400,"engine":{"slots":64,"kv_capacity":100000}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"coop","api_keys":["good"]}]}`

// residentMB returns the resident memory of a process that belongs to no file.
func residentMB(t *testing.T, pid int) (mb int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if rest, is := strings.CutPrefix(line, "RssAnon:"); is {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			assert.NilError(t, err)
			return kb >> 10
		}
	}
	return 0
}

// Guards against a router that is ended for its memory, and the requests with it, by answers that do not end, and against refusals that
// say that a request has not run because its answer did not end. ENDLESS_SECONDS is how long each kind is played.
func TestAnswersWithoutEnd(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("ENDLESS_SECONDS"))
	if err != nil {
		seconds = 1
	}
	for name, a := range fakeendpoint.EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			playEndless(t, a, time.Duration(seconds)*time.Second)
		})
	}
}

func playEndless(t *testing.T, a fakeendpoint.EndlessAnswer, d time.Duration) {
	var store fakestore.Service
	storeServer := httptest.NewServer(&store)
	t.Cleanup(storeServer.Close)
	store.Put("keyed.op", "config", []byte(endlessConfiguration))
	var faulty, endpoints []*fakeendpoint.Endpoint
	for i := range 4 {
		plain, engine := newEndpoint(t, &store, fmt.Sprint("p", i), "plain", 0), newEndpoint(t, &store, fmt.Sprint("m", i), "models", 3)
		endpoints = append(endpoints, plain, engine)
		if i < 2 {
			faulty = append(faulty, plain, engine)
		}
	}
	settings := strings.Replace(entrySettings, "127.0.0.1:1", strings.TrimPrefix(storeServer.URL, "http://"), 1)
	settings = strings.Replace(settings, "[clients]", fmt.Sprintf("memoryMB = %d\n[clients]", memoryLimitMB), 1)
	cmd, lines, _, address := startRouter(t, "entry", settings)
	go func() {
		for lines.Scan() {
		}
	}()
	send := func(method, path, id string) testclient.Response {
		return testclient.Send(address, testclient.Request{Method: method, Host: "shop.example", Path: path, ID: id, Key: "good", Prompt: testclient.NoPrompt})
	}
	for send("GET", "/read/x", "first").Status != 200 {
		<-time.After(10 * time.Millisecond)
	}
	for _, e := range faulty {
		e.AnswerWithoutEnd(a, endlessShare)
	}
	until := time.Now().Add(d)
	var clients sync.WaitGroup
	var asked, served, unanswered, untrue atomic.Int64
	for n := range endlessClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("c%dr%d", n, i)
				method, path := "GET", "/read/x"
				if n%3 > 0 {
					method, path = "POST", []string{"", "/book/x", "/draft/x"}[n%3]
				}
				r := send(method, path, id)
				asked.Add(1)
				ran := slices.ContainsFunc(endpoints, func(e *fakeendpoint.Endpoint) bool { return e.ExecutionsOf(id) > 0 })
				switch {
				case r.Status == 200 && r.Complete:
					served.Add(1)
				case r.Status == 0:
					unanswered.Add(1)
				case n%3 == 1 && ran && slices.Contains([]int{408, 421, 429, 503}, r.Status):
					untrue.Add(1)
				}
				<-time.After(10 * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	peak := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(2 * time.Millisecond):
		}
		peak = max(peak, residentMB(t, cmd.Process.Pid))
	}
	t.Logf("%d requests, %d served, %d without an answer, %d refused untruly; %d MB", asked.Load(), served.Load(), unanswered.Load(), untrue.Load(), peak)
	assert.Assert(t, peak <= memoryLimitMB*memoryFactor)
	assert.Equal(t, unanswered.Load(), int64(0))
	assert.Equal(t, untrue.Load(), int64(0))
}
