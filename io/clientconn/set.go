package clientconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryfall/core/annotate"
)

// Limits bound the time that a client may take; 0 is no limit.
type Limits struct {
	// Idle is for how long a connection may be without a request, Header for how long the header of one may take.
	Idle   time.Duration
	Header time.Duration
}

// Set are the connections of one listener, and takes its place for an http.Server; New makes one.
type Set struct {
	listener net.Listener
	limits   func() Limits
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	// idle is the limit in force when it was last looked at, and idleBefore the one before it, until changed.
	idle       time.Duration
	idleBefore time.Duration
	changed    time.Time
	ended      map[Ending]uint64
	once       sync.Once
	closed     error
}

const (
	// idleSlack is how much longer than the limit an idle connection is kept, so that a client that uses it at the last
	// moment is served.
	idleSlack = time.Second
	// heardWithin is how long after a change of the limit clients may still go by the one before.
	heardWithin = 3 * time.Second
	// newFor is for how long a connection without a request counts as used: its client has just made it for one.
	newFor = time.Second
	// look is how often a stopping process looks for connections that nobody uses any more.
	look = 20 * time.Millisecond
)

// New keeps the connections of the listener within what limits gives at the time.
func New(l net.Listener, limits func() Limits) *Set {
	return &Set{listener: l, limits: limits, conns: map[*Conn]struct{}{}, ended: map[Ending]uint64{}}
}

// Accept waits for the next connection.
func (s *Set) Accept() (net.Conn, error) {
	raw, err := s.listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

// Close takes no more connections; those that are there stay. Only the first call counts: a process that drains closes the
// set itself, and http.Server closes it again when it ends before it has noticed. An error of that would be taken for one
// of the stop.
func (s *Set) Close() error {
	s.once.Do(func() { s.closed = s.listener.Close() })
	return s.closed
}

// Addr is where the set listens.
func (s *Set) Addr() net.Addr { return s.listener.Addr() }

// Attach lets the server tell the set what its connections are used for. The server's own time-outs for connections must
// not be set: they go by when a goroutine runs, not by when bytes came.
func (s *Set) Attach(h *http.Server) {
	next := h.Handler
	h.ConnState = s.note
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, key{}, own(c))
	}
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		if c != nil && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// key is that of a connection in the context of its requests.
type key struct{}

// Of is the connection of a request by its context, nil where the server has no set.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(key{}).(*Conn)
	return c
}

// own is the set's connection below what the server sees, which may be encrypted.
func own(c net.Conn) *Conn {
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

func (s *Set) note(raw net.Conn, at http.ConnState) {
	c := own(raw)
	if c == nil {
		return
	}
	switch at {
	case http.StateNew:
		if _, is := raw.(*tls.Conn); is {
			c.encrypt()
		}
	case http.StateIdle:
		c.rest(s.idleLimit(time.Now()))
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.ended[c.Ending()]++
	}
}

// idleLimit is for how long a connection that becomes idle now may be so: the limit in force, or the one before as long as
// clients may not have heard of the change. Ended by a lowered limit at once, a connection is gone when a client that does
// not know it yet sends the next request.
func (s *Set) idleLimit(now time.Time) time.Duration {
	limit := s.limits().Idle
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit != s.idle {
		s.idle, s.idleBefore, s.changed = limit, s.idle, now
	}
	if now.Sub(s.changed) < heardWithin {
		return max(limit, s.idleBefore)
	}
	return limit
}

// Sweep ends connections that have been idle, or have been sending a header, for longer than they may.
func (s *Set) Sweep(now time.Time) {
	idle, header := s.idleLimit(now), s.limits().Header
	for _, c := range s.all() {
		if idle > 0 {
			c.endIf(ByIdle, func() bool { return now.Sub(c.since) > max(idle, c.limit)+idleSlack })
		}
		if header > 0 {
			c.endLate(now, header)
		}
	}
}

// Release ends the connections that nobody uses, and returns how many are left. A stopping process calls it until none
// is: each is ended in the moment at which its client has its answer and has sent nothing else.
func (s *Set) Release() (left int) {
	now := time.Now()
	for _, c := range s.all() {
		c.endIf(ByStop, func() bool { return c.abandoned(now) })
	}
	return len(s.all())
}

// Drain releases connections until none is left or the context ends.
func (s *Set) Drain(ctx context.Context) (err error) {
	for s.Release() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(look):
		}
	}
	return nil
}

// Stop takes no more connections, drains those that are left, and cuts what is still used when the context ends.
func (s *Set) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "end connections of clients")
	_ = s.Close()
	err = s.Drain(ctx)
	for _, c := range s.all() {
		c.cut()
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

// Counts are how many connections are idle, have a request that is being read, and one that is being served.
func (s *Set) Counts() (n Counts) {
	for _, c := range s.all() {
		n.add(c.using())
	}
	return n
}

// Ended is how many connections came to that end.
func (s *Set) Ended(e Ending) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[e]
}
