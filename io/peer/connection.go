package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"time"

	"savoryfall/core/membership"
	"savoryfall/io/traffic"
)

const (
	callTimeout = 500 * time.Millisecond
	serviceName = "Peer"
)

// connection is a connection to a peer, shared by all calls to it: heartbeats as well as claims, which may take much
// longer. A call that times out suggests that the peer is unresponsive, but doesn't prove that the other calls will
// fail; closing the connection then lost the replies to claims in progress. So a timeout only retires the connection:
// new calls open another one, and the old one is closed after its last call. Since every call has a timeout of its
// own, an unresponsive peer is still given up in bounded time.
type connection struct {
	address string
	cancel  context.CancelFunc
	// dialed is closed once the connection is established or has failed; client and err are set before.
	dialed chan struct{}
	client *rpc.Client
	err    error
	// The fields below are guarded by Agent.mu.
	activeCalls int
	retired     bool
	closed      bool
}

// errPartitioned simulates a network partition; only tests enable one, with Cut.
var errPartitioned = errors.New("no route to the peer")

// SetPartition simulates a network partition between this router and the peers for which the function returns true; nil
// ends it.
func (a *Agent) SetPartition(partitioned func(name string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.partitioned = partitioned
}

func (a *Agent) isPartitioned(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.partitioned != nil && a.partitioned(name)
}

func (a *Agent) call(ctx context.Context, p membership.Peer, method string, args, reply any) (err error) {
	return a.callWithTimeout(ctx, callTimeout, p, method, args, reply)
}

func (a *Agent) callWithTimeout(ctx context.Context, timeout time.Duration, p membership.Peer, method string, args, reply any) (err error) {
	if a.isPartitioned(p.Name) {
		return errPartitioned
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := a.acquireConnection(p)
	if err != nil {
		return err
	}
	defer a.releaseConnection(c)
	err = c.call(ctx, method, args, reply)
	if isConnectionFailure(err) {
		a.retireConnection(p.Name, c)
	}
	return err
}

// isConnectionFailure reports whether the error suggests that the connection or the peer has failed. An error returned
// by the peer proves that it is alive, and a canceled context says nothing about it.
func isConnectionFailure(err error) bool {
	var serverErr rpc.ServerError
	return err != nil && !errors.As(err, &serverErr) && !errors.Is(err, context.Canceled)
}

// call returns when the peer has replied or the context has ended. The RPC runs in a goroutine of its own, because
// writing the request blocks while the peer doesn't read.
func (c *connection) call(ctx context.Context, method string, args, reply any) (err error) {
	select {
	case <-c.dialed:
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

// acquireConnection returns the connection to a peer for a new call, opening one if necessary, and counts the call.
func (a *Agent) acquireConnection(p membership.Peer) (c *connection, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, net.ErrClosed
	}
	c = a.connByPeer[p.Name]
	if c != nil && c.address == p.Address {
		c.activeCalls++
		return c, nil
	}
	if c != nil {
		c.retired = true
		a.closeIfUnused(c)
	}
	// Dialing gets the longest timeout that any call has.
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	c = &connection{address: p.Address, cancel: cancel, dialed: make(chan struct{}), activeCalls: 1}
	a.connByPeer[p.Name] = c
	a.openConns[c] = true
	go a.dial(ctx, p.Name, c)
	return c, nil
}

func (a *Agent) releaseConnection(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.activeCalls--
	a.closeIfUnused(c)
}

// retireConnection excludes the connection from new calls, and closes it once it has no active ones.
func (a *Agent) retireConnection(name string, c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connByPeer[name] == c {
		delete(a.connByPeer, name)
	}
	c.retired = true
	a.closeIfUnused(c)
}

func (a *Agent) closeIfUnused(c *connection) {
	if c.retired && c.activeCalls == 0 {
		a.closeConnection(c)
	}
}

// closeConnection closes the connection, active calls included. The caller holds a.mu.
func (a *Agent) closeConnection(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	delete(a.openConns, c)
	c.cancel()
	if c.client != nil {
		// Outside the lock: closing a TLS connection first writes an alert, which blocks while the peer doesn't read.
		go func() { _ = c.client.Close() }()
	}
}

// dial establishes the connection once for all calls that wait for it, so that no call waits for a failing attempt of
// another call and then makes its own.
func (a *Agent) dial(ctx context.Context, name string, c *connection) {
	defer c.cancel()
	raw, err := a.Meter.Dial(traffic.KindPeer)(ctx, "tcp", c.address)
	if err == nil {
		raw, err = a.handshake(ctx, raw, c.address)
	}
	a.finishDial(c, raw, err)
	if err != nil {
		a.retireConnection(name, c)
	}
}

// finishDial stores the result of a dial and wakes the calls that wait for it.
func (a *Agent) finishDial(c *connection, raw net.Conn, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(c.dialed)
	if err == nil && c.closed {
		_ = raw.Close()
		err = net.ErrClosed
	}
	c.err = err
	if err == nil {
		c.client = rpc.NewClient(raw)
	}
}

// handshake performs the TLS handshake before the first call. If it were left to the first write, that write would
// block without a timeout on a peer whose process has stopped, and with it all later calls.
func (a *Agent) handshake(ctx context.Context, raw net.Conn, address string) (c net.Conn, err error) {
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

// clientTLS verifies the peer's certificate against the IP address that is dialed.
func clientTLS(base *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	cfg := base.Clone()
	if err == nil {
		cfg.ServerName = host
	}
	return cfg
}
