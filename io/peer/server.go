package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"time"

	"savoryfall/io/meter"
)

func (a *Agent) serve() {
	server := rpc.NewServer()
	err := server.RegisterName(serviceName, &Router{agent: a})
	if err != nil {
		panic("peer: " + err.Error())
	}
	for {
		raw, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.accept(server, raw)
	}
}

func (a *Agent) accept(server *rpc.Server, raw net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.killed {
		_ = raw.Close()
		return
	}
	a.accepted[raw] = true
	if a.leaving {
		endReading(raw)
	}
	a.serving.Go(func() {
		c := a.Meter.Conn(meter.KindPeer, raw)
		if a.TLS != nil {
			c = tls.Server(c, a.TLS)
		}
		server.ServeConn(c)
		a.mu.Lock()
		delete(a.accepted, raw)
		a.mu.Unlock()
	})
}

// lastRead is for how long requests are still taken from peers that have been told of the stop: what they sent before they
// heard of it is under way.
const lastRead = 100 * time.Millisecond

func endReading(raw net.Conn) { _ = raw.SetReadDeadline(time.Now().Add(lastRead)) }

// drain takes no new requests and returns when those that were read are answered, or when the context ends. Connections
// that were closed under them cost callers of the peers their claims. It only ends the reading: net/rpc then sends the
// answers that it owes, and closes.
func (a *Agent) drain(ctx context.Context) {
	_ = a.listener.Close()
	a.mu.Lock()
	a.leaving = true
	for c := range a.accepted {
		endReading(c)
	}
	a.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		a.serving.Stop()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}
