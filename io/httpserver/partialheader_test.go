package httpserver

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// partialServer is a server whose reads from sockets are counted. Its handler responds at once, and goes on with a
// request for holdPath until it is released.
type partialServer struct {
	*Server
	received atomic.Int64
	release  chan struct{}
}

const (
	holdPath    = "/hold"
	partialBody = "ok"
	holdRequest = "GET " + holdPath + " HTTP/1.1\r\nHost: x\r\n\r\n"
	nextRequest = "GET / HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n\r\n"
)

func (s *partialServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(len(partialBody)))
	_, _ = io.WriteString(w, partialBody)
	_ = http.NewResponseController(w).Flush()
	if r.URL.Path == holdPath {
		<-s.release
	}
}

type countingListener struct {
	net.Listener
	s *partialServer
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, s: l.s}, nil
}

type countingConn struct {
	net.Conn
	s *partialServer
}

func (c *countingConn) NetConn() net.Conn { return c.Conn }

func (c *countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.s.received.Add(int64(n))
	return n, err
}

func newPartialServer(t *testing.T, o Options) (s *partialServer) {
	t.Helper()
	s = &partialServer{release: make(chan struct{})}
	var err error
	s.Server, err = New("127.0.0.1:0", s, o)
	assert.NilError(t, err)
	t.Cleanup(s.Kill)
	go s.serve(countingListener{s.conns, s})
	return s
}

// cuttingConn is a client's socket that can withhold what is written after a number of bytes.
type cuttingConn struct {
	net.Conn
	sent *atomic.Int64
	// cutAfter is how many bytes of the next write are sent; if negative, all. rest is what was withheld.
	cutAfter int
	rest     []byte
}

func (c *cuttingConn) Write(p []byte) (n int, err error) {
	now := p
	if c.cutAfter >= 0 {
		cut := min(c.cutAfter, len(p))
		now, c.rest, c.cutAfter = p[:cut], append(c.rest, p[cut:]...), -1
	}
	n, err = c.Conn.Write(now)
	c.sent.Add(int64(n))
	if err != nil {
		return n, err
	}
	return len(p), nil
}

// partialClient is a client that sends a request in two parts.
type partialClient struct {
	net.Conn
	socket *cuttingConn
	r      *bufio.Reader
	second string
}

func dialPartial(s *partialServer, sent *atomic.Int64) (c *partialClient, err error) {
	raw, err := net.Dial("tcp", s.Address())
	if err != nil {
		return nil, err
	}
	c = &partialClient{socket: &cuttingConn{Conn: raw, sent: sent, cutAfter: -1}}
	c.Conn = c.socket
	if s.options.TLS != nil {
		secured := tls.Client(c.socket, &tls.Config{InsecureSkipVerify: true})
		c.Conn, err = secured, secured.Handshake()
	}
	c.r = bufio.NewReader(c.Conn)
	return c, err
}

// response reads a complete response.
func (c *partialClient) response() (err error) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != partialBody) {
		err = fmt.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	return err
}

func (c *partialClient) exchange(request string) (err error) {
	_, err = io.WriteString(c, request)
	if err != nil {
		return err
	}
	return c.response()
}

// sendRest sends what is missing of the request.
func (c *partialClient) sendRest() (err error) {
	_, err = c.socket.Write(c.socket.rest)
	if err == nil && c.second != "" {
		_, err = io.WriteString(c, c.second)
	}
	return err
}

// firstParts are the ways in which a client can have sent a part of a request, each for every position of the cut.
var firstParts = map[string]func(c *partialClient, cut int) error{
	"new connection": func(c *partialClient, cut int) (err error) { return c.sendPart("", cut) },
	"kept connection": func(c *partialClient, cut int) (err error) {
		err = c.exchange(nextRequest)
		if err == nil {
			err = c.sendPart("", cut)
		}
		return err
	},
	"while the previous request is served": func(c *partialClient, cut int) (err error) {
		err = c.exchange(holdRequest)
		if err == nil {
			err = c.sendPart("", cut)
		}
		return err
	},
	"with the previous request": func(c *partialClient, cut int) (err error) {
		err = c.sendPart(nextRequest, cut)
		if err == nil {
			err = c.response()
		}
		return err
	},
	"cut in a packet": func(c *partialClient, cut int) (err error) {
		err = c.exchange(nextRequest)
		c.socket.cutAfter = cut
		if err == nil {
			_, err = io.WriteString(c, nextRequest)
		}
		return err
	},
	"cut in a packet while the previous request is served": func(c *partialClient, cut int) (err error) {
		err = c.exchange(holdRequest)
		c.socket.cutAfter = cut
		if err == nil {
			_, err = io.WriteString(c, nextRequest)
		}
		return err
	},
}

// sendPart sends the request up to the cut, after a complete one if that is not empty.
func (c *partialClient) sendPart(before string, cut int) (err error) {
	c.second = nextRequest[cut:]
	_, err = io.WriteString(c, before+nextRequest[:cut])
	return err
}

// partialClients connects one client for each position of the cut, and returns when the server has read all that they
// have sent.
func partialClients(t *testing.T, s *partialServer, send func(c *partialClient, cut int) error) (clients []*partialClient) {
	t.Helper()
	var sent atomic.Int64
	var running sync.WaitGroup
	clients = make([]*partialClient, len(nextRequest)-1)
	for i := range clients {
		running.Go(func() {
			c, err := dialPartial(s, &sent)
			clients[i] = c
			if assert.Check(t, err) {
				t.Cleanup(func() { _ = c.socket.Close() })
				assert.Check(t, send(c, i+1))
			}
		})
	}
	running.Wait()
	assert.Assert(t, !t.Failed())
	if s.options.TLS == nil {
		// While net/http serves a request, it reads one byte.
		s.awaitReceived(t, min(sent.Load(), int64(len(clients)*(len(holdRequest)+1))))
	} else {
		s.awaitReceived(t, sent.Load())
	}
	close(s.release)
	s.awaitReceived(t, sent.Load())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.conns.Counts().Serving(); n > 0 {
			return poll.Continue("%d requests are being served", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	return clients
}

// awaitReceived waits until the server has read n bytes from all its sockets.
func (s *partialServer) awaitReceived(t *testing.T, n int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if received := s.received.Load(); received < n {
			return poll.Continue("%d of %d bytes received", received, n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against closing a connection on which a part of a request has been read, wherever the part ends and whenever it
// arrived.
func TestPartialRequestKeepsConnection(t *testing.T) {
	// longer is more than a stop waits for connections without a request.
	const longer = 1500 * time.Millisecond
	closings := map[string]func(s *partialServer){
		"stop": func(s *partialServer) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			go func() {
				defer cancel()
				_ = s.Stop(ctx)
			}()
			time.Sleep(longer)
		},
		"idle timeout": func(s *partialServer) { s.conns.Sweep(time.Now().Add(2 * idleTimeout)) },
	}
	for how, send := range firstParts {
		for _, encrypted := range []string{"plain", "TLS"} {
			for event, closing := range closings {
				t.Run(how+", "+encrypted+", "+event, func(t *testing.T) {
					t.Parallel()
					o := Options{}
					if encrypted == "TLS" {
						o.TLS = selfSigned(t)
					}
					s := newPartialServer(t, o)
					clients := partialClients(t, s, send)
					closing(s)
					for i, c := range clients {
						assert.Check(t, c.sendRest(), "%d bytes sent", i+1)
						assert.Check(t, c.response(), "%d bytes sent", i+1)
					}
				})
			}
		}
	}
}
