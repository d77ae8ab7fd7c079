package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/io/resetconn"
)

const (
	// requestTimeout limits how long a new connection may take to show what it is.
	requestTimeout = 2 * time.Second
	// maxTunnels limits the tunnels that a router carries. Each takes two connections and about 24 KB.
	maxTunnels = 512
	// writeTimeout limits a write to a peer that does not read.
	writeTimeout = 10 * time.Second
)

// keepAlive and its counterpart on the connections to endpoints end tunnels whose other end no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Server is the far end of other routers' tunnels.
type Server struct {
	// Connect connects to the endpoint by itself. It returns a Refusal if it must not.
	Connect func(ctx context.Context, endpoint string) (net.Conn, error)
	// FromRouter reports whether a router runs at the host, an IP address.
	FromRouter func(host string) bool
	// OnRefused is called with the reason for each tunnel that is refused.
	OnRefused func(r Refusal)

	mu       sync.Mutex
	open     map[net.Conn]bool
	stopping bool
	total    uint64
	bytes    atomic.Uint64
	// idle is closed when the last tunnel of a server that is stopping has ended.
	idle chan struct{}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Total returns the number of tunnels opened so far.
func (s *Server) Total() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Bytes returns the number of bytes that tunnels have carried, in both directions.
func (s *Server) Bytes() uint64 { return s.bytes.Load() }

// RefuseNew refuses further tunnels. Those that are open go on.
func (s *Server) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Wait waits until no tunnel is open or the context ends, and then closes the rest.
func (s *Server) Wait(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	if len(s.open) > 0 && s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		reset(c)
	}
}

// begin counts a tunnel, or returns why there may be none.
func (s *Server) begin(c net.Conn) (refusal Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return Stopping
	case len(s.open) >= maxTunnels:
		return Busy
	}
	if s.open == nil {
		s.open = map[net.Conn]bool{}
	}
	s.open[c] = true
	s.total++
	return ""
}

func (s *Server) end(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	if len(s.open) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// serve serves the connection, which begins with a request line.
func (s *Server) serve(raw net.Conn, r *bufio.Reader) {
	defer func() { _ = raw.Close() }()
	line, err := readLine(r)
	if err != nil {
		return
	}
	endpoint := strings.TrimPrefix(line, preface)
	refusal := s.begin(raw)
	if refusal == "" {
		defer s.end(raw)
		refusal = s.carry(raw, r, endpoint)
	}
	if refusal != "" {
		s.OnRefused(refusal)
		_, _ = raw.Write(encodeLine(string(refusal)))
	}
}

// carry connects to the endpoint and passes on bytes until one side ends, unless it refuses.
func (s *Server) carry(raw net.Conn, r *bufio.Reader, endpoint string) (refusal Refusal) {
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	if !s.FromRouter(host) {
		return NotARouter
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	to, err := s.Connect(ctx, endpoint)
	if err != nil {
		if errors.As(err, &refusal) {
			return refusal
		}
		return Unreachable
	}
	defer func() { _ = to.Close() }()
	to = resetconn.New(to)
	_, err = raw.Write(encodeLine(accepted))
	if err != nil {
		return ""
	}
	_ = raw.SetDeadline(time.Time{})
	go func() {
		s.copyRequest(to, r)
		// The router has received all it wants, or has left. Either ends the exchange with the endpoint.
		_ = to.Close()
	}()
	s.copyResponse(raw, to)
	return ""
}

// copyRequest passes on the router's bytes until it closes the tunnel.
func (s *Server) copyRequest(to net.Conn, from *bufio.Reader) {
	buf := make([]byte, maxFrame)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			_ = to.SetWriteDeadline(time.Now().Add(writeTimeout))
			s.bytes.Add(uint64(n))
			_, writeErr := to.Write(buf[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyResponse passes on the endpoint's bytes in frames. If its connection breaks, the tunnel is reset.
func (s *Server) copyResponse(to, from net.Conn) {
	buf := make([]byte, frameHeaderLength+maxFrame)
	for {
		n, err := from.Read(buf[frameHeaderLength:])
		s.bytes.Add(uint64(n))
		if n > 0 && !writeFrame(to, buf[:frameHeaderLength+n]) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			writeFrame(to, buf[:frameHeaderLength])
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// writeFrame writes a frame whose content follows the space for the header.
func writeFrame(to net.Conn, frame []byte) (ok bool) {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-frameHeaderLength))
	_ = to.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := to.Write(frame)
	return err == nil
}

// reset closes a connection so that its peer does not take the end for an orderly one.
func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
