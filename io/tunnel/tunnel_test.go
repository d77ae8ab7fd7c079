package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fixture is a router that carries tunnels to an endpoint.
type fixture struct {
	t        *testing.T
	server   *Server
	listener net.Listener
	endpoint net.Listener
}

// newFixture starts a router, and an endpoint whose connections are handled by handle.
func newFixture(t *testing.T, handle func(c *net.TCPConn)) *fixture {
	f := &fixture{t: t}
	f.endpoint = listen(t)
	go func() {
		for {
			c, err := f.endpoint.Accept()
			if err != nil {
				return
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	f.server = &Server{
		Connect: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp4", address)
		},
		FromRouter: func(host string) bool { return host == "127.0.0.1" }, OnRefused: func(Refusal) {},
	}
	f.listener = f.server.Split(listen(t))
	return f
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (f *fixture) dialRouter() net.Conn {
	raw, err := net.Dial("tcp4", f.listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = raw.Close() })
	return raw
}

func (f *fixture) open() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	return Dial(ctx, f.dialRouter(), f.endpoint.Addr().String())
}

func (f *fixture) mustOpen() net.Conn {
	c, err := f.open()
	assert.NilError(f.t, err)
	return c
}

func (f *fixture) waitForNoneOpen() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.server.Open() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d tunnels are open", f.server.Open())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// echo answers with the bytes that it gets, in pieces, and then closes the connection.
func echo(limit int) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.CopyN(c, c, int64(limit))
		_ = c.Close()
	}
}

// Guards against bytes that are lost, added or reordered on the way, and tunnels that stay behind.
func TestTunnelCarriesBytesBothWays(t *testing.T) {
	const size = 3<<20 + 17
	f := newFixture(t, echo(size))
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 31 >> 3)
	}
	c := f.mustOpen()
	go func() { _, _ = c.Write(sent) }()
	received, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, string(received) == string(sent))
	_ = c.Close()
	f.waitForNoneOpen()
	assert.Equal(t, f.server.Total(), uint64(1))
	assert.Equal(t, f.server.Bytes(), uint64(2*size))
}

// Guards against a truncated response that looks like one whose end was reached.
func TestBrokenTunnelDoesNotLookComplete(t *testing.T) {
	for name, end := range map[string]func(f *fixture, endpoint *net.TCPConn, tunneled net.Conn){
		"endpoint resets":        func(_ *fixture, c *net.TCPConn, _ net.Conn) { reset(c) },
		"router closes forcibly": func(f *fixture, _ *net.TCPConn, _ net.Conn) { f.server.Wait(canceled()) },
		"router is killed": func(f *fixture, _ *net.TCPConn, _ net.Conn) {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			for raw := range f.server.open {
				_ = raw.(*net.TCPConn).CloseWrite()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var endpoint *net.TCPConn
			accepted := make(chan bool)
			f := newFixture(t, func(c *net.TCPConn) {
				endpoint = c
				_, _ = c.Write([]byte("half"))
				close(accepted)
			})
			c := f.mustOpen()
			<-accepted
			_, err := io.ReadFull(c, make([]byte, 4))
			assert.NilError(t, err)
			end(f, endpoint, c)
			_, err = c.Read(make([]byte, 10))
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
		})
	}
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against an endpoint that goes on working for a router that has left.
func TestClosedTunnelClosesConnectionToEndpoint(t *testing.T) {
	closed := make(chan bool)
	f := newFixture(t, func(c *net.TCPConn) {
		_, _ = io.ReadAll(c)
		close(closed)
	})
	_ = f.mustOpen().Close()
	<-closed
	f.waitForNoneOpen()
}

// Guards against tunnels for others than routers, to others than endpoints, beyond the limit, or during a stop.
func TestTunnelIsRefused(t *testing.T) {
	f := newFixture(t, func(c *net.TCPConn) { _, _ = io.ReadAll(c) })
	refusal := func() (r Refusal) {
		_, err := f.open()
		assert.Assert(t, errors.As(err, &r), "%v", err)
		return r
	}
	connect, fromRouter := f.server.Connect, f.server.FromRouter
	f.server.FromRouter = func(string) bool { return false }
	assert.Equal(t, refusal(), NotARouter)
	f.server.FromRouter = fromRouter
	f.server.Connect = func(context.Context, string) (net.Conn, error) { return nil, UnknownEndpoint }
	assert.Equal(t, refusal(), UnknownEndpoint)
	f.server.Connect = func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	assert.Equal(t, refusal(), Unreachable)
	f.server.Connect = connect
	f.waitForNoneOpen()
	var opened []net.Conn
	for range maxTunnels {
		opened = append(opened, f.mustOpen())
	}
	assert.Equal(t, refusal(), Busy)
	for _, c := range opened {
		_ = c.Close()
	}
	f.waitForNoneOpen()
	f.server.RefuseNew()
	assert.Equal(t, refusal(), Stopping)
}

// Guards against a planned stop that cuts tunnels which end in time.
func TestStopWaitsForTunnels(t *testing.T) {
	release := make(chan bool)
	f := newFixture(t, func(c *net.TCPConn) {
		<-release
		_, _ = c.Write([]byte("late"))
		_ = c.Close()
	})
	c := f.mustOpen()
	f.server.RefuseNew()
	var stopped sync.WaitGroup
	stopped.Go(func() { f.server.Wait(t.Context()) })
	close(release)
	received, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(received), "late")
	_ = c.Close()
	stopped.Wait()
	f.server.Wait(t.Context())
}

