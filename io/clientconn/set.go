package clientconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/core/connbudget"
)

// Limits are timeouts for clients. 0 is no limit.
type Limits struct {
	// Idle is how long a connection may be without a request, Header how long the header of a request may take.
	Idle          time.Duration
	HeaderTimeout time.Duration
	// HeadBytes is how many bytes a request may have before its body. More are refused while they arrive, with some tolerance.
	HeadBytes int
}

// Set tracks the connections of one listener, and is a net.Listener for an http.Server. Use New to create one.
type Set struct {
	listener net.Listener
	limits   func() Limits
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	// lastIdle is the idle timeout at the last check, and previousIdle the one in force until idleChangedAt.
	lastIdle      time.Duration
	previousIdle  time.Duration
	idleChangedAt time.Time
	// lastHead, previousHead and headChangedAt are the same of the limit for heads.
	lastHead      int
	previousHead  int
	headChangedAt time.Time
	budget        connbudget.Budget
	closeCounts   map[CloseReason]uint64
	closeOnce     sync.Once
	closeErr      error
}

const (
	// idleSlack is how much longer than the idle timeout a connection is kept, so that a client that uses it at the
	// last moment is served.
	idleSlack = time.Second
	// limitPropagation is how long after a change of the idle timeout clients may still rely on the previous one.
	limitPropagation = 3 * time.Second
	// requestGrace is how long a connection without a request is considered in use: the client has probably just opened
	// it to send one.
	requestGrace = time.Second
	// unlimitedHead makes net/http accept heads of any size in bytes: the set limits them.
	unlimitedHead = 1 << 30
	// drainPollPeriod is how often a process that is stopping checks for unused connections.
	drainPollPeriod = 20 * time.Millisecond
)

// New creates a set for the connections of the listener. limits returns the limits in force.
func New(l net.Listener, limits func() Limits) *Set {
	return &Set{listener: l, limits: limits, conns: map[*Conn]struct{}{}, closeCounts: map[CloseReason]uint64{}}
}

// Accept waits for the next connection.
func (s *Set) Accept() (net.Conn, error) {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw)
		if s.add(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

// add adds a connection, unless there is no place for it.
func (s *Set) add(c *Conn) (ok bool) {
	c.set, c.place = s, s.budget.Open(c.evict)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place == nil {
		s.closeCounts[NoPlace]++
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// Budget returns what the connections of the set may take.
func (s *Set) Budget() *connbudget.Budget { return &s.budget }

// Close stops accepting connections and keeps those that are open. Only the first call closes the listener: a process
// that drains closes the set itself, and http.Server closes it again if it is closed before its accept loop has
// noticed. An error of the second call would be reported as an error of the stop.
func (s *Set) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.listener.Close() })
	return s.closeErr
}

// Addr returns the address of the listener.
func (s *Set) Addr() net.Addr { return s.listener.Addr() }

// Attach makes the server report the states of its connections to the set. The server's own connection timeouts must
// not be set: they depend on when a goroutine runs, not on when bytes arrived.
func (s *Set) Attach(h *http.Server) {
	next := h.Handler
	h.MaxHeaderBytes = unlimitedHead
	h.ConnState = s.onStateChange
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c != nil && !c.startRequest() {
			panic(http.ErrAbortHandler)
		}
		if c != nil && !c.holdRequest() {
			refusals[NoMemory].write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// FromContext returns the connection of a request from its context, or nil if the server has no set.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the Conn below the connection that the server sees, which may be a TLS connection.
func unwrap(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

func (s *Set) onStateChange(raw net.Conn, at http.ConnState) {
	c := unwrap(raw)
	if c == nil {
		return
	}
	switch at {
	case http.StateNew:
		switch raw.(type) {
		case *tls.Conn, *tlsConn:
			c.setTLS()
		}
	case http.StateIdle:
		c.finishResponse(s.idleLimit(time.Now()))
	case http.StateClosed, http.StateHijacked:
		c.place.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.closeCounts[c.CloseReason()]++
	}
}

// idleLimit returns how long a connection that becomes idle now may stay idle: the timeout in force, or the previous
// one if that is longer and clients may not know of the change yet. If a lowered timeout applied at once, the
// connection would be gone when a client that does not know of it sends its next request.
func (s *Set) idleLimit(now time.Time) time.Duration {
	limit := s.limits().Idle
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit != s.lastIdle {
		s.lastIdle, s.previousIdle, s.idleChangedAt = limit, s.lastIdle, now
	}
	if now.Sub(s.idleChangedAt) < limitPropagation {
		return max(limit, s.previousIdle)
	}
	return limit
}

// headLimit returns how many bytes a head may have: the limit in force, or the previous one if that is larger and clients may not
// know of the change yet. 0 is no limit.
func (s *Set) headLimit(now time.Time) int {
	limit := s.limits().HeadBytes
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit != s.lastHead {
		s.lastHead, s.previousHead, s.headChangedAt = limit, s.lastHead, now
	}
	if limit > 0 && now.Sub(s.headChangedAt) < limitPropagation {
		return max(limit, s.previousHead)
	}
	return limit
}

// Sweep closes connections that have been idle, or have been sending a header, for longer than allowed.
func (s *Set) Sweep(now time.Time) {
	idle, header := s.idleLimit(now), s.limits().HeaderTimeout
	for _, c := range s.all() {
		if idle > 0 {
			_ = c.closeIf(IdleTimeout, func() bool { return now.Sub(c.stateSince) > max(idle, c.limit)+idleSlack })
		}
		if header > 0 {
			c.closeLateHeader(now, header)
		}
	}
}

// CloseUnused closes connections that are not in use, and returns how many are left. A process that is stopping calls
// it until none is left: each connection is closed at a moment at which its client has its response and has sent
// nothing else.
func (s *Set) CloseUnused() (left int) {
	now := time.Now()
	for _, c := range s.all() {
		_ = c.closeIf(Stopped, func() bool { return c.closableOnStop(now) })
	}
	return len(s.all())
}

// Drain closes connections as they become unused, until none is left or the context is done.
func (s *Set) Drain(ctx context.Context) (err error) {
	for s.CloseUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollPeriod):
		}
	}
	return nil
}

// Stop stops accepting connections, drains them, and closes those still in use when the context is done.
func (s *Set) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "close client connections")
	_ = s.Close()
	err = s.Drain(ctx)
	for _, c := range s.all() {
		c.forceClose()
	}
	return err
}

func (s *Set) all() (list []*Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Counts returns how many connections are idle, reading a request and serving one.
func (s *Set) Counts() (n Counts) {
	for _, c := range s.all() {
		n.add(c.currentState())
	}
	return n
}

// ClosedBy returns how many connections were closed for the reason.
func (s *Set) ClosedBy(reason CloseReason) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeCounts[reason]
}
