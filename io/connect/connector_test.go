package connect

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/members"
	"savoryfall/core/reach"
	"savoryfall/io/tunnel"
)

// network is an in-memory network between routers and the endpoints of one service.
type network struct {
	t      *testing.T
	mu     sync.Mutex
	cut    map[string]cutKind
	dials  map[string]int
	nodes  map[string]*node
	closed []func()
	// lost endpoints refuse all connections.
	lost map[string]bool
}

// betweenRouters is the key under which the connections between routers are counted.
const betweenRouters = "routers"

type cutKind int

const (
	connected cutKind = iota
	refusing
	silent
)

// node is a router.
type node struct {
	name string
	*Connector
	server *tunnel.Server
	// stale is set for a router of a release without tunnels, frozen for one that accepts connections and does not reply.
	stale, frozen bool
}

var errRefused = errors.New("connection refused")

// runNetwork runs the test with routers r0 to r(routers-1) and endpoints e0 to e(endpoints-1).
func runNetwork(t *testing.T, routers, endpoints int, test func(n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &network{t: t, cut: map[string]cutKind{}, dials: map[string]int{}, nodes: map[string]*node{}, lost: map[string]bool{}}
		for i := range routers {
			n.addRouter(fmt.Sprint("r", i), endpoints)
		}
		defer n.end()
		test(n)
	})
}

// end ends all goroutines of the bubble.
func (n *network) end() {
	for _, router := range n.nodes {
		_ = router.Stop(context.Background())
	}
	n.mu.Lock()
	closed := n.closed
	n.mu.Unlock()
	for _, c := range closed {
		c()
	}
	time.Sleep(time.Minute)
}

func (n *network) addRouter(name string, endpoints int) {
	tracker := &reach.Tracker{}
	var entries []directory.Entry
	for i := range endpoints {
		entries = append(entries, directory.Entry{ID: endpoint(i), Service: "s", Address: endpoint(i), FailureDomain: "a"})
	}
	tracker.Update(entries, time.Now())
	set := metrics.NewSet()
	router := &node{name: name}
	router.Connector = &Connector{
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return n.dialEndpoint(ctx, name, address) }, Tracker: tracker,
		Metrics: NewMetrics(set, tracker), Logger: log.NewNopLogger(), LastBytes: func(string) time.Time { return time.Time{} },
		OnUnreachable: func([]string) {},
		Relays: &Relays{FailureDomain: "a", Routers: func() []members.Member { return n.others(name) }, Dial: func(_ context.Context, address string) (net.Conn, error) {
			return n.dialRouter(address)
		}},
	}
	router.server = &tunnel.Server{Connect: router.ConnectFor, FromRouter: func(string) bool { return true }, OnRefused: func(tunnel.Refusal) {}}
	n.nodes[name] = router
}

func endpoint(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func (n *network) others(self string) (list []members.Member) {
	for name := range n.nodes {
		if name != self {
			list = append(list, members.Member{Name: name, Address: name, FailureDomain: "a"})
		}
	}
	return list
}

// dialEndpoint connects a router to an endpoint in 3 ms.
func (n *network) dialEndpoint(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	kind, lost := n.cut[from], n.lost[address]
	n.dials[from]++
	n.mu.Unlock()
	if kind == silent {
		timer := time.NewTimer(400 * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, context.DeadlineExceeded
	}
	time.Sleep(3 * time.Millisecond)
	if kind == refusing || lost {
		return nil, errRefused
	}
	return n.pipe(), nil
}

func (n *network) pipe() net.Conn {
	near, far := net.Pipe()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = append(n.closed, func() { _ = near.Close(); _ = far.Close() })
	return near
}

func (n *network) dialRouter(name string) (net.Conn, error) {
	router := n.nodes[name]
	near, far := net.Pipe()
	n.mu.Lock()
	n.dials[betweenRouters]++
	n.closed = append(n.closed, func() { _ = near.Close(); _ = far.Close() })
	n.mu.Unlock()
	switch {
	case router.frozen:
	case router.stale:
		go func() {
			_, _ = far.Read(make([]byte, 200))
			_ = far.Close()
		}()
	default:
		l := &oneConnListener{conn: tcpAddrConn{far}, done: make(chan struct{})}
		split := router.server.Split(l)
		n.mu.Lock()
		n.closed = append(n.closed, func() { _ = split.Close() })
		n.mu.Unlock()
	}
	return near, nil
}

// tcpAddrConn is a connection in memory that has an address as on a network.
type tcpAddrConn struct{ net.Conn }

func (tcpAddrConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 1, 0, 1), Port: 1} }

