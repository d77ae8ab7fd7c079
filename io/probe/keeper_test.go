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

	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/core/report"
	"savoryfall/io/endpoint"
	"savoryfall/io/meter"
	"savoryfall/io/probe"
)

// noDuty is a router that has no duty to probe, and whose peers hear nothing.
type noDuty struct{}

func (noDuty) Mine(string, int) bool { return false }
func (noDuty) Finding(string, bool)  {}
func (noDuty) Mark(string, string)   {}

// gate is an endpoint whose answers wait until they are let out; each comes on a connection of its own.
type gate struct {
	arrived chan struct{}
	out     chan struct{}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.arrived <- struct{}{}
	<-g.out
	w.Header().Set("Connection", "close")
	_, _ = w.Write([]byte(`{}`))
}

// endless is a period after which no test waits for anything.
const endless = time.Hour

// keeper is one that knows one endpoint, called engine-01, at the server.
func keeper(t *testing.T, s *httptest.Server, period time.Duration) (k *probe.Keeper, h *health.Table) {
	t.Helper()
	h = &health.Table{}
	k = probe.New(h, &ledger.Ledger{}, meter.New(metrics.NewSet()), period, 0, log.NewNopLogger())
	k.Use(noDuty{}, noDuty{})
	c, err := (&inforce.Configuration{}).Apply(0, inforce.NoteRecord(fmt.Sprintf(
		"id = \"first\"\n[[added.models]]\nname = \"m\"\n[[added.endpoints]]\nname = \"engine-01\"\naddress = %q\n"+
			"failureDomain = \"a\"\nmodels = [\"m\"]\n", s.Listener.Addr())))
	assert.NilError(t, err)
	assert.Equal(t, len(c.Endpoints()), 1)
	k.Configure(c)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(t.Context())) })
	return k, h
}

func eventually(t *testing.T, h *health.Table, want health.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := h.State("engine-01", time.Now()); got != want {
			return poll.Continue("it is %s, not %s", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

var refused = &endpoint.AttemptError{Outcome: outcome.NotRun, Cause: syscall.ECONNREFUSED}

// An engine is killed while a probe of it is on its way, and peers tell that it is down. The probe brings what it answered
// before; the router has no duty to probe it and sends nothing there, so unless it looks once more it takes the dead one for
// living for good.
func TestFindingDuringAProbeIsLookedInto(t *testing.T) {
	g := &gate{arrived: make(chan struct{}), out: make(chan struct{})}
	s := httptest.NewServer(g)
	defer s.Close()
	k, h := keeper(t, s, endless)
	k.Look("engine-01")
	<-g.arrived
	k.Look("engine-01")
	assert.NilError(t, s.Listener.Close())
	g.out <- struct{}{}
	eventually(t, h, health.Down)
}

// A request is refused by an engine that restarts under its name, and the answer to one that it had before is read later.
// Neither tells which is newer; the router asks.
func TestAnswerThatCrossesAFailureIsLookedInto(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }))
	defer s.Close()
	k, h := keeper(t, s, endless)
	asked := time.Now()
	k.Failed("engine-01", refused)
	assert.Equal(t, h.State("engine-01", time.Now()), health.Down)
	k.Heard("engine-01", report.Report{}, asked, time.Now())
	eventually(t, h, health.Up)
}

// The way from one router to an engine is cut and comes back. The routers that have the duty to probe it saw nothing, so
// nobody tells this one that it is back.
func TestEndpointThatOnlyThisRouterMissedComesBack(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }))
	defer s.Close()
	k, h := keeper(t, s, 100*time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.HeardAt("engine-01").IsZero() {
			return poll.Continue("it has not been heard")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	k.Failed("engine-01", refused)
	eventually(t, h, health.Down)
	eventually(t, h, health.Up)
}
