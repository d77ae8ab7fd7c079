package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"time"

	"savoryfall/core/membership"
	"savoryfall/io/meter"
)

const (
	callTimeout = 500 * time.Millisecond
	serviceName = "Peer"
)

// connection is one to a peer, shared by all calls to it: heartbeats as well as claims of callers' calls, which may take
// much longer. A call that runs out of time says that the peer may be silent, but not that the other calls get no answer:
// when it ended the connection, claims that were being made were lost to their callers. So it retires the connection: new
// calls make another, and the old one is ended with the last call on it. A silent peer is given up no later for that,
// since every call has a bound of its own.
type connection struct {
	address string
	cancel  context.CancelFunc
	// made is closed when the connection is there or has failed; client and err are set before.
	made   chan struct{}
	client *rpc.Client
	err    error
	// The agent's lock guards the rest.
	calls   int
	retired bool
	ended   bool
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
	c, err := a.enter(p)
	if err != nil {
		return err
	}
	defer a.leave(c)
	err = c.call(ctx, method, args, reply)
	if speaksAgainst(err) {
		a.retire(p.Name, c)
	}
	return err
}

// speaksAgainst tells whether the error is one of the connection: a peer that answers with an error is there, and a caller
// that hangs up says nothing of the peer.
func speaksAgainst(err error) bool {
	var answered rpc.ServerError
	return err != nil && !errors.As(err, &answered) && !errors.Is(err, context.Canceled)
}

// call returns when the peer has answered or the context has ended, also while the message is still being written: a peer
// that reads nothing must not hold the caller.
func (c *connection) call(ctx context.Context, method string, args, reply any) (err error) {
	select {
	case <-c.made:
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.err != nil {
		return c.err
	}
	done := make(chan error, 1)
	go func() { done <- c.client.Call(serviceName+"."+method, args, reply) }()
	select {
	case err = <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enter finds or makes the connection for a new call, and counts the call.
func (a *Agent) enter(p membership.Peer) (c *connection, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.killed {
		return nil, net.ErrClosed
	}
	c = a.conns[p.Name]
	if c != nil && c.address == p.Address {
		c.calls++
		return c, nil
	}
	if c != nil {
		c.retired = true
		a.endUnused(c)
	}
	// No call waits longer than the longest for the connection to be made.
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	c = &connection{address: p.Address, cancel: cancel, made: make(chan struct{}), calls: 1}
	a.conns[p.Name] = c
	a.open[c] = true
	go a.dial(ctx, p.Name, c)
	return c, nil
}

func (a *Agent) leave(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.calls--
	a.endUnused(c)
}

// retire keeps new calls off the connection.
func (a *Agent) retire(name string, c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns[name] == c {
		delete(a.conns, name)
	}
	c.retired = true
	a.endUnused(c)
}

func (a *Agent) endUnused(c *connection) {
	if c.retired && c.calls == 0 {
		a.end(c)
	}
}

// end ends the connection under whatever is on it; the agent's lock is held.
func (a *Agent) end(c *connection) {
	if c.ended {
		return
	}
	c.ended = true
	delete(a.open, c)
	c.cancel()
	if c.client != nil {
		// Not under the lock: with TLS a farewell is written first, which a peer that reads nothing holds up.
		go func() { _ = c.client.Close() }()
	}
}

// dial makes the connection for all that wait for it, so that none of them waits for another's attempt and then for its
// own.
func (a *Agent) dial(ctx context.Context, name string, c *connection) {
	defer c.cancel()
	raw, err := a.Meter.Dial(meter.KindPeer)(ctx, "tcp", c.address)
	if err == nil {
		raw, err = a.secure(ctx, raw, c.address)
	}
	a.made(c, raw, err)
	if err != nil {
		a.retire(name, c)
	}
}

func (a *Agent) made(c *connection, raw net.Conn, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(c.made)
	if err == nil && c.ended {
		_ = raw.Close()
		err = net.ErrClosed
	}
	c.err = err
	if err == nil {
		c.client = rpc.NewClient(raw)
	}
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