// oneConnListener accepts one connection.
type oneConnListener struct {
	conn net.Conn
	once sync.Once
	end  sync.Once
	done chan struct{}
}

func (l *oneConnListener) Accept() (c net.Conn, err error) {
	l.once.Do(func() { c = l.conn })
	if c != nil {
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *oneConnListener) Close() error {
	l.end.Do(func() { close(l.done) })
	return nil
}

func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) set(kind cutKind, routers ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range routers {
		n.cut[name] = kind
	}
}

func (n *network) dialCount(router string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[router]
}

// connect connects the router to the endpoint, and returns how long that took.
func (n *network) connect(router string, i int) (relayed bool, took time.Duration, err error) {
	began := time.Now()
	c, err := n.nodes[router].Connect(context.Background(), endpoint(i))
	took = time.Since(began)
	if err != nil {
		return false, took, err
	}
	_, relayed = c.(interface{ SingleUse() })
	_ = c.Close()
	return relayed, took, nil
}

// Guards against connections through other routers, added probes and delays on a network without faults.
func TestReachableEndpointsAreConnectedDirectly(t *testing.T) {
	runNetwork(t, 3, 9, func(n *network) {
		for i := range 9 {
			relayed, took, err := n.connect("r0", i)
			assert.NilError(t, err)
			assert.Assert(t, !relayed && took == 3*time.Millisecond)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, n.dialCount("r0")+n.dialCount("r1")+n.dialCount("r2"), 9)
	})
}

// Guards against a first request that fails, or is held, at an idle router that is cut off, and against a router that
// finds out at each request again.
func TestCutOffRouterConnectsThroughOthers(t *testing.T) {
	for _, kind := range []cutKind{refusing, silent} {
		runNetwork(t, 3, 9, func(n *network) {
			n.set(kind, "r0")
			slow := 0
			for i := range 9 {
				relayed, took, err := n.connect("r0", i)
				if kind == refusing && i < 2 {
					// Another endpoint is tried: one or two of them fail more often by themselves.
					assert.Assert(t, errors.Is(err, errRefused))
					continue
				}
				assert.NilError(t, err)
				assert.Assert(t, relayed && took <= hedgeDelay+10*time.Millisecond, "after %v", took)
				if took > 10*time.Millisecond {
					slow++
				}
			}
			for i := range 9 {
				relayed, took, err := n.connect("r0", i)
				assert.NilError(t, err)
				assert.Assert(t, relayed && took < 10*time.Millisecond, "after %v", took)
			}
			assert.Assert(t, slow <= 9)
		})
	}
}

// Guards against a router that goes on through others after the partition has ended.
func TestRouterConnectsDirectlyAgainAfterPartition(t *testing.T) {
	for _, kind := range []cutKind{refusing, silent} {
		runNetwork(t, 3, 9, func(n *network) {
			n.set(kind, "r0")
			for i := range 9 {
				_, _, _ = n.connect("r0", i)
			}
			time.Sleep(10 * time.Second)
			n.set(connected, "r0")
			time.Sleep(time.Second)
			before := n.dialCount("r0")
			for i := range 9 {
				relayed, _, err := n.connect("r0", i)
				assert.NilError(t, err)
				assert.Assert(t, !relayed)
			}
			time.Sleep(time.Minute)
			assert.Equal(t, n.dialCount("r0"), before+9, "probes after the end")
		})
	}
}

