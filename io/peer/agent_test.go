package peer

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

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
