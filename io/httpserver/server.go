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
)

// Server serves one handler on one address.
type Server struct {
	listener net.Listener
	http     *http.Server
	tls      *tls.Config
	stopped  atomic.Bool
}

// Options bound what a client may do; a zero field means the default of net/http.
type Options struct {
	MaxHeader     int
	HeaderTimeout time.Duration
	TLS           *tls.Config
}

const idleTimeout = 2 * time.Minute

// New takes the address at once, so that it is known before the server starts.
func New(address string, handler http.Handler, o Options) (s *Server, err error) {
	defer annotate.Error(&err, "listen on %s", address)
	s = &Server{tls: o.TLS, http: &http.Server{
		Handler: handler, MaxHeaderBytes: o.MaxHeader, ReadHeaderTimeout: o.HeaderTimeout, IdleTimeout: idleTimeout,
	}}
	s.listener, err = net.Listen("tcp", address)
	return s, err
}

// Address is the IP number and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves in the background.
func (s *Server) Start(context.Context) error {
	l := s.listener
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	go func() {
		err := s.http.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.stopped.Load() {
			panic("httpserver: " + err.Error())
		}
	}()
	return nil
}

// Stop takes no new connections, lets requests in flight end, and cuts what is left when the context ends.
func (s *Server) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop server on %s", s.Address())
	s.stopped.Store(true)
	err = s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	return err
}

// Kill cuts everything at once, as the loss of the VM would.
func (s *Server) Kill() {
	s.stopped.Store(true)
	_ = s.http.Close()
}
