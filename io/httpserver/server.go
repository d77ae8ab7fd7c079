package httpserver

import (
	"cmp"
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
	conns      *clientconn.Set
	http       *http.Server
	options    Options
	stopped    atomic.Bool
	goroutines background.Group
	cancel     context.CancelFunc
}

// Options limit what a client may do. A zero field is no limit, but for MaxHeaderBytes.
type Options struct {
	// MaxHeaderBytes is how many bytes a request may have before its body, 0 for a default, and HeaderTimeout how long they may take.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// ConnectionBytes and Descriptors are what all connections together may take.
	ConnectionBytes int64
	Descriptors     int
	// WriteTimeout is how long a client may take to read a response, from its request on.
	WriteTimeout time.Duration
	TLS          *tls.Config
	// StopTimeout limits the duration of Stop if its context is shared with more important servers; 0 means no limit.
	// Closing connections at this limit is not reported as an error of Stop.
	StopTimeout time.Duration
}

const (
	idleTimeout = 2 * time.Minute
	// maxSweepPeriod and minSweepPeriod limit the period of the sweep for connections that are idle or late with a
	// header.
	maxSweepPeriod        = time.Second
	minSweepPeriod        = 10 * time.Millisecond
	defaultMaxHeaderBytes = 1 << 20
	// The limits of Auxiliary. A connection without a request takes 24 KB, with TLS 48 KB.
	auxiliaryHeaderBytes     = 32 << 10
	auxiliaryHeaderTimeout   = 10 * time.Second
	auxiliaryConnectionBytes = 2 << 20
	auxiliaryDescriptors     = 64
	auxiliaryWriteTimeout    = time.Minute
)

// New binds the address immediately, so that it is known before the server starts.
func New(address string, handler http.Handler, o Options) (s *Server, err error) {
	defer annotate.Error(&err, "listen on %s", address)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	s = &Server{options: o, cancel: func() {}}
	s.http = &http.Server{Handler: s.closeWhenStopping(handler), WriteTimeout: o.WriteTimeout}
	s.conns = clientconn.New(l, func() clientconn.Limits {
		return clientconn.Limits{Idle: idleTimeout, HeaderTimeout: o.HeaderTimeout, HeadBytes: o.MaxHeaderBytes}
	})
	s.conns.Budget().SetLimits(o.ConnectionBytes, o.Descriptors)
	if o.TLS != nil {
		s.conns.Budget().SetSecure()
	}
	s.conns.Attach(s.http)
	return s, nil
}

// Auxiliary returns the options with limits for a server that few clients use, such as one for metrics, where they set none.
func (o Options) Auxiliary() Options {
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, auxiliaryHeaderBytes)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, auxiliaryHeaderTimeout)
	o.ConnectionBytes = cmp.Or(o.ConnectionBytes, auxiliaryConnectionBytes)
	o.Descriptors = cmp.Or(o.Descriptors, auxiliaryDescriptors)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, auxiliaryWriteTimeout)
	return o
}

// closeWhenStopping asks clients of a stopping server to close their connections after the response.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopped.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.conns.Addr().String() }

// Connections returns the set of connections.
func (s *Server) Connections() *clientconn.Set { return s.conns }

// Start serves in the background.
func (s *Server) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.goroutines.Go(func() { background.Every(ctx, s.sweepPeriod(), s.conns.Sweep) })
	go s.serve(s.conns)
	return nil
}

// sweepPeriod returns the period of the sweep. A late header is detected by the second sweep, so half the timeout ends
// its connection within twice the timeout.
func (s *Server) sweepPeriod() time.Duration {
	if headerTimeout := s.options.HeaderTimeout; headerTimeout > 0 {
		return max(min(headerTimeout/2, maxSweepPeriod), minSweepPeriod)
	}
	return maxSweepPeriod
}

func (s *Server) serve(l net.Listener) {
	if s.options.TLS != nil {
		l = clientconn.NewTLSListener(l, s.options.TLS)
	}
	err := s.http.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.stopped.Load() {
		panic("httpserver: " + err.Error())
	}
}

// Stop accepts no new connections, closes those without a request, lets requests that are being read or served finish,
// and closes the remaining connections when the context ends. Shutdown of http.Server is not used because it closes
// connections on which a request is being read, and drops requests that it has read.
func (s *Server) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop server on %s", s.Address())
	s.stopped.Store(true)
	err = s.drain(ctx)
	s.cancel()
	s.goroutines.Stop()
	_ = s.http.Close()
	return err
}

func (s *Server) drain(ctx context.Context) (err error) {
	if s.options.StopTimeout == 0 {
		return s.conns.Stop(ctx)
	}
	within, cancel := context.WithTimeout(ctx, s.options.StopTimeout)
	defer cancel()
	_ = s.conns.Stop(within)
	return ctx.Err()
}

// StopAccepting accepts no new connections from now on. Existing connections stay open.
func (s *Server) StopAccepting() {
	s.stopped.Store(true)
	_ = s.conns.Close()
}

// Kill closes everything at once, as if the VM were lost.
func (s *Server) Kill() {
	s.StopAccepting()
	s.cancel()
	_ = s.http.Close()
}
