package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace/noop"

	"savoryfall/core/background"
	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
	"savoryfall/core/freshness"
	"savoryfall/core/outcome"
	"savoryfall/core/request"
	"savoryfall/core/retrylimit"
	"savoryfall/core/routetable"
	"savoryfall/io/http1"
)

// testServer is an in-memory server for clients on the clock of a synctest bubble, with one endpoint that takes
// endpointDelay for each request.
type testServer struct {
	server   *Server
	logLines logLines
	lease    freshness.Lease
	retries  retrylimit.Limiter
	table    atomic.Pointer[routetable.Table]
	conns    chan net.Conn
	closed   chan struct{}
	once     sync.Once
	began    time.Time
	// arrived counts the requests that the endpoint received.
	arrived atomic.Int64
	mu      sync.Mutex
	opened  []net.Conn
	// onRead is called once, when a read of a client connection has returned bytes that contain markHeader and net/http
	// has not seen them yet. At this point, a goroutine may be paused for as long as its VM is.
	onRead atomic.Pointer[func()]
}

const (
	markHeader = "X-Mark: 1\r\n"
	// endpointDelay is how long the endpoint takes for a request.
	endpointDelay = 50 * time.Millisecond
)

// logLines records log lines.
type logLines struct {
	mu  sync.Mutex
	all []string
}

func (l *logLines) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, fmt.Sprintln(keyvals...))
	return nil
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.all, "")
}

func (s *testServer) Current() *routetable.Table { return s.table.Load() }
func (s *testServer) clock() time.Duration       { return time.Hour + time.Since(s.began) }

// bookingTable returns a configuration with one route whose requests must not be repeated, and one of streams.
func bookingTable(limits routetable.Limits) *routetable.Table {
	return routetable.New(routetable.Config{
		Version: 1, Services: []routetable.Service{{Name: "plain"}, {Name: "models", Engine: true, Slots: 8}}, Limits: limits,
		Routes: []routetable.Route{{
			Name: "book", Host: "shop.example", PathPrefix: "/book/", Kind: routetable.NonIdempotent, MaxAttempts: 1,
			Targets: []routetable.Target{{Service: "plain", Weight: 1}}, Timeout: 3 * time.Second, ResponseGoal: 100 * time.Millisecond,
		}, {
			Name: "chat", Host: "shop.example", PathPrefix: "/chat/", Kind: routetable.Stream, MaxAttempts: 1,
			Targets: []routetable.Target{{Service: "models", Weight: 1}}, Timeout: 3 * time.Second, ResponseGoal: 100 * time.Millisecond,
		}},
	})
}

func newTestServer(limits routetable.Limits) *testServer {
	s := &testServer{conns: make(chan net.Conn), closed: make(chan struct{}), began: time.Now()}
	table := bookingTable(limits)
	s.table.Store(table)
	s.retries.SetLimits(retrylimit.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: 1})
	s.lease.SetTerm(time.Hour)
	s.lease.Renew(s.clock())
	d := dispatch.New("a")
	d.Configure(table)
	d.Update([]directory.Entry{
		{ID: "e1", Service: "plain", Address: "e1:1", FailureDomain: "a", Slots: 8}, {ID: "e2", Service: "models", Address: "e2:1", FailureDomain: "a", Slots: 8},
	}, time.Now())
	f := New(Config{
		ClientProtocol: clientProtocol{}, EndpointProtocol: endpointProtocol{}, Configuration: s, Lease: &s.lease, Dispatcher: d, Retries: &s.retries,
		Pool: http1.NewPool(s.dial), Tracer: noop.NewTracerProvider().Tracer(""), Metrics: NewMetrics(metrics.NewSet()),
		Logger: log.Logger(&s.logLines), Clock: s.clock,
	})
	s.server = NewServerWithListener(s, f)
	ctx, cancel := context.WithCancel(context.Background())
	s.server.cancel = cancel
	s.server.running.Go(func() { background.Every(ctx, sweepPeriod, s.server.sweep) })
	go s.server.serve(markedListener{s.server.conns, s})
	return s
}

// The protocol between the test clients, the router and the endpoint: requests and responses carry an id, and a
// response is signed by the endpoint.
const (
	headerID     = "Id"
	headerSigned = "Signed"
	// headerBadHint marks a request with a hint that cannot be read, headerLoad is the slowdown that an endpoint with free slots reports in
	// percent.
	headerBadHint = "Bad-Hint"
	headerLoad    = "Load"
	clientTimeout = 3 * time.Second
)

type clientProtocol struct{}

func (clientProtocol) Decode(r *http.Request) (a request.Request, err error) {
	return request.Request{
		ID: r.Header.Get(headerID), Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Method: r.Method, Timeout: clientTimeout,
		InvalidHint: r.Header.Get(headerBadHint) != "",
	}, nil
}

