package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/io/clientconn"
)

// Server serves one handler on one address.
type Server struct {
	conns   *clientconn.Set
	http    *http.Server
	options Options
	stopped atomic.Bool
	running background.Group
	cancel  context.CancelFunc
}

// Options bound what a client may do; a zero field means the default of net/http.
type Options struct {
	MaxHeader     int
	HeaderTimeout time.Duration
	TLS           *tls.Config
	// StopWithin bounds a stop whose context is meant for more important servers; 0 is no bound. What is cut by it is no
	// failure of the stop.
	StopWithin time.Duration
}

const (
	idleTimeout = 2 * time.Minute
	// sweepEvery and sweepOftenest bound how often connections that are idle, or late with a header, are looked for.
	sweepEvery    = time.Second
	sweepOftenest = 10 * time.Millisecond
)

// New takes the address at once, so that it is known before the server starts.
func New(address string, handler http.Handler, o Options) (s *Server, err error) {
	defer annotate.Error(&err, "listen on %s", address)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s = &Server{options: o, cancel: func() {}}
	s.http = &http.Server{Handler: s.leaving(handler), MaxHeaderBytes: o.MaxHeader}
	s.conns = clientconn.New(l, func() clientconn.Limits {
		return clientconn.Limits{Idle: idleTimeout, Header: o.HeaderTimeout}
	})
	s.conns.Attach(s.http)
	return s, nil
}

// leaving asks the client of a stopping server to leave its connection, which ends after the answer.
func (s *Server) leaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopped.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Address is the IP number and port that the server listens on.
func (s *Server) Address() string { return s.conns.Addr().String() }

// Start serves in the background.
func (s *Server) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { background.Every(ctx, s.sweepPeriod(), s.conns.Sweep) })
	go s.serve(s.conns)
	return nil
}

// sweepPeriod lets a late header, which is found at the second look, end its connection within twice its time.
func (s *Server) sweepPeriod() time.Duration {
	if t := s.options.HeaderTimeout; t > 0 {
		return max(min(t/2, sweepEvery), sweepOftenest)
	}
	return sweepEvery
}

func (s *Server) serve(l net.Listener) {
	if s.options.TLS != nil {
		l = tls.NewListener(l, s.options.TLS)
	}
	err := s.http.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.stopped.Load() {
		panic("httpserver: " + err.Error())
	}
}

// Stop takes no new connections, ends those without a request, lets requests that are being read or served end, and cuts
// what is left when the context ends. http.Server's Shutdown would not do: it ends connections on which a request is being
// read, and drops requests that it has read.
func (s *Server) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop server on %s", s.Address())
	s.stopped.Store(true)
	err = s.drain(ctx)
	s.cancel()
	s.running.Stop()
	_ = s.http.Close()
	return err
}

func (s *Server) drain(ctx context.Context) (err error) {
	if s.options.StopWithin == 0 {
		return s.conns.Stop(ctx)
	}
	within, cancel := context.WithTimeout(ctx, s.options.StopWithin)
	defer cancel()
	_ = s.conns.Stop(within)
	return ctx.Err()
}

// Refuse takes no new connections from now on; what there are go on.
func (s *Server) Refuse() {
	s.stopped.Store(true)
	_ = s.conns.Close()
}

// Kill cuts everything at once, as the loss of the VM would.
func (s *Server) Kill() {
	s.Refuse()
	s.cancel()
	_ = s.http.Close()
}
