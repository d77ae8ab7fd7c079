package probe_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryfall/core/activeconfig"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/core/report"
	"savoryfall/io/endpoint"
	"savoryfall/io/probe"
	"savoryfall/io/traffic"
)

// noDuty is a router that has no probe duties and whose peers receive nothing.
type noDuty struct{}

func (noDuty) Assigned(string, int) bool { return false }
func (noDuty) Finding(string, bool)      {}
func (noDuty) Mark(string, string)       {}

// blockingHandler is an endpoint that delays its responses until they are released; each uses a new connection.
type blockingHandler struct {
	arrived chan struct{}
	release chan struct{}
}

func (g *blockingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.arrived <- struct{}{}
	<-g.release
	w.Header().Set("Connection", "close")
	_, _ = w.Write([]byte(`{}`))
}

// longPeriod is longer than any test runs.
const longPeriod = time.Hour

// newProber starts a prober with a single endpoint, engine-01, at the server's address.
func newProber(t *testing.T, s *httptest.Server, period time.Duration) (p *probe.Prober, h *health.Table) {
	t.Helper()
	h = &health.Table{}
	p = probe.New(h, &ledger.Ledger{}, traffic.New(metrics.NewSet()), period, 0, log.NewNopLogger())
	p.SetPeers(noDuty{}, noDuty{})
	c, err := (&activeconfig.Configuration{}).Apply(0, activeconfig.NoteRecord(fmt.Sprintf(
		"id = \"first\"\n[[added.models]]\nname = \"m\"\n[[added.endpoints]]\nname = \"engine-01\"\naddress = %q\n"+
			"failureDomain = \"a\"\nmodels = [\"m\"]\n", s.Listener.Addr())))
	assert.NilError(t, err)
	assert.Equal(t, len(c.Endpoints()), 1)
	p.Configure(c)
	assert.NilError(t, p.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, p.Stop(t.Context())) })
	return p, h
}

func waitForState(t *testing.T, h *health.Table, want health.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := h.State("engine-01", time.Now()); got != want {
			return poll.Continue("it is %s, not %s", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

var connectionRefused = &endpoint.AttemptError{Outcome: outcome.NotRun, Cause: syscall.ECONNREFUSED}

// An engine is killed while a probe of it is in progress, and a peer reports that it is down. The probe then returns
// the response that the engine sent before. Since this router has no duty to probe the engine and sends it no
// requests, it would consider the dead engine up from then on unless it probes again.
func TestFindingDuringProbeRepeatsProbe(t *testing.T) {
	g := &blockingHandler{arrived: make(chan struct{}), release: make(chan struct{})}
	s := httptest.NewServer(g)
	defer s.Close()
	p, h := newProber(t, s, longPeriod)
	p.ProbeNow("engine-01")
	<-g.arrived
	p.ProbeNow("engine-01")
	assert.NilError(t, s.Listener.Close())
	g.release <- struct{}{}
	waitForState(t, h, health.Down)
}

// An engine that restarts under the same name refuses a request, and the response to an earlier request is read after
// that. The order of the two is unknown, so the router must probe the engine.
func TestResponseReadAfterFailureTriggersProbe(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }))
	defer s.Close()
	p, h := newProber(t, s, longPeriod)
	sentAt := time.Now()
	p.Failed("engine-01", connectionRefused)
	assert.Equal(t, h.State("engine-01", time.Now()), health.Down)
	p.RecordAnswer("engine-01", report.Report{}, sentAt, time.Now())
	waitForState(t, h, health.Up)
}

// The network between one router and an engine fails and recovers. The routers with the duty to probe the engine have
// not noticed, so no peer reports the recovery to this router: it must probe the engine itself.
func TestEndpointDownForOneRouterOnlyRecovers(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }))
	defer s.Close()
	p, h := newProber(t, s, 100*time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.LastAnsweredAt("engine-01").IsZero() {
			return poll.Continue("the endpoint has not answered")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	p.Failed("engine-01", connectionRefused)
	waitForState(t, h, health.Down)
	waitForState(t, h, health.Up)
}

// Guards against requests at an endpoint that refused one and asked for a pause.
func TestRefusalWithPauseKeepsRequestsAway(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	p, h := newProber(t, s, longPeriod)
	p.RecordAnswer("engine-01", report.Report{Incarnation: "one"}, time.Now(), time.Now())
	refusal := endpoint.AttemptError{Outcome: outcome.NotRun, Status: 503, Header: http.Header{"Retry-After": {"2.5"}}}
	p.Failed("engine-01", &refusal)
	for at, want := range map[time.Duration]health.State{0: health.Paused, 2 * time.Second: health.Paused, 4 * time.Second: health.Up} {
		assert.Equal(t, h.State("engine-01", time.Now().Add(at)), want, "%v", at)
	}
	refusal.Header.Set("Retry-After", "0.1")
	p.Failed("engine-01", &refusal)
	assert.Equal(t, h.State("engine-01", time.Now().Add(2*time.Second)), health.Paused, "a shorter pause ends no longer one")
	p.RecordAnswer("engine-01", report.Report{Incarnation: "two"}, time.Now(), time.Now())
	assert.Equal(t, h.State("engine-01", time.Now()), health.Up, "the pause is the earlier process's")
}

// Guards against an endpoint that counts as up by bytes that are no response.
func TestMalformedResponseIsNoAnswerToProbe(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = buffered.WriteString("HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}")
			_ = buffered.Flush()
			_ = c.Close()
		}
	}))
	defer s.Close()
	p, h := newProber(t, s, longPeriod)
	p.RecordAnswer("engine-01", report.Report{Incarnation: "one"}, time.Now(), time.Now())
	assert.Equal(t, h.State("engine-01", time.Now()), health.Up)
	p.ProbeNow("engine-01")
	waitForState(t, h, health.Down)
}
