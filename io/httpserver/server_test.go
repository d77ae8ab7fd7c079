package httpserver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testServer is a server that counts the requests its handler has seen.
type testServer struct {
	*Server
	handled atomic.Int64
	// hold blocks the handler until it is closed.
	hold chan struct{}
	// onRead is called once, when a read has returned bytes that net/http has not processed yet. At this point a
	// goroutine can be delayed for as long as its VM gets no CPU time.
	onRead atomic.Pointer[func()]
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	s.handled.Add(1)
	<-s.hold
	w.WriteHeader(http.StatusOK)
}

func newTestServer(t *testing.T, o Options) (s *testServer) {
	t.Helper()
	s = &testServer{hold: make(chan struct{})}
	close(s.hold)
	var err error
	s.Server, err = New("127.0.0.1:0", s, o)
	assert.NilError(t, err)
	t.Cleanup(s.Kill)
	return s
}

// serveHooked serves without the sweep for idle connections, and with the hook onRead.
func (s *testServer) serveHooked() { go s.serve(hookedListener{s.conns, s}) }

type hookedListener struct {
	net.Listener
	s *testServer
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: c, s: l.s}, nil
}

type hookedConn struct {
	net.Conn
	s *testServer
}

// NetConn returns the underlying connection, like the method of tls.Conn.
func (c *hookedConn) NetConn() net.Conn { return c.Conn }

func (c *hookedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	hook := c.s.onRead.Load()
	if n > 0 && hook != nil && c.s.onRead.CompareAndSwap(hook, nil) {
		(*hook)()
	}
	return n, err
}

const testRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

// client is one client connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial(t *testing.T) (c *client) {
	t.Helper()
	raw, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	if s.options.TLS != nil {
		secured := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
		assert.NilError(t, secured.Handshake())
		raw = secured
	}
	// The server must have read the rest of the TLS handshake before a test sets its hook.
	time.Sleep(settleTime)
	return &client{raw, bufio.NewReader(raw)}
}

// settleTime is how long tests wait for the server to read what was sent.
const settleTime = 50 * time.Millisecond

// roundTrip sends a first request on the connection and reads the response.
func (c *client) roundTrip(t *testing.T) {
	t.Helper()
	_, _ = io.WriteString(c, testRequest)
	status, closing, err := c.readResponse()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !closing)
}

// readResponse returns the status of a complete response, or an error if none arrives within 5 s.
func (c *client) readResponse() (status int, closing bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Close, err
}

// stop stops the server in the background and sends how long that took.
func (s *testServer) stop(t *testing.T, within time.Duration) (stopped chan time.Duration) {
	stopped = make(chan time.Duration, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		start := time.Now()
		err := s.Stop(ctx)
		if err != nil {
			t.Errorf("stop: %v", err)
		}
		stopped <- time.Since(start)
	}()
	return stopped
}

// selfSigned returns a TLS configuration with a self-signed certificate.
func selfSigned(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MinVersion: tls.VersionTLS12}
}

// forEachConnection runs a test on plain and TLS connections, both new ones and ones kept alive after a response.
func forEachConnection(t *testing.T, run func(t *testing.T, s *testServer, c *client)) {
	for _, encrypted := range []string{"plain", "TLS"} {
		for _, age := range []string{"new", "kept"} {
			t.Run(encrypted+" "+age, func(t *testing.T) {
				o := Options{HeaderTimeout: 10 * time.Second}
				if encrypted == "TLS" {
					o.TLS = selfSigned(t)
				}
				s := newTestServer(t, o)
				s.serveHooked()
				c := s.dial(t)
				if age == "kept" {
					c.roundTrip(t)
				}
				run(t, s, c)
			})
		}
	}
}

