package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryfall/core/claim"
	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/core/spills"
	"savoryfall/io/meter"
)

// nothingNew is a follower that never learns anything.
type nothingNew struct{ c inforce.Configuration }

func (n *nothingNew) Current() *inforce.Configuration     { return &n.c }
func (n *nothingNew) Ready() bool                         { return true }
func (n *nothingNew) Records(int64, int) [][]byte         { return nil }
func (n *nothingNew) Offer(int64, []byte)                 {}
func (n *nothingNew) Listen(func(*inforce.Configuration)) {}

// heldClaims tells when a claim or an outcome has come, and keeps it until it is let go, as a slow log does.
type heldClaims struct {
	came chan string
	held chan struct{}
}

func (h *heldClaims) ClaimHere(_ context.Context, c claim.Request) (g claim.Grant, err error) {
	h.came <- c.Key
	<-h.held
	return claim.Grant{Claim: c}, nil
}

func (h *heldClaims) SettleHere(_ context.Context, g claim.Grant, _ claim.Result) {
	h.came <- g.Claim.Key
	<-h.held
}

// hold makes claims that are let go at the end of the test at the latest.
func hold(t *testing.T) (h *heldClaims, letGo func()) {
	h = &heldClaims{came: make(chan string, 8), held: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	context.AfterFunc(ctx, func() { close(h.held) })
	return h, cancel
}

// agent runs a router's part that speaks with peers; it exchanges nothing by itself.
func agent(t *testing.T, name string, claims Claims, cfg *tls.Config) *Agent {
	t.Helper()
	members := membership.New(membership.Rumour{Name: name, Incarnation: 1}, time.Minute)
	a, err := New("127.0.0.1:0", Parts{
		Members: members, Ledger: &ledger.Ledger{}, Health: &health.Table{}, Configuration: &nothingNew{}, Claims: claims,
		Spills: &spills.Table{}, Meter: meter.New(metrics.NewSet()), Logger: log.NewNopLogger(), TLS: cfg,
		Period: time.Hour, Budget: 1 << 30,
	})
	assert.NilError(t, err)
	members.ListensOn(a.Address())
	assert.NilError(t, a.Start(t.Context()))
	t.Cleanup(a.Kill)
	return a
}

// know puts members at their addresses on a router's list.
func know(a *Agent, addresses map[string]string) {
	var all []membership.Rumour
	for name, address := range addresses {
		all = append(all, membership.Rumour{Name: name, Address: address, Incarnation: 1})
	}
	a.Members.Listed(all, time.Now())
}

// silent is the address of a member whose process stands still: the kernel takes connections, and nothing answers.
func silent(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// The process of a peer stands still, and the connection to it is to be encrypted. The kernel takes the connection, the
// handshake is never answered, and the exchange waited for it without end: this router then told nobody anything more,
// and was taken for dead itself. An exchange must end by its own time.
func TestSilentHandshakeEndsWithTheCall(t *testing.T) {
	a := agent(t, "first", nil, &tls.Config{MinVersion: tls.VersionTLS12})
	know(a, map[string]string{"second": silent(t)})
	done := make(chan struct{})
	go func() {
		a.exchangeAll(context.Background(), a.peers())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(4 * callTimeout):
		t.Fatal("the exchange still waits")
	}
}

// second is the second router as the first knows it.
func second(t *testing.T, a *Agent) (p membership.Peer) {
	t.Helper()
	p, err := a.member("second")
	assert.NilError(t, err)
	return p
}

// claimAt asks the second router for a claim, and returns when it is being made there.
func claimAt(t *testing.T, ctx context.Context, a *Agent, h *heldClaims, key string) (claimed chan error) {
	t.Helper()
	claimed = make(chan error, 1)
	go func() {
		_, err := a.Claim(ctx, "second", claim.Request{Key: key})
		claimed <- err
	}()
	assert.Equal(t, <-h.came, key)
	return claimed
}

// connections is how many another router has to this one.
func connections(a *Agent) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accepted)
}

// A caller's call is being claimed at another router, on a slow log. Some other call on the same connection runs out of
// its time, as heartbeats do beside it. It ended the connection: the claim was made, its caller got nothing of it. The
// claim must be granted, the next call must not use the connection that was found silent, and that one must end.
func TestTimeoutSparesTheOtherCalls(t *testing.T) {
	h, letGo := hold(t)
	first, other := agent(t, "first", nil, nil), agent(t, "second", h, nil)
	know(first, map[string]string{"second": other.Address()})
	claimed := claimAt(t, t.Context(), first, h, "k")
	var none ClaimAnswer
	err := first.callWithin(t.Context(), 10*time.Millisecond, second(t, first), "Claim", claim.Request{Key: "late"}, &none)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	var answer Answer
	assert.NilError(t, first.call(t.Context(), second(t, first), "Try", Probe{}, &answer))
	assert.Equal(t, connections(other), 2)
	letGo()
	assert.NilError(t, <-claimed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := connections(other); n != 1 {
			return poll.Continue("%d connections", n)
		}
		return poll.Success()
	})
}