// Guards against requests that are held, or handed from one router to the next, while no router reaches an endpoint.
func TestAllRoutersCutOffRefuseAtOnce(t *testing.T) {
	for _, kind := range []cutKind{refusing, silent} {
		runNetwork(t, 3, 4, func(n *network) {
			n.set(kind, "r0", "r1", "r2")
			for i := range 8 {
				for _, r := range []string{"r0", "r1", "r2"} {
					_, _, err := n.connect(r, i%4)
					assert.Assert(t, err != nil)
				}
			}
			for i := range 100 {
				_, took, err := n.connect("r0", i%4)
				assert.Assert(t, err != nil)
				assert.Assert(t, took <= 20*time.Millisecond, "refused after %v", took)
			}
			assert.Equal(t, n.nodes["r0"].RetryAfter("s"), reach.ProbeInterval)
			n.set(connected, "r0", "r1", "r2")
			time.Sleep(time.Second)
			_, _, err := n.connect("r0", 0)
			assert.NilError(t, err)
		})
	}
}

// Guards against a router that takes endpoints which have all crashed for a partition and goes on asking others, and that
// does not find them when they are back.
func TestAllEndpointsLost(t *testing.T) {
	for endpoints := range 5 {
		runNetwork(t, 3, endpoints+1, func(n *network) {
			for i := range endpoints + 1 {
				n.lost[endpoint(i)] = true
			}
			for i := range 200 {
				_, _, err := n.connect("r0", i%(endpoints+1))
				assert.Assert(t, err != nil)
				time.Sleep(10 * time.Millisecond)
			}
			// Each endpoint is left alone for RelayRetryInterval after two routers have not reached it.
			limit := maxUnreachable * (endpoints + 1) * int(1+2*time.Second/reach.RelayRetryInterval)
			assert.Assert(t, n.dialCount(betweenRouters) <= limit, "other routers were asked %d times", n.dialCount(betweenRouters))
			n.mu.Lock()
			n.lost = map[string]bool{}
			n.mu.Unlock()
			time.Sleep(time.Second)
			relayed, _, err := n.connect("r0", 0)
			assert.NilError(t, err)
			assert.Assert(t, !relayed)
		})
	}
}

// Guards against a single lost endpoint that has its connections made through other routers.
func TestLostEndpointIsNotReachedThroughOthers(t *testing.T) {
	runNetwork(t, 3, 9, func(n *network) {
		n.lost[endpoint(4)] = true
		for i := range 90 {
			relayed, _, err := n.connect("r0", i%9)
			assert.Equal(t, err != nil, i%9 == 4)
			assert.Assert(t, !relayed)
		}
		assert.Equal(t, n.dialCount("r1")+n.dialCount("r2"), 0)
	})
}

// Guards against a cut-off router that keeps asking routers which do not answer, or which are of a release without
// tunnels, while another would connect.
func TestRoutersThatCannotHelpAreAvoided(t *testing.T) {
	runNetwork(t, 4, 9, func(n *network) {
		n.nodes["r1"].frozen, n.nodes["r2"].stale = true, true
		n.set(refusing, "r0")
		failed, held := 0, 0
		for i := range 300 {
			_, took, err := n.connect("r0", i%9)
			if err != nil {
				failed++
			}
			if took > 50*time.Millisecond {
				held++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, failed <= 4, "%d of 300 failed", failed)
		assert.Assert(t, held <= 6, "%d of 300 waited for the router that does not answer", held)
	})
}

// Guards against a fleet in which a router without a way of its own is asked to connect for others.
func TestCutOffRouterRefusesTunnels(t *testing.T) {
	runNetwork(t, 2, 9, func(n *network) {
		n.set(refusing, "r0", "r1")
		for i := range 9 {
			_, _, _ = n.connect("r1", i)
		}
		before := n.dialCount("r1")
		_, err := n.nodes["r1"].ConnectFor(context.Background(), endpoint(0))
		assert.Equal(t, err, error(tunnel.CutOff))
		_, err = n.nodes["r1"].ConnectFor(context.Background(), "10.9.9.9:1")
		assert.Equal(t, err, error(tunnel.UnknownEndpoint))
		assert.Equal(t, n.dialCount("r1"), before)
	})
}