// Guards against a planned stop that drops a request: the request has been read completely from the socket, but its
// goroutine has not continued because the VM gets no CPU time for a moment. Shutdown of net/http drops such a request,
// on new and on keep-alive connections, and the client sees only a closed connection, with no log line and no metric.
func TestStopServesCompletelyReadRequests(t *testing.T) {
	forEachConnection(t, func(t *testing.T, s *testServer, c *client) {
		before := s.handled.Load()
		stopped := make(chan chan time.Duration, 1)
		const standstill = 1500 * time.Millisecond
		hook := func() {
			stopped <- s.stop(t, 5*time.Second)
			time.Sleep(standstill)
		}
		s.onRead.Store(&hook)
		_, _ = io.WriteString(c, testRequest)
		status, closing, err := c.readResponse()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, closing, "the response does not ask the client to close the connection")
		assert.Equal(t, s.handled.Load()-before, int64(1))
		assert.Assert(t, <-<-stopped < standstill+time.Second)
	})
}

// Guards against closing a connection on which half of a request's header has arrived when the server stops. Shutdown
// closed it as idle.
func TestStopWaitsForPartialHeader(t *testing.T) {
	forEachConnection(t, func(t *testing.T, s *testServer, c *client) {
		const half = 30
		_, _ = io.WriteString(c, testRequest[:half])
		time.Sleep(settleTime)
		stopped := s.stop(t, 5*time.Second)
		time.Sleep(settleTime)
		_, _ = io.WriteString(c, testRequest[half:])
		status, _, err := c.readResponse()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, <-stopped < time.Second)
	})
}

// A planned stop must not wait for connections without a request: a keep-alive connection is closed at once, and a new
// one, even if it has only completed its TLS handshake, when its client has had time to send a request.
func TestStopDoesNotWaitForConnectionsWithoutARequest(t *testing.T) {
	forEachConnection(t, func(t *testing.T, s *testServer, c *client) {
		const enough = 2 * time.Second
		assert.Assert(t, <-s.stop(t, 10*time.Second) < enough)
		_, _, err := c.readResponse()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// If the handler does not respond before the context of Stop ends, the connection is closed and Stop returns the error.
func TestStopClosesConnectionsWhenContextEnds(t *testing.T) {
	s := newTestServer(t, Options{})
	s.hold = make(chan struct{})
	defer close(s.hold)
	s.serveHooked()
	c := s.dial(t)
	_, _ = io.WriteString(c, testRequest)
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded)
	_, _, err := c.readResponse()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A client that does not finish its header is disconnected when StopTimeout has passed, although the context allows
// more time. That is not an error of Stop.
func TestStopTimeoutIsNotAnError(t *testing.T) {
	s := newTestServer(t, Options{StopTimeout: 200 * time.Millisecond})
	s.serveHooked()
	c := s.dial(t)
	_, _ = io.WriteString(c, testRequest[:30])
	time.Sleep(settleTime)
	assert.Assert(t, <-s.stop(t, 10*time.Second) < time.Second)
	_, _, err := c.readResponse()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A client that does not finish its header, or is silent after the TLS handshake, is disconnected soon after the header
// timeout.
func TestHeaderTimeoutClosesConnection(t *testing.T) {
	const limit = 200 * time.Millisecond
	for name, partial := range map[string]string{"plain": "POST / HTTP/1.1\r\n", "TLS": ""} {
		t.Run(name, func(t *testing.T) {
			o := Options{HeaderTimeout: limit}
			if name == "TLS" {
				o.TLS = selfSigned(t)
			}
			s := newTestServer(t, o)
			assert.NilError(t, s.Start(t.Context()))
			start := time.Now()
			c := s.dial(t)
			_, _ = io.WriteString(c, partial)
			_, _, err := c.readResponse()
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			elapsed := time.Since(start)
			assert.Assert(t, elapsed > limit && elapsed < 5*limit, "%v", elapsed)
			assert.NilError(t, s.Stop(t.Context()))
		})
	}
}

// A client that sends a request without TLS to a TLS server must be told so, and a handler must see the state of TLS.
func TestTLSIsVisible(t *testing.T) {
	var state atomic.Pointer[tls.ConnectionState]
	s, err := New("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { state.Store(r.TLS) }), Options{TLS: selfSigned(t)})
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(s.Kill)
	plain, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = plain.Close() }()
	_, err = io.WriteString(plain, testRequest)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(plain), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	defer client.CloseIdleConnections()
	resp, err = client.Get("https://" + s.Address())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, state.Load() != nil && state.Load().HandshakeComplete)
}
