package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/io/clientconn"
)

// Server listens for clients and ends their idle connections by the limits in force.
type Server struct {
	front   *Front
	conns   *clientconn.Set
	http    *http.Server
	running background.Group
	cancel  context.CancelFunc
}

const (
	// mostHeader bounds headers in bytes as long as no configuration does; the configuration's limit is checked
	// besides.
	mostHeader = 256 << 10
	// headerTimeout and idleTimeout bound connections where the configuration does not.
	headerTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
)

// clientKeepAlive finds clients that have vanished without a word.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// NewServer takes the address at once.
func NewServer(address string, f *Front) (s *Server, err error) {
	defer annotate.Error(&err, "listen for clients on %s", address)
	listen := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	l, err := listen.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return NewServerOn(l, f), nil
}

// NewServerOn serves the clients that come by the listener.
func NewServerOn(l net.Listener, f *Front) (s *Server) {
	s = &Server{front: f, http: &http.Server{Handler: f, MaxHeaderBytes: mostHeader}}
	s.conns = clientconn.New(l, s.limits)
	s.conns.Attach(s.http)
	return s
}

// Address is where clients are served.
func (s *Server) Address() string { return s.conns.Addr().String() }

// Connections are those of the clients.
func (s *Server) Connections() *clientconn.Set { return s.conns }

// Start serves in the background.
func (s *Server) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { background.Every(ctx, sweepEvery, s.sweep) })
	go s.serve(s.conns)
	return nil
}

func (s *Server) serve(l net.Listener) {
	err := s.http.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		_ = s.front.Logger.Log(field.Event, event.ListenerLost, field.Address, s.Address(), field.Err, err)
	}
}

// sweep ends connections to endpoints and of clients that have been idle, or bring a header, for too long.
func (s *Server) sweep(now time.Time) {
	s.front.Pool.Sweep(now)
	s.conns.Sweep(now)
}

// limits are those of the configuration in force, and the usual ones where it does not say. Without one, connections may
// be idle: their clients come back when there is one.
func (s *Server) limits() (l clientconn.Limits) {
	l.Header = headerTimeout
	t := s.front.Configuration.Current()
	if t == nil {
		return l
	}
	l.Idle = idleTimeout
	if t.Limits().IdleTimeout > 0 {
		l.Idle = t.Limits().IdleTimeout
	}
	if t.Limits().HeaderTimeout > 0 {
		l.Header = t.Limits().HeaderTimeout
	}
	return l
}

// leaveShare is the part of the grace in which a stopping router still takes requests: about as long as the balancer
// needs to notice. What was begun then has the rest of the grace to end.
const leaveShare = 0.34

// endShare is the part of the grace after which what is still open is cut, so that the process ends by itself.
const endShare = 0.93

// lingerShare is the part of the grace in which a router that refuses still takes connections when it serves nobody any
// more: clients that go on connecting and say nothing must not keep it.
const lingerShare = 0.2

// look is how often a stopping router looks whether it is still used.
const look = 20 * time.Millisecond

// Drain serves on for a while, then refuses, and returns when no client is left on a connection or most of the grace has
// passed. The connections are counted and not the requests: one that is being read is not a request yet.
func (s *Server) Drain(grace time.Duration) {
	part := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	ctx, cancel := context.WithTimeout(context.Background(), part(endShare))
	defer cancel()
	s.front.Leave()
	time.Sleep(part(leaveShare))
	s.front.Close()
	s.linger(ctx, part(lingerShare))
	_ = s.conns.Close()
	_ = s.conns.Drain(ctx)
}

// linger refuses those that still come, until nobody is left. While a request is served, the router has to wait in any
// case, and a refusal tells more than a connection that cannot be made.
func (s *Server) linger(ctx context.Context, atMost time.Duration) {
	began := time.Now()
	for s.conns.Release() > 0 && ctx.Err() == nil {
		if s.conns.Counts().Serving() == 0 && time.Since(began) > atMost {
			return
		}
		time.Sleep(look)
	}
}

// Stop ends the listener and what is still open. http.Server's Shutdown would not do: it ends connections on which a
// request is being read, and drops requests that it has read.
func (s *Server) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop serving clients")
	s.cancel()
	s.running.Stop()
	ctx, cancel := context.WithTimeout(ctx, lastMoment)
	defer cancel()
	err = s.conns.Stop(ctx)
	_ = s.http.Close()
	return err
}

// lastMoment is how long answers that are being written may take when the server stops.
const lastMoment = 100 * time.Millisecond