// Two callers' calls are being claimed at another router; one of the callers hangs up. It ended the connection with the
// other's claim on it. The other must be served, and on the same connection: that a caller leaves says nothing of the peer.
func TestCallerThatLeavesSparesTheOtherCalls(t *testing.T) {
	h, letGo := hold(t)
	first, other := agent(t, "first", nil, nil), agent(t, "second", h, nil)
	know(first, map[string]string{"second": other.Address()})
	stays := claimAt(t, t.Context(), first, h, "stays")
	ctx, hangUp := context.WithCancel(t.Context())
	leaves := claimAt(t, ctx, first, h, "leaves")
	hangUp()
	assert.ErrorIs(t, <-leaves, context.Canceled)
	var answer Answer
	assert.NilError(t, first.call(t.Context(), second(t, first), "Try", Probe{}, &answer))
	assert.Equal(t, connections(other), 1)
	letGo()
	assert.NilError(t, <-stays)
}

// deaf is an address whose first connection is taken and never answered; the later ones go to the target.
func deaf(t *testing.T, target string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		_, _ = l.Accept()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(to, c) }()
			go func() { _, _ = io.Copy(c, to) }()
		}
	}()
	return l.Addr().String()
}

// The connection to a peer falls silent while a claim waits on it for its three seconds. The next exchange finds out after
// its half second, and the one after that must get through: it must not wait until the claim has given up.
func TestSilentConnectionIsGivenUpSoon(t *testing.T) {
	first, other := agent(t, "first", nil, nil), agent(t, "second", nil, nil)
	know(first, map[string]string{"second": deaf(t, other.Address())})
	ctx, hangUp := context.WithCancel(t.Context())
	waited := make(chan error, 1)
	go func() {
		_, err := first.Claim(ctx, "second", claim.Request{Key: "k"})
		waited <- err
	}()
	var reply Message
	p := second(t, first)
	assert.ErrorIs(t, first.call(t.Context(), p, "Meet", first.message("second"), &reply), context.DeadlineExceeded)
	assert.NilError(t, first.call(t.Context(), p, "Meet", first.message("second"), &reply))
	hangUp()
	assert.ErrorIs(t, <-waited, context.Canceled)
}

// The process of a third router stands still. The first can't reach it and asks the second, which is sound, to try. The
// second waited for the third as long as the first for the second, so that the first always gave up first, took the second
// for silent as well, and never learned what the second had found. The second must answer in time that it heard nothing.
func TestAskedRouterAnswersBeforeItsAskerGivesUp(t *testing.T) {
	first, other := agent(t, "first", nil, nil), agent(t, "second", nil, nil)
	third := silent(t)
	know(first, map[string]string{"second": other.Address(), "third": third})
	know(other, map[string]string{"first": first.Address(), "third": third})
	var answer Answer
	const withTheWayThere = callTimeout * 9 / 10
	assert.NilError(t, first.callWithin(t.Context(), withTheWayThere, second(t, first), "Try", Probe{Target: "third"}, &answer))
	assert.Assert(t, !answer.Heard)
}

// A router stops as planned while it makes a claim, and notes an outcome, for another one. It cut both: the claim was made
// and its grant lost, the outcome was written twice. Both must be answered before the connection ends.
func TestPlannedStopAnswersWhatPeersAsked(t *testing.T) {
	h, letGo := hold(t)
	first, other := agent(t, "first", nil, nil), agent(t, "second", h, nil)
	know(first, map[string]string{"second": other.Address()})
	know(other, map[string]string{"first": first.Address()})
	claimed := claimAt(t, t.Context(), first, h, "k")
	settled := make(chan error, 1)
	go func() {
		settled <- first.Settle(t.Context(), "second", claim.Grant{Claim: claim.Request{Key: "s"}}, claim.Result{})
	}()
	assert.Equal(t, <-h.came, "s")
	stopped := make(chan error, 1)
	go func() { stopped <- other.Stop(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state := second(t, first).State; state != membership.Leaving.String() {
			return poll.Continue("the second is %s", state)
		}
		return poll.Success()
	})
	time.Sleep(2 * lastRead)
	letGo()
	assert.NilError(t, <-claimed)
	assert.NilError(t, <-settled)
	assert.NilError(t, <-stopped)
}

// A router stops as planned while a claim that it makes for another one hangs. The stop's time is up: the connection ends
// all the same, and the other router claims elsewhere.
func TestPlannedStopHasItsBound(t *testing.T) {
	h, letGo := hold(t)
	first, other := agent(t, "first", nil, nil), agent(t, "second", h, nil)
	know(first, map[string]string{"second": other.Address()})
	claimed := claimAt(t, t.Context(), first, h, "k")
	ctx, cancel := context.WithTimeout(t.Context(), 2*lastRead)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- other.Stop(ctx) }()
	assert.ErrorContains(t, <-claimed, "EOF")
	letGo()
	assert.NilError(t, <-stopped)
}
