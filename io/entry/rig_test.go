package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace/noop"

	"savoryfall/core/ask"
	"savoryfall/core/background"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/freshness"
	"savoryfall/core/outcome"
	"savoryfall/core/retryshare"
	"savoryfall/core/routetable"
	"savoryfall/io/http1"
)

// rig is a server for clients, in memory and on the bubble's clock, before one endpoint that runs each request for a
// while.
type rig struct {
	server  *Server
	lines   lines
	lease   freshness.Lease
	retries retryshare.Share
	table   atomic.Pointer[routetable.Table]
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	began   time.Time
	// arrived counts the requests that the endpoint got.
	arrived atomic.Int64
	mu      sync.Mutex
	ends    []net.Conn
	// onRead is called once, when a read of a client's connection has returned bytes with the mark in them and net/http
	// has not seen them yet: there a goroutine may stand still for as long as its VM does.
	onRead atomic.Pointer[func()]
}

const (
	mark = "X-Mark: 1\r\n"
	// runFor is how long the endpoint takes.
	runFor = 50 * time.Millisecond
)

// lines are those of the log.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, fmt.Sprintln(keyvals...))
	return nil
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.all, "")
}

func (s *rig) Current() *routetable.Table { return s.table.Load() }
func (s *rig) clock() time.Duration       { return time.Hour + time.Since(s.began) }

// bookings is a configuration with one route, whose requests may not be repeated.
func bookings(limits routetable.Limits) *routetable.Table {
	return routetable.New(routetable.Contents{
		Version: 1, Services: []routetable.Service{{Name: "plain"}}, Limits: limits,
		Routes: []routetable.Route{{
			Name: "book", Host: "shop.example", PathPrefix: "/book/", Kind: routetable.NonIdempotent, MaxAttempts: 1,
			Targets: []routetable.Target{{Service: "plain", Weight: 1}}, Timeout: 3 * time.Second, Goal: 100 * time.Millisecond,
		}},
	})
}

func newRig(limits routetable.Limits) *rig {
	s := &rig{conns: make(chan net.Conn), closed: make(chan struct{}), began: time.Now()}
	table := bookings(limits)
	s.table.Store(table)
	s.retries.SetLimits(retryshare.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: 1})
	s.lease.SetTerm(time.Hour)
	s.lease.Renew(s.clock())
	d := dispatch.New("a")
	d.Configure(table)
	d.Update([]directory.Entry{{ID: "e1", Service: "plain", Address: "e1:1", FailureDomain: "a", Slots: 8}}, time.Now())
	f := New(Parts{
		Clients: clients{}, Endpoints: endpoints{}, Configuration: s, Lease: &s.lease, Dispatcher: d, Retries: &s.retries,
		Pool: http1.NewPool(s.dial), Tracer: noop.NewTracerProvider().Tracer(""), Figures: NewFigures(metrics.NewSet()),
		Logger: log.Logger(&s.lines), Clock: s.clock,
	})
	s.server = NewServerOn(s, f)
	ctx, cancel := context.WithCancel(context.Background())
	s.server.cancel = cancel
	s.server.running.Go(func() { background.Every(ctx, sweepEvery, s.server.sweep) })
	go s.server.serve(markedListener{s.server.conns, s})
	return s
}

// The protocol of the rig's clients and endpoint: a request and its answer have an id, and an answer is marked as the
// endpoint's own.
const (
	headerID     = "Id"
	headerSigned = "Signed"
	patience     = 3 * time.Second
)

type clients struct{}

func (clients) Decode(r *http.Request) (a ask.Ask, err error) {
	return ask.Ask{
		ID: r.Header.Get(headerID), Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Method: r.Method, Patience: patience,
	}, nil
}

func (clients) Refuse(p *ask.Problem, _ http.Header) (status int) {
	switch {
	case p.Outcome != outcome.NotRun:
		return http.StatusBadGateway
	case p.Reason == ask.BodySlow:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

type endpoints struct{}

func (endpoints) Encode(client http.Header, _ ask.Sending) http.Header { return client }

func (endpoints) Answers(h http.Header, id string) bool { return h.Get(headerID) == id }

func (endpoints) Decode(_ int, h http.Header) ask.Reply {
	return ask.Reply{Signed: h.Get(headerSigned) != ""}
}

// end stops all, and waits for the endpoint's goroutines, which must end before the bubble does.
func (s *rig) end() {
	_ = s.server.Stop(context.Background())
	s.mu.Lock()
	for _, c := range s.ends {
		_ = c.Close()
	}
	s.mu.Unlock()
	time.Sleep(time.Minute)
}

// dial connects to the endpoint.
func (s *rig) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	s.hold(theirs)
	go s.play(theirs)
	return ours, nil
}

func (s *rig) hold(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, c)
}

// play is the endpoint on one connection.
func (s *rig) play(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(req.Body)
		s.arrived.Add(1)
		time.Sleep(runFor)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: of e1\r\nContent-Length: 2\r\n\r\nok",
			headerID, req.Header.Get(headerID), headerSigned)
		if err != nil {
			return
		}
	}
}

// Accept, Close and Addr make the rig the listener of its server.
func (s *rig) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *rig) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *rig) Addr() net.Addr { return &net.TCPAddr{} }

// markedListener gives the connections that the server serves.
type markedListener struct {
	net.Listener
	s *rig
}

func (l markedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &markedConn{Conn: c, s: l.s}, nil
}

// markedConn calls the rig's hook between the arrival of bytes in the process and net/http's first look at them.
type markedConn struct {
	net.Conn
	s *rig
}

// NetConn is the connection below, as tls.Conn has it.
func (c *markedConn) NetConn() net.Conn { return c.Conn }

func (c *markedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	hook := c.s.onRead.Load()
	if hook != nil && strings.Contains(string(p[:n]), mark) && c.s.onRead.CompareAndSwap(hook, nil) {
		(*hook)()
	}
	return n, err
}

// rigClient is one connection of a client.
type rigClient struct {
	net.Conn
	r *bufio.Reader
}

func (s *rig) connect() *rigClient {
	ours, theirs := net.Pipe()
	s.hold(ours)
	s.conns <- theirs
	return &rigClient{Conn: ours, r: bufio.NewReader(ours)}
}

// booking is a request with more header lines.
func booking(more string) string {
	return "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n" + headerID + ": id1\r\n" + more + "\r\n"
}

// send writes without waiting for the router to read.
func (c *rigClient) send(text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

// answer is what the client gets within 20 s: the status of a whole answer, or an error.
func (c *rigClient) answer() (status int, err error) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
