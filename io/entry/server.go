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

// Server listens for clients and closes their idle connections according to the active configuration.
type Server struct {
	handler *Handler
	conns   *clientconn.Set
	http    *http.Server
	running background.Group
	cancel  context.CancelFunc
}

const (
	// defaultMaxHeaderBytes limits headers where the configuration sets no limit.
	defaultMaxHeaderBytes = 256 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply where the configuration sets no limit.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 5 * time.Minute
	// sweepPeriod is how often idle connections are checked.
	sweepPeriod = time.Second
)

// clientKeepAlive detects clients that have disappeared without closing the connection.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// NewServer creates a server and starts to listen on the address.
func NewServer(address string, h *Handler) (s *Server, err error) {
	defer annotate.Error(&err, "listen for clients on %s", address)
	listen := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	l, err := listen.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return NewServerWithListener(l, h), nil
}

// NewServerWithListener creates a server for the clients that the listener accepts.
func NewServerWithListener(l net.Listener, h *Handler) (s *Server) {
	s = &Server{handler: h, http: &http.Server{Handler: h}}
	s.conns = clientconn.New(l, s.limits)
	s.conns.Attach(s.http)
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.conns.Addr().String() }

// Connections returns the set of client connections.
func (s *Server) Connections() *clientconn.Set { return s.conns }

// Start serves in the background.
func (s *Server) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { background.Every(ctx, sweepPeriod, s.sweep) })
	go s.serve(s.conns)
	return nil
}

func (s *Server) serve(l net.Listener) {
	err := s.http.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		_ = s.handler.Logger.Log(field.Event, event.ListenerLost, field.Address, s.Address(), field.Err, err)
	}
}

// sweep closes connections, to endpoints and of clients, that have been idle for too long, and those of clients that
// take too long to send a header.
func (s *Server) sweep(now time.Time) {
	s.handler.Pool.Sweep(now)
	s.handler.logEndedPauses(now)
	s.handler.logSpeeds(now)
	s.conns.Sweep(now)
}

// limits returns the limits of the active configuration, with defaults where it sets none. Without a configuration,
// connections may be idle without limit: their clients will retry when there is one.
func (s *Server) limits() (l clientconn.Limits) {
	l.HeaderTimeout, l.HeadBytes = defaultHeaderTimeout, defaultMaxHeaderBytes
	t := s.handler.Configuration.Current()
	if t == nil {
		return l
	}
	l.Idle = defaultIdleTimeout
	if t.Limits().IdleTimeout > 0 {
		l.Idle = t.Limits().IdleTimeout
	}
	if t.Limits().HeaderTimeout > 0 {
		l.HeaderTimeout = t.Limits().HeaderTimeout
	}
	if t.Limits().MaxHeaderBytes > 0 {
		l.HeadBytes = t.Limits().MaxHeaderBytes
	}
	return l
}

// leaveShare is the part of the grace period in which a router that is stopping still serves requests: about as long as
// the load balancer takes to react. Requests started in that time have the rest of the period to finish.
const leaveShare = 0.34

// DrainShare is the part of the grace period after which open connections are closed by force, so that the process
// exits by itself.
const DrainShare = 0.93

// lingerShare is the part of the grace period in which a router that refuses requests still accepts connections while
// no request is being served: clients that keep connecting without sending anything must not delay the stop.
const lingerShare = 0.2

// drainPollPeriod is how often a router that is stopping checks whether connections are still in use.
const drainPollPeriod = 20 * time.Millisecond

// Drain continues to serve for a while, then refuses requests, and returns when all client connections are closed or
// most of the grace period has passed. It waits for connections and not for requests, because bytes that are being read
// do not count as a request yet.
func (s *Server) Drain(grace time.Duration) {
	part := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	ctx, cancel := context.WithTimeout(context.Background(), part(DrainShare))
	defer cancel()
	s.handler.AnswerBy(time.Now().Add(part(DrainShare)))
	s.handler.SetUnready()
	time.Sleep(part(leaveShare))
	s.handler.RefuseNew()
	s.linger(ctx, part(lingerShare))
	_ = s.conns.Close()
	_ = s.conns.Drain(ctx)
}

// linger accepts connections and refuses their requests until none is left. While a request is served, the router has
// to wait anyway, and a refusal tells a client more than a failed connection.
func (s *Server) linger(ctx context.Context, atMost time.Duration) {
	began := time.Now()
	for s.conns.CloseUnused() > 0 && ctx.Err() == nil {
		if s.conns.Counts().Serving() == 0 && time.Since(began) > atMost {
			return
		}
		time.Sleep(drainPollPeriod)
	}
}

// Stop closes the listener and the open connections. http.Server.Shutdown is not suitable: it closes connections on
// which a request is being read, and drops requests that it has read.
func (s *Server) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop serving clients")
	s.cancel()
	s.running.Stop()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err = s.conns.Stop(ctx)
	_ = s.http.Close()
	return err
}

// stopTimeout is how long responses that are being written may take when the server stops.
const stopTimeout = 100 * time.Millisecond