// Arith is a service of net/rpc.
type Arith struct{}

// Double doubles a number.
func (Arith) Double(n int, result *int) error {
	*result = 2 * n
	return nil
}

// Guards against a split that takes the calls between routers for tunnels, or keeps them waiting behind a connection that
// shows nothing.
func TestOtherConnectionsPassThrough(t *testing.T) {
	f := newFixture(t, echo(1))
	f.dialRouter()
	server := rpc.NewServer()
	assert.NilError(t, server.Register(Arith{}))
	go server.Accept(f.listener)
	for n := range 3 {
		client := rpc.NewClient(f.dialRouter())
		var result int
		assert.NilError(t, client.Call("Arith.Double", n, &result))
		assert.Equal(t, result, 2*n)
		_ = client.Close()
	}
	assert.NilError(t, f.listener.Close())
	_, err := f.listener.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}

// Guards against a router that waits for one of a release without tunnels, which must close the connection at once.
func TestRouterWithoutTunnelsRefusesAtOnce(t *testing.T) {
	l := listen(t)
	go rpc.NewServer().Accept(l)
	raw, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = Dial(ctx, raw, "10.0.0.1:8000")
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 10*time.Second, "refused after %v", time.Since(began))
}

// Guards against malformed lines that are taken for a request, and against a request that is given up and still opened.
func TestMalformedRequestsAndCanceledDials(t *testing.T) {
	f := newFixture(t, echo(1))
	for _, text := range []string{preface, preface + "no newline at the end of the line"} {
		raw := f.dialRouter()
		line := fmt.Appendf(nil, "%-*s", lineLength, text)
		_, err := raw.Write(line)
		assert.NilError(t, err)
		_ = raw.(*net.TCPConn).CloseWrite()
		reply, _ := io.ReadAll(raw)
		assert.Equal(t, len(reply), 0, "%q", reply)
	}
	silent := listen(t)
	raw, err := net.Dial("tcp4", silent.Addr().String())
	assert.NilError(t, err)
	_, err = Dial(canceled(), raw, "10.0.0.1:8000")
	assert.Assert(t, err != nil)
}

// Guards against a deadline that passes between two bytes of a frame's header and loses the first.
func TestDeadlineInsideFrameHeader(t *testing.T) {
	near, far := net.Pipe()
	c := &conn{Conn: near}
	go func() { _, _ = far.Write([]byte{0}) }()
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	_ = c.SetReadDeadline(time.Time{})
	go func() { _, _ = far.Write([]byte{2, 'o', 'k', 0, 0}) }()
	received, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(received), "ok")
}

// Guards against an answer that is reset while its request is still being carried, and looks complete at the near end.
func TestResetDuringUploadDoesNotLookComplete(t *testing.T) {
	f := newFixture(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "a part")
		reset(c)
	})
	for range 200 {
		c, err := f.open()
		if err != nil {
			// The endpoint may have reset the connection before it counted as open.
			continue
		}
		var upload sync.WaitGroup
		upload.Go(func() { _, _ = c.Write(make([]byte, 1<<20)) })
		received, err := io.ReadAll(c)
		assert.Assert(t, err != nil, "%q looks complete", received)
		_ = c.Close()
		upload.Wait()
	}
}