func (clientProtocol) GuaranteesNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable
}

func (clientProtocol) EncodeRefusal(p *request.Problem, _ http.Header) (status int) {
	switch {
	case p.Outcome != outcome.NotRun:
		return http.StatusBadGateway
	case p.Reason == request.BodySlow:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

type endpointProtocol struct{}

func (endpointProtocol) ReportTarget() string { return "/report" }

func (endpointProtocol) DecodeReport(int, []byte) int64 { return 0 }

func (endpointProtocol) Encode(client http.Header, _ request.EndpointRequest) http.Header {
	return client
}

func (endpointProtocol) MatchesRequest(h http.Header, id string) bool { return h.Get(headerID) == id }

func (endpointProtocol) Decode(_ int, h http.Header) request.EndpointResponse {
	r := request.EndpointResponse{FromEndpoint: h.Get(headerSigned) != ""}
	if load := h.Get(headerLoad); load != "" {
		percent, err := strconv.Atoi(load)
		r.Running, r.Slots, r.HasLoad, r.InvalidLoad, r.Slowdown = 1, 8, err == nil, err != nil, float64(percent)/100
	}
	return r
}

// shutdown stops the server and waits for the goroutines of the endpoint, which must end before the bubble does.
func (s *testServer) shutdown() {
	_ = s.server.Stop(context.Background())
	s.mu.Lock()
	for _, c := range s.opened {
		_ = c.Close()
	}
	s.mu.Unlock()
	time.Sleep(time.Minute)
}

// dial connects to the endpoint.
func (s *testServer) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	s.track(theirs)
	go s.serveEndpoint(theirs)
	return ours, nil
}

func (s *testServer) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened = append(s.opened, c)
}

// serveEndpoint runs the endpoint on one connection.
func (s *testServer) serveEndpoint(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(req.Body)
		s.arrived.Add(1)
		time.Sleep(endpointDelay)
		if strings.HasPrefix(req.URL.Path, "/chat/") {
			err = writeStream(c, req)
		} else {
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: of e1\r\nContent-Length: 2\r\n\r\nok",
				headerID, req.Header.Get(headerID), headerSigned)
		}
		if err != nil {
			return
		}
	}
}

const (
	// streamEvents is the number of events of a stream, and eventDelay the time between two of them.
	streamEvents = 5
	eventDelay   = 30 * time.Millisecond
)

// writeStream answers with a stream and the load that the request names.
func writeStream(c net.Conn, req *http.Request) (err error) {
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: of e2\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, req.Header.Get(headerID), headerSigned, headerLoad, req.Header.Get(headerLoad))
	for i := range streamEvents {
		if err != nil {
			return err
		}
		if i > 0 {
			time.Sleep(eventDelay)
		}
		_, err = fmt.Fprintf(c, "9\r\ndata: %d\n\n\r\n", i)
	}
	_, err2 := io.WriteString(c, "0\r\n\r\n")
	return errors.Join(err, err2)
}

// Accept, Close and Addr implement net.Listener for the server.
func (s *testServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *testServer) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *testServer) Addr() net.Addr { return &net.TCPAddr{} }

// markedListener wraps the connections that the server accepts in markedConn.
type markedListener struct {
	net.Listener
	s *testServer
}

func (l markedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &markedConn{Conn: c, s: l.s}, nil
}

// markedConn calls onRead after bytes have arrived in the process and before net/http receives them.
type markedConn struct {
	net.Conn
	s *testServer
}

// NetConn returns the wrapped connection, as the method of tls.Conn does.
func (c *markedConn) NetConn() net.Conn { return c.Conn }

func (c *markedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	hook := c.s.onRead.Load()
	if hook != nil && strings.Contains(string(p[:n]), markHeader) && c.s.onRead.CompareAndSwap(hook, nil) {
		(*hook)()
	}
	return n, err
}

// testClient is one client connection.
type testClient struct {
	net.Conn
	r *bufio.Reader
}

func (s *testServer) connect() *testClient {
	ours, theirs := net.Pipe()
	s.track(ours)
	s.conns <- theirs
	return &testClient{Conn: ours, r: bufio.NewReader(ours)}
}

// bookingRequest returns the text of a request with additional header lines.
func bookingRequest(extraHeader string) string {
	return "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n" + headerID + ": id1\r\n" + extraHeader + "\r\n"
}

// sendAsync writes without waiting for the router to read.
func (c *testClient) sendAsync(text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

// readResponse returns the status of a complete response that arrives within 20 s, or an error.
func (c *testClient) readResponse() (status int, err error) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
