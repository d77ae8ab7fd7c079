package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound the time that a client may take; 0 is no limit.
type Limits struct {
	// Idle is for how long a connection may be without a request.
	Idle time.Duration
}

// Set are the connections of one listener, and takes its place for an http.Server; New makes one.
type Set struct {
	net.Listener
	limits func() Limits
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	ended  map[Ending]uint64
}

const (
	// idleSlack is how much longer than the limit an idle connection is kept, so that a client that uses it at the last
	// moment is served.
	idleSlack = time.Second
)

// New keeps the connections of the listener within what limits gives at the time.
func New(l net.Listener, limits func() Limits) *Set {
	return &Set{Listener: l, limits: limits, conns: map[*Conn]struct{}{}, ended: map[Ending]uint64{}}
}

// Accept waits for the next connection.
func (s *Set) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

// Attach lets the server tell the set what its connections are used for.
func (s *Set) Attach(h *http.Server) {
	next := h.Handler
	h.ConnState = s.note
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, key{}, own(c))
	}
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		if c != nil {
			c.begin()
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
	case http.StateIdle:
		c.rest(s.limits().Idle)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.ended[c.Ending()]++
	}
}

// Sweep ends connections that have been idle for longer than they may.
func (s *Set) Sweep(now time.Time) {
	limits := s.limits()
	for _, c := range s.all() {
		if limits.Idle > 0 {
			c.endIf(ByIdle, func() bool { return now.Sub(c.since) > max(limits.Idle, c.limit)+idleSlack })
		}
	}
}

func (s *Set) all() (list []*Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Counts are how many connections are idle, and have a request that is being served.
func (s *Set) Counts() (resting, served int) {
	for _, c := range s.all() {
		c.mu.Lock()
		at := c.state
		c.mu.Unlock()
		if at == serving {
			served++
		} else {
			resting++
		}
	}
	return resting, served
}

// Ended is how many connections came to that end.
func (s *Set) Ended(e Ending) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[e]
}
