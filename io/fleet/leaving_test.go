package fleet_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/header"
	"savoryfall/io/fleet"
	"savoryfall/io/standin/plainservice"
)

// call sends a request to one router and reads the whole response; extra holds pairs of header names and values.
func call(t *testing.T, address, method, path, body string, extra ...string) (resp *http.Response) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+fleet.APIKey("guardia"))
	for i := 0; i < len(extra); i += 2 {
		r.Header.Set(extra[i], extra[i+1])
	}
	resp, err = http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp
}

// A stopping router keeps serving for its lame duck period. Its responses lacked "Connection: close", so that clients
// with keep-alive connections were still sending requests when the server closed them. Every response must carry it,
// including those to requests that arrived before the stop.
func TestDrainingRouterClosesClientConnections(t *testing.T) {
	f := start(t, fleet.Options{Routers: 2, Engines: 1, Services: 1, ExtraSettings: map[string]string{
		"peers": fastPeers, "callers": "lameDuck = \"2s\"\n", "routing": "probePeriod = \"200ms\"\n",
	}})
	leaving := f.Routers()[0]
	address := leaving.CallerAddress()
	assert.Assert(t, !call(t, address, http.MethodGet, "/v1/models", "").Close, "before the stop")
	for _, s := range f.Services() {
		s.SetFaults(plainservice.Faults{DelayMs: 500})
	}
	earlierResponses := make(chan *http.Response)
	go func() {
		defer close(earlierResponses)
		earlierResponses <- call(t, address, http.MethodPost, "/permits/1", "before")
	}()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- f.StopRouter(t.Context(), leaving) }()
	waitFor(t, "the router is draining", func() bool { return status(t, leaving).Draining })
	created := time.Now().UTC().Format(time.RFC3339)
	for _, tc := range []struct {
		name, method, path, body string
		extra                    []string
		status                   int
	}{
		{"models", http.MethodGet, "/v1/models", "", nil, http.StatusOK},
		{"completion", http.MethodPost, completionsPath, `{"model":"sur-large","messages":[{"role":"user","content":"a #3"}]}`, nil, http.StatusOK},
		{"stream", http.MethodPost, completionsPath, `{"model":"sur-large","stream":true,"messages":[{"role":"user","content":"a #3"}]}`, nil, http.StatusOK},
		{"service", http.MethodPost, "/permits/1", "x", nil, http.StatusOK},
		{"claimed call", http.MethodPost, fleet.NonIdempotentPath, "x", []string{header.IdempotencyKey, "k", header.KeyCreated, created}, http.StatusOK},
		{"refusal", http.MethodPost, "/nowhere", "x", nil, http.StatusNotFound},
		{"readiness", http.MethodGet, "/readyz", "", nil, http.StatusServiceUnavailable},
		{"liveness", http.MethodGet, "/healthz", "", nil, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp := call(t, address, tc.method, tc.path, tc.body, tc.extra...)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Assert(t, resp.Close)
		})
	}
	earlier := <-earlierResponses
	assert.Assert(t, earlier != nil && earlier.Close, "a request from before the stop")
	assert.NilError(t, <-stopped)
}

// An operator's connection has sent an incomplete header when a router is stopped. The operators' server is shut down
// first: it waited for this connection until the stop timeout, which left no time to drain the clients' connections.
func TestOperatorConnectionDoesNotDelayStop(t *testing.T) {
	f := start(t, fleet.Options{Routers: 1, Engines: 1})
	leaving := f.Routers()[0]
	c, err := net.Dial("tcp", leaving.OperatorAddress())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /status HTTP/1.1\r\n")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	assert.NilError(t, f.StopRouter(t.Context(), leaving))
	took := time.Since(began)
	assert.Assert(t, took < 4*time.Second, "%v", took)
}
