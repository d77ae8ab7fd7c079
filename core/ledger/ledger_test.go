package ledger_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/endpoint"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/placement"
	"savoryfall/core/tomldoc"
)

func endpoints(n int) (list []endpoint.Endpoint) {
	for i := range n {
		list = append(list, endpoint.Read(tomldoc.FromValues("test", map[string]any{
			"name": fmt.Sprintf("e%04d", i), "address": "127.0.0.1:1", "failureDomain": "d", "models": []any{"m"},
		}).Root()))
	}
	return list
}

func newLedger(n int) *ledger.Ledger {
	l := &ledger.Ledger{}
	l.Configure(endpoints(n))
	return l
}

func requests(l *ledger.Ledger, name string) float64 {
	for _, s := range l.States() {
		if s.Endpoint == name {
			return s.Requests
		}
	}
	return -1
}

// A report that shows an idle engine was made before this router sent it requests: these must be added. Otherwise every
// router would see the same idle engine until its next report, and all would send there.
func TestLateReportIncludesRequestsSentSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(2)
		at := time.Now()
		time.Sleep(100 * time.Millisecond)
		for range 5 {
			l.StartRequest("e0000", 10)
		}
		l.Report("e0000", 3, at)
		assert.Equal(t, requests(l, "e0000"), 8.0)
		time.Sleep(time.Second)
		l.ExpirePeers(time.Now())
		assert.Equal(t, requests(l, "e0000"), 5.0, "an old report counts no longer")
	})
}

// Peers' digests are added up in either format and expire when the peer is silent; a digest with another fingerprint is
// dropped.
func TestPeerDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, busy := range []int{2, 50} {
			a, b := newLedger(50), newLedger(50)
			for i := range busy {
				a.StartRequest(fmt.Sprintf("e%04d", i), 160)
			}
			fingerprint, data := a.Digest()
			assert.Assert(t, b.SetPeerLoad("a", fingerprint, data, time.Now()))
			assert.Assert(t, b.SetPeerLoad("c", fingerprint, data, time.Now()))
			assert.Assert(t, !b.SetPeerLoad("d", fingerprint+1, data, time.Now()))
			assert.Equal(t, requests(b, "e0001"), 2.0)
			b.RemovePeer("c")
			assert.Equal(t, requests(b, "e0001"), 1.0)
			time.Sleep(5 * time.Second)
			b.ExpirePeers(time.Now())
			assert.Equal(t, requests(b, "e0001"), 0.0)
		}
	})
}

// When more than half of a pool is down at once, as in a partition, the down endpoints are used again rather than
// overloading the rest. Leaving endpoints never are.
func TestPanicThreshold(t *testing.T) {
	l := newLedger(4)
	l.SetState("e0000", health.Leaving)
	l.SetState("e0001", health.Down)
	assert.Equal(t, usable(l), "e0002 e0003 ")
	l.SetState("e0002", health.Down)
	assert.Equal(t, usable(l), "e0001 e0002 e0003 ")
	l.SetState("e0001", health.Up)
	assert.Equal(t, usable(l), "e0001 e0003 ")
}

// Guards against requests at endpoints that asked for a pause because hardly any other is up.
func TestPausedEndpointsAreNotUsedInPanic(t *testing.T) {
	l := newLedger(4)
	l.SetState("e0000", health.Paused)
	l.SetState("e0001", health.Paused)
	l.SetState("e0002", health.Down)
	assert.Equal(t, usable(l), "e0003 ")
	l.SetState("e0003", health.Down)
	assert.Equal(t, usable(l), "e0002 e0003 ")
}

func usable(l *ledger.Ledger) (names string) {
	for _, s := range l.States() {
		if s.Usable {
			names += s.Endpoint + " "
		}
	}
	return names
}

// FuzzPeer parses untrusted digests: none may cause a panic, and a rejected one must not change any load.
func FuzzPeer(f *testing.F) {
	l := newLedger(3)
	l.StartRequest("e0001", 100)
	fingerprint, data := l.Digest()
	f.Add(data)
	f.Add([]byte{1, 2, 1, 1})
	f.Add([]byte{0, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		receiver := newLedger(3)
		if !receiver.SetPeerLoad("x", fingerprint, data, time.Now()) {
			assert.Equal(t, requests(receiver, "e0001"), 0.0)
		}
	})
}

// BenchmarkChoose measures one routing decision; its allocations must not grow with the number of endpoints.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLedger(n)
			for i := range 30 * n {
				l.StartRequest(fmt.Sprintf("e%04d", i%n), 100)
			}
			p := placement.NewBounded(1.2, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Choose(p, ledger.Query{Pool: ledger.PoolOfModel("m"), Key: uint64(i) << 32, Tokens: 100, Returning: i%3 > 0})
			}
		})
	}
}

// A configuration change that leaves the endpoints as they are must not drop the peers' load. With 13,000 configuration
// changes a day, dropping it each time would leave placement without peer load for up to a period.
func TestUnchangedEndpointsKeepPeerLoad(t *testing.T) {
	a, b := newLedger(5), newLedger(5)
	a.StartRequest("e0001", 160)
	fingerprint, data := a.Digest()
	assert.Assert(t, b.SetPeerLoad("a", fingerprint, data, time.Now()))
	b.Configure(endpoints(5))
	assert.Equal(t, requests(b, "e0001"), 1.0)
	b.Configure(endpoints(4))
	assert.Equal(t, requests(b, "e0001"), 0.0, "the indexes mean other endpoints now")
}

// A client sends the ticket of a chat with another model. That chat's engine does not serve this model and must not be
// chosen.
func TestWarmEndpointOfAnotherPoolIsIgnored(t *testing.T) {
	l := &ledger.Ledger{}
	list := endpoints(3)
	other := endpoint.Read(tomldoc.FromValues("test", map[string]any{
		"name": "z", "address": "127.0.0.1:2", "failureDomain": "d", "models": []any{"other"},
	}).Root())
	l.Configure(append(list, other))
	c := l.Choose(placement.NewBounded(1.3, 1), ledger.Query{Pool: ledger.PoolOfModel("m"), Key: 7, WarmEndpoint: "z", Returning: true, CacheValue: 1})
	assert.Assert(t, c.Endpoint != "z")
	assert.Assert(t, c.Endpoint != "")
}
