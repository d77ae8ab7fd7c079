package fakenetwork

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network is an in-memory network between routers.
type Network struct {
	mu       sync.Mutex
	ports    map[string]*port
	silent   map[string]bool
	isolated map[string]bool
}

// New returns a network without routers.
func New() *Network { return &Network{ports: map[string]*port{}, silent: map[string]bool{}} }

// ForRouter returns the network as seen from the router at the address.
func (w *Network) ForRouter(address string) *view { return &view{w, address} }

// SetSilent sets whether dialling the address times out.
func (w *Network) SetSilent(address string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address] = silent
}

// Restore lets the address be dialled again.
func (w *Network) Restore(address string) { w.SetSilent(address, false) }

// Isolate cuts the given addresses off from all others, existing connections included.
func (w *Network) Isolate(inside map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated = inside
	for _, p := range w.ports {
		for c := range p.conns {
			if inside[c.from] != inside[p.address] {
				c.pause()
			}
		}
	}
}

// Freeze holds back everything that comes from the address, on connections that stay open.
func (w *Network) Freeze(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address] = true
	for c := range w.ports[address].conns {
		c.pause()
	}
}

// Unfreeze lets through what Freeze held back.
func (w *Network) Unfreeze(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address] = false
	for c := range w.ports[address].conns {
		c.resume()
	}
}

// view is the network as seen from one router.
type view struct {
	*Network
	address string
}

// Listen accepts connections to the address.
func (w *view) Listen(address string) (l net.Listener, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &port{Network: w.Network, address: address, accepted: make(chan net.Conn), closed: make(chan struct{}), conns: map[*pausableConn]bool{}}
	w.ports[address] = p
	return p, nil
}

var errUnreachable = errors.New("unreachable")

// Dial connects to the router at the address.
func (w *view) Dial(ctx context.Context, address string) (c net.Conn, err error) {
	w.mu.Lock()
	p, silent := w.ports[address], w.silent[address] || w.isolated[address] != w.isolated[w.address]
	w.mu.Unlock()
	if silent {
		time.Sleep(250 * time.Millisecond)
		return nil, errUnreachable
	}
	if p == nil {
		return nil, errUnreachable
	}
	here, there := net.Pipe()
	held := &pausableConn{Conn: there, from: w.address, held: make(chan struct{})}
	held.resume()
	select {
	case p.accepted <- held:
	case <-p.closed:
		return nil, errUnreachable
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	p.conns[held] = true
	w.mu.Unlock()
	return here, nil
}

// port is the listener of one router.
type port struct {
	*Network
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
	conns    map[*pausableConn]bool
}

func (p *port) Accept() (c net.Conn, err error) {
	select {
	case c = <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *port) Addr() net.Addr { return &net.TCPAddr{} }

// pausableConn is the hub's end of a connection. While paused, its writes block.
type pausableConn struct {
	net.Conn
	from    string
	mu      sync.Mutex
	held    chan struct{}
	running bool
}

func (h *pausableConn) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running {
		h.held, h.running = make(chan struct{}), false
	}
}

func (h *pausableConn) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		close(h.held)
		h.running = true
	}
}

func (h *pausableConn) gate() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

func (h *pausableConn) Write(b []byte) (n int, err error) {
	<-h.gate()
	return h.Conn.Write(b)
}

func (h *pausableConn) Close() error {
	h.resume()
	return h.Conn.Close()
}
