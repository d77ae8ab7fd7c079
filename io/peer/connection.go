package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"savoryfall/core/membership"
	"savoryfall/io/meter"
)

const (
	callTimeout = 500 * time.Millisecond
	serviceName = "Peer"
)

// connection is the one to a peer, made when it is first needed and again after it broke.
type connection struct {
	mu      sync.Mutex
	address string
	client  *rpc.Client
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

// errCut stands for a network that does not carry the message; only tests cut.
var errCut = errors.New("no route to the peer")

// Cut makes this router unable to call, or be called by, the peers that the function names, until it is nil.
func (a *Agent) Cut(cut func(name string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = cut
}

func (a *Agent) isCut(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cut != nil && a.cut(name)
}

func (a *Agent) call(ctx context.Context, p membership.Peer, method string, args, reply any) (err error) {
	return a.callWithin(ctx, callTimeout, p, method, args, reply)
}

func (a *Agent) callWithin(ctx context.Context, d time.Duration, p membership.Peer, method string, args, reply any) (err error) {
	if a.isCut(p.Name) {
		return errCut
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c := a.connection(p)
	client, err := a.dial(ctx, c)
	if err != nil {
		return err
	}
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	var answered rpc.ServerError
	if err != nil && !errors.As(err, &answered) {
		c.close()
	}
	return err
}

func (a *Agent) connection(p membership.Peer) *connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.conns[p.Name]
	if c == nil || c.address != p.Address {
		c = &connection{address: p.Address}
		a.conns[p.Name] = c
	}
	return c
}

func (a *Agent) dial(ctx context.Context, c *connection) (client *rpc.Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	raw, err := a.Meter.Dial(meter.KindPeer)(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	raw, err = a.secure(ctx, raw, c.address)
	if err != nil {
		return nil, err
	}
	c.client = rpc.NewClient(raw)
	return c.client, nil
}

// secure makes the handshake at once: left to the first write, it waits without bound for a peer whose process stands
// still, and every call after it.
func (a *Agent) secure(ctx context.Context, raw net.Conn, address string) (c net.Conn, err error) {
	if a.TLS == nil {
		return raw, nil
	}
	secured := tls.Client(raw, clientTLS(a.TLS, address))
	err = secured.HandshakeContext(ctx)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secured, nil
}

// clientTLS checks the peer by the IP number that it is called at.
func clientTLS(base *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	cfg := base.Clone()
	if err == nil {
		cfg.ServerName = host
	}
	return cfg
}

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
	a.accepted[raw] = true
	a.mu.Unlock()
	a.running.Go(func() {
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
