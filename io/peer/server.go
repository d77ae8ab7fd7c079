package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"time"

	"savoryfall/core/background"
	"savoryfall/io/traffic"
)

// acceptRetryPause is the pause after a connection could not be accepted, as when the process has no descriptor left.
const acceptRetryPause = 100 * time.Millisecond

func (a *Agent) serve() {
	server := rpc.NewServer()
	err := server.RegisterName(serviceName, &Service{agent: a})
	if err != nil {
		panic("peer: " + err.Error())
	}
	for {
		raw, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = a.Logger.Log("event", "acceptFailed", "err", err)
			background.Sleep(context.Background(), acceptRetryPause, nil)
			continue
		}
		a.accept(server, raw)
	}
}

func (a *Agent) accept(server *rpc.Server, raw net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		_ = raw.Close()
		return
	}
	a.acceptedConns[raw] = true
	if a.draining {
		setDrainDeadline(raw)
	}
	a.connHandlers.Go(func() {
		c := a.Meter.CountBytes(traffic.KindPeer, raw)
		if a.TLS != nil {
			c = a.authenticate(raw, c)
		}
		server.ServeConn(c)
		a.mu.Lock()
		delete(a.acceptedConns, raw)
		a.mu.Unlock()
	})
}

// authenticate performs the TLS handshake, and reports to the connection accepted if its host has proved to be a peer. The first read
// returns the error of a failed handshake.
func (a *Agent) authenticate(accepted, c net.Conn) net.Conn {
	secured := tls.Server(c, a.TLS)
	limited, is := accepted.(interface{ Authenticated() })
	if secured.Handshake() == nil && is {
		limited.Authenticated()
	}
	return secured
}

// drainReadTimeout is for how long requests are still read after this router has announced that it is leaving: peers
// may have sent some before the announcement reached them.
const drainReadTimeout = 100 * time.Millisecond

func setDrainDeadline(raw net.Conn) { _ = raw.SetReadDeadline(time.Now().Add(drainReadTimeout)) }

// drain accepts no new requests, and returns when those that were read are answered or the context ends. Closing the
// connections immediately lost the claims that peers had requested. Setting a read deadline is enough: net/rpc then
// sends the outstanding replies and closes the connection.
func (a *Agent) drain(ctx context.Context) {
	_ = a.listener.Close()
	a.mu.Lock()
	a.draining = true
	for c := range a.acceptedConns {
		setDrainDeadline(c)
	}
	a.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		a.connHandlers.Stop()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}
