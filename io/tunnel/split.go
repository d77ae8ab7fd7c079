package tunnel

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// Split serves the tunnels among the connections of the listener, and returns a listener for the others.
func (s *Server) Split(l net.Listener) net.Listener {
	split := &splitListener{Listener: l, server: s, others: make(chan net.Conn), failed: make(chan error), closed: make(chan struct{})}
	go split.acceptAll()
	return split
}

// splitListener is a listener for the connections that are no tunnels.
type splitListener struct {
	net.Listener
	server *Server
	others chan net.Conn
	failed chan error
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection that is no tunnel.
func (l *splitListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.others:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Open tunnels go on.
func (l *splitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *splitListener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			go l.route(c)
			continue
		}
		// The receiver decides how long to wait after an error.
		select {
		case l.failed <- err:
		case <-l.closed:
			return
		}
	}
}

// route serves the connection if it begins as a tunnel, and hands it to the receiver of the others if not.
func (l *splitListener) route(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	r := bufio.NewReaderSize(c, maxFrame)
	isTunnel, err := startsWithPreface(r)
	if err != nil {
		_ = c.Close()
		return
	}
	if isTunnel {
		if tcp, is := c.(*net.TCPConn); is {
			_ = tcp.SetKeepAliveConfig(keepAlive)
		}
		l.server.serve(c, r)
		return
	}
	_ = c.SetDeadline(time.Time{})
	select {
	case l.others <- &readAheadConn{Conn: c, r: r}:
	case <-l.closed:
		_ = c.Close()
	}
}

// readAheadConn is a connection of which the first bytes have been read into r.
type readAheadConn struct {
	net.Conn
	r *bufio.Reader
}

func (c *readAheadConn) Read(p []byte) (n int, err error) { return c.r.Read(p) }
