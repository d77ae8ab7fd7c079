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

// rig is a server, and what its handler has seen.
type rig struct {
	*Server
	handled atomic.Int64
	// hold keeps the handler from answering until it is closed.
	hold chan struct{}
	// onRead is called once, when a read has returned bytes that net/http has not seen yet: there a goroutine may stand
	// still for as long as its VM does.
	onRead atomic.Pointer[func()]
}

func (s *rig) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	s.handled.Add(1)
	<-s.hold
	w.WriteHeader(http.StatusOK)
}

func newRig(t *testing.T, o Options) (s *rig) {
	t.Helper()
	s = &rig{hold: make(chan struct{})}
	close(s.hold)
	var err error
	s.Server, err = New("127.0.0.1:0", s, o)
	assert.NilError(t, err)
	t.Cleanup(s.Kill)
	return s
}

// startHooked serves without the look for idle connections, and with the hook.
func (s *rig) startHooked() { go s.serve(hooked{s.conns, s}) }

type hooked struct {
	net.Listener
	s *rig
}

func (l hooked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: c, s: l.s}, nil
}

type hookedConn struct {
	net.Conn
	s *rig
}

// NetConn is the connection below, as tls.Conn has it.
func (c *hookedConn) NetConn() net.Conn { return c.Conn }

func (c *hookedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	hook := c.s.onRead.Load()
	if n > 0 && hook != nil && c.s.onRead.CompareAndSwap(hook, nil) {
		(*hook)()
	}
	return n, err
}

const request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

// client is one connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *rig) dial(t *testing.T) (c *client) {
	t.Helper()
	raw, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	if s.options.TLS != nil {
		secured := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
		assert.NilError(t, secured.Handshake())
		raw = secured
	}
	// What the client has sent of its handshake must be read before a test's hook is set.
	time.Sleep(settle)
	return &client{raw, bufio.NewReader(raw)}
}

// settle is for how long tests let the server read what was sent.
const settle = 50 * time.Millisecond

// keep lets a first request be served.
func (c *client) keep(t *testing.T) {
	t.Helper()
	_, _ = io.WriteString(c, request)
	status, closing, err := c.answer()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !closing)
}

// answer is what the client gets within a few seconds: the status of a whole answer, or an error.
func (c *client) answer() (status int, closing bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Close, err
}

// stop stops the server, and tells how long that took.
func (s *rig) stop(t *testing.T, within time.Duration) (stopped chan time.Duration) {
	stopped = make(chan time.Duration, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		began := time.Now()
		err := s.Stop(ctx)
		if err != nil {
			t.Errorf("stop: %v", err)
		}
		stopped <- time.Since(began)
	}()
	return stopped
}

// certificate is one for tests.
func certificate(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MinVersion: tls.VersionTLS12}
}

// eachWay runs a test on plain and on encrypted connections, new ones and such that were kept after an answer.
func eachWay(t *testing.T, run func(t *testing.T, s *rig, c *client)) {
	for _, encrypted := range []string{"plain", "TLS"} {
		for _, age := range []string{"new", "kept"} {
			t.Run(encrypted+" "+age, func(t *testing.T) {
				o := Options{HeaderTimeout: 10 * time.Second}
				if encrypted == "TLS" {
					o.TLS = certificate(t)
				}
				s := newRig(t, o)
				s.startHooked()
				c := s.dial(t)
				if age == "kept" {
					c.keep(t)
				}
				run(t, s, c)
			})
		}
	}
}

// A server stops as planned. A client's request has been read from the kernel, whole, and its goroutine has not run on: the
// VM's core is taken away for a moment. net/http's Shutdown drops it, on a new connection as on a kept one, and the client
// gets a bare close, with no log line and no metric.
func TestStopServesWhatItHasRead(t *testing.T) {
	eachWay(t, func(t *testing.T, s *rig, c *client) {
		before := s.handled.Load()
		stopped := make(chan chan time.Duration, 1)
		const standstill = 1500 * time.Millisecond
		hook := func() {
			stopped <- s.stop(t, 5*time.Second)
			time.Sleep(standstill)
		}
		s.onRead.Store(&hook)
		_, _ = io.WriteString(c, request)
		status, closing, err := c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, closing, "the client is not asked to leave")
		assert.Equal(t, s.handled.Load()-before, int64(1))
		assert.Assert(t, <-<-stopped < standstill+time.Second)
	})
}

// A client is sending a request when the server stops: half of its header has come. Shutdown ended its connection as idle.
func TestStopWaitsForARequestThatIsBeingRead(t *testing.T) {
	eachWay(t, func(t *testing.T, s *rig, c *client) {
		const half = 30
		_, _ = io.WriteString(c, request[:half])
		time.Sleep(settle)
		stopped := s.stop(t, 5*time.Second)
		time.Sleep(settle)
		_, _ = io.WriteString(c, request[half:])
		status, _, err := c.answer()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, <-stopped < time.Second)
	})
}

// Nobody has asked for anything: a kept connection ends at once, and a new one, also one that has only shaken hands, when its
// client has had the time to ask. A planned stop must not wait for its end.
func TestStopDoesNotWaitForConnectionsWithoutARequest(t *testing.T) {
	eachWay(t, func(t *testing.T, s *rig, c *client) {
		const enough = 2 * time.Second
		assert.Assert(t, <-s.stop(t, 10*time.Second) < enough)
		_, _, err := c.answer()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// The handler does not answer within the time of the stop. The client is cut, and the server says so.
func TestStopCutsInTheEnd(t *testing.T) {
	s := newRig(t, Options{})
	s.hold = make(chan struct{})
	defer close(s.hold)
	s.startHooked()
	c := s.dial(t)
	_, _ = io.WriteString(c, request)
	time.Sleep(settle)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded)
	_, _, err := c.answer()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A client does not end its header when a server is stopped whose context is meant for another. It is cut by the server's own
// bound, which is no failure of the stop.
func TestStopEndsWithinItsOwnBound(t *testing.T) {
	s := newRig(t, Options{StopWithin: 200 * time.Millisecond})
	s.startHooked()
	c := s.dial(t)
	_, _ = io.WriteString(c, request[:30])
	time.Sleep(settle)
	assert.Assert(t, <-s.stop(t, 10*time.Second) < time.Second)
	_, _, err := c.answer()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A client does not end its header, or shakes hands and is silent. Its connection ends soon after the time for a header.
func TestLateHeaderEndsItsConnection(t *testing.T) {
	const limit = 200 * time.Millisecond
	for name, text := range map[string]string{"plain": "POST / HTTP/1.1\r\n", "TLS": ""} {
		t.Run(name, func(t *testing.T) {
			o := Options{HeaderTimeout: limit}
			if name == "TLS" {
				o.TLS = certificate(t)
			}
			s := newRig(t, o)
			assert.NilError(t, s.Start(t.Context()))
			began := time.Now()
			c := s.dial(t)
			_, _ = io.WriteString(c, text)
			_, _, err := c.answer()
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			took := time.Since(began)
			assert.Assert(t, took > limit && took < 5*limit, "%v", took)
			assert.NilError(t, s.Stop(t.Context()))
		})
	}
}
