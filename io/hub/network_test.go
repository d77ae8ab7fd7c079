package hub_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"savoryfall/io/hub"
)

// wires is the network between the routers.
type wires struct {
	mu     sync.Mutex
	at     map[string]*port
	silent map[string]bool
	parted map[string]bool
}

func newWires() *wires { return &wires{at: map[string]*port{}, silent: map[string]bool{}} }

func (w *wires) of(address string) hub.Network { return &wire{w, address} }

func (w *wires) cut(address string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address] = silent
}

func (w *wires) mend(address string) { w.cut(address, false) }

// part cuts those inside off from all others, also where they are connected.
func (w *wires) part(inside map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parted = inside
	for _, p := range w.at {
		for c := range p.conns {
			if inside[c.from] != inside[p.address] {
				c.hold()
			}
		}
	}
}

func (w *wires) freeze(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address] = true
	for c := range w.at[address].conns {
		c.hold()
	}
}

func (w *wires) thaw(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[address] = false
	for c := range w.at[address].conns {
		c.release()
	}
}

// wire is the network as one router sees it.
type wire struct {
	*wires
	address string
}

func (w *wire) Listen(address string) (l net.Listener, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &port{wires: w.wires, address: address, accepts: make(chan net.Conn), closed: make(chan struct{}), conns: map[*holdable]bool{}}
	w.at[address] = p
	return p, nil
}

var errUnreachable = errors.New("unreachable")

func (w *wire) Dial(ctx context.Context, address string) (c net.Conn, err error) {
	w.mu.Lock()
	p, silent := w.at[address], w.silent[address] || w.parted[address] != w.parted[w.address]
	w.mu.Unlock()
	if silent {
		time.Sleep(250 * time.Millisecond)
		return nil, errUnreachable
	}
	if p == nil {
		return nil, errUnreachable
	}
	here, there := net.Pipe()
	held := &holdable{Conn: there, from: w.address, held: make(chan struct{})}
	held.release()
	select {
	case p.accepts <- held:
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

// port is where a router listens.
type port struct {
	*wires
	address string
	accepts chan net.Conn
	once    sync.Once
	closed  chan struct{}
	conns   map[*holdable]bool
}

func (p *port) Accept() (c net.Conn, err error) {
	select {
	case c = <-p.accepts:
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

// holdable is the end of a connection at a hub, from which nothing comes while it is held.
type holdable struct {
	net.Conn
	from string
	mu   sync.Mutex
	held chan struct{}
	open bool
}

func (h *holdable) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open {
		h.held, h.open = make(chan struct{}), false
	}
}

func (h *holdable) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open {
		close(h.held)
		h.open = true
	}
}

func (h *holdable) gate() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

func (h *holdable) Write(b []byte) (n int, err error) {
	<-h.gate()
	return h.Conn.Write(b)
}

func (h *holdable) Close() error {
	h.release()
	return h.Conn.Close()
}
