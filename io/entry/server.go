package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/event"
)

// Server listens for clients and ends their idle connections by the limits in force.
type Server struct {
	front    *Front
	listener net.Listener
	http     *http.Server
	mu       sync.Mutex
	idle     map[net.Conn]idleness
	running  background.Group
	cancel   context.CancelFunc
}

const (
	// mostHeader bounds headers in bytes as long as no configuration does; the configuration's limit is checked
	// besides.
	mostHeader = 256 << 10
	// headerTimeout and idleTimeout bound connections as long as no configuration does.
	headerTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
	// idleSlack is how much longer than the limit an idle connection is kept, so that a client that uses it at the
	// last moment is served.
	idleSlack = time.Second
)

// clientKeepAlive finds clients that have vanished without a word.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// idleness is since when a connection is idle, and for how long it might be when that began. A limit that is lowered
// must not end the connections that became idle before: their clients go by the limit of then, and a request that was on
// its way was read and cut.
type idleness struct {
	since time.Time
	limit time.Duration
}

// NewServer takes the address at once.
func NewServer(address string, f *Front) (s *Server, err error) {
	defer annotate.Error(&err, "listen for clients on %s", address)
	listen := net.ListenConfig{KeepAliveConfig: clientKeepAlive}
	l, err := listen.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newServer(f, l), nil
}

func newServer(f *Front, l net.Listener) (s *Server) {
	s = &Server{front: f, listener: l, idle: map[net.Conn]idleness{}}
	s.http = &http.Server{
		Handler: f, MaxHeaderBytes: mostHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: s.note, ErrorLog: nil,
	}
	return s
}

// Address is where clients are served.
func (s *Server) Address() string { return s.listener.Addr().String() }

// note keeps the time since when a connection is idle.
func (s *Server) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = idleness{since: time.Now(), limit: s.idleLimit()}
		return
	}
	delete(s.idle, c)
}

// Start serves in the background.
func (s *Server) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { background.Every(ctx, sweepEvery, s.sweep) })
	go func() {
		err := s.http.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			_ = s.front.Logger.Log("event", event.ListenerLost, "address", s.Address(), "err", err)
		}
	}()
	return nil
}

// sweep ends connections that have been idle for longer than the configuration allows.
func (s *Server) sweep(now time.Time) {
	s.front.Pool.Sweep(now)
	limit := s.idleLimit()
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, i := range s.idle {
		if now.Sub(i.since) > max(limit, i.limit)+idleSlack {
			delete(s.idle, c)
			_ = c.Close()
		}
	}
}

// idleLimit is for how long connections may be idle by the configuration in force, 0 when it does not say.
func (s *Server) idleLimit() time.Duration {
	t := s.front.Configuration.Current()
	if t == nil {
		return 0
	}
	return t.Limits().IdleTimeout
}

// leaveShare is the part of the grace in which a stopping router still takes requests: about as long as the balancer
// needs to notice. What was begun then has the rest of the grace to end.
const leaveShare = 0.34

// endShare is the part of the grace after which what is still open is cut, so that the process ends by itself.
const endShare = 0.93

// Drain serves on for a while, then refuses, and returns when no request is open or most of the grace has passed.
func (s *Server) Drain(grace time.Duration) {
	began := time.Now()
	s.front.Leave()
	time.Sleep(time.Duration(leaveShare * float64(grace)))
	s.front.Close()
	const step = 20 * time.Millisecond
	for s.front.Open() > 0 && time.Since(began) < time.Duration(endShare*float64(grace)) {
		time.Sleep(step)
	}
}

// Stop ends the listener and what is still open.
func (s *Server) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop serving clients")
	s.cancel()
	s.running.Stop()
	ctx, cancel := context.WithTimeout(ctx, lastMoment)
	defer cancel()
	err = s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	return err
}

// lastMoment is how long answers that are being written may take when the server stops.
const lastMoment = 100 * time.Millisecond
