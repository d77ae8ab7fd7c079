package command

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// peerCut cuts one router off from the others, in both directions and without a sign of it, and from nothing else.
type peerCut struct {
	cut  atomic.Bool
	lone atomic.Pointer[entryVM]
}

// configure has the router's connections to others pass through the cut.
func (c *peerCut) configure(vm *entryVM) {
	n := &peerNetwork{cut: c, vm: vm}
	vm.hub.Network, vm.origins.Dial = n, n.Dial
}

// peerNetwork is the network between routers as one of them sees it.
type peerNetwork struct {
	cut *peerCut
	vm  *entryVM
}

func (*peerNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial connects to another router.
func (n *peerNetwork) Dial(ctx context.Context, address string) (c net.Conn, err error) {
	lone := n.cut.lone.Load()
	involved := lone == nil || n.vm == lone || address == lone.settings.AdvertisedAddress()
	if involved && n.cut.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || !involved {
		return c, err
	}
	return &peerConn{Conn: c, cut: n.cut}, nil
}

// peerConn loses what it carries once it is cut.
type peerConn struct {
	net.Conn
	cut *peerCut
}

func (c *peerConn) Read(p []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(p)
		if err != nil || !c.cut.cut.Load() {
			return n, err
		}
	}
}

func (c *peerConn) Write(p []byte) (n int, err error) {
	if c.cut.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against streams that are joined of two versions by a router that is cut off from the other routers only, while endpoints of a
// new version join.
func TestStreamsAreNotJoinedByRouterThatIsCutOffFromOthers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// cutBefore is how long before the new endpoints the router is cut off, and takenUpAfter how long after they broke the streams
		// are taken up.
		cutBefore, takenUpAfter time.Duration
		lone                    int
	}{
		"cut at the same time, taken up at once": {lone: 0},
		"cut at the same time, taken up later":   {lone: 1, takenUpAfter: 400 * time.Millisecond},
		"cut before, taken up at once":           {lone: 2, cutBefore: 1500 * time.Millisecond},
		"cut before, taken up later":             {lone: 0, cutBefore: 1500 * time.Millisecond, takenUpAfter: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLossFleet(t, 0, "v1")
			cut := &peerCut{}
			f.configure = cut.configure
			for i := range 3 {
				f.start(i)
			}
			f.awaitRouters(f.vms, 2)
			lone, others := f.vms[c.lone], slices.Delete(slices.Clone(f.vms), c.lone, c.lone+1)
			cut.lone.Store(lone)
			// Until then the service counts as one whose versions may have changed.
			<-time.After(9 * time.Second)

			cut.cut.Store(true)
			<-time.After(c.cutBefore)
			f.addEngine("v1-0", "v2", oldProcess)
			f.addEngine("v1-1", "v2", oldProcess)
			for _, vm := range others {
				f.waitFor("endpoints", func() bool { return strings.Contains(f.metrics(vm), "savoryfall_endpoints 4\n") })
			}
			f.vms = others
			streams, ended := f.beginAtAll()
			for _, vm := range others {
				f.kill(vm)
			}
			ended.Wait()
			versions := map[string]bool{}
			for _, s := range streams {
				for v := range s.versions {
					versions[v] = true
				}
			}
			assert.Equal(t, len(versions), 2, "streams began at both versions")
			<-time.After(c.takenUpAfter)
			f.vms = []*entryVM{lone}
			joined, _ := f.resumeElsewhere(streams)
			assert.Equal(t, joined, 0)
		})
	}
}
