package meter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter counts the bytes of each kind of control traffic of one process.
type Meter struct {
	set *metrics.Set
}

// New makes a meter that counts into the set.
func New(set *metrics.Set) *Meter { return &Meter{set: set} }

// Kind is what control traffic is for.
type Kind string

// The kinds of control traffic.
const (
	KindPeer    Kind = "peer"
	KindProbe   Kind = "probe"
	KindLog     Kind = "log"
	KindVMList  Kind = "vmList"
	KindOrders  Kind = "orders"
	dialTimeout      = 2 * time.Second
	metricName       = `savoryfall_control_bytes_total{kind=%q,direction=%q}`
)

// Kinds are all kinds.
var Kinds = []Kind{KindPeer, KindProbe, KindLog, KindVMList, KindOrders}

func (m *Meter) counter(k Kind, direction string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(metricName, string(k), direction))
}

// Bytes is how many bytes of the kind were sent and received so far.
func (m *Meter) Bytes(k Kind) (sent, received uint64) {
	return m.counter(k, "sent").Get(), m.counter(k, "received").Get()
}

// Dial is a DialContext that counts what passes.
func (m *Meter) Dial(k Kind) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(k, c), nil
	}
}

// Transport is an HTTP transport that counts what passes.
func (m *Meter) Transport(k Kind) *http.Transport {
	return &http.Transport{DialContext: m.Dial(k), MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}
}

// Called counts one call of the kind that this process has made.
func (m *Meter) Called(k Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_control_calls_total{kind=%q}`, string(k))).Inc()
}

// Calls is an HTTP transport that counts the calls made by it, whatever becomes of them.
func (m *Meter) Calls(k Kind, next http.RoundTripper) http.RoundTripper {
	return caller{meter: m, kind: k, next: next}
}

type caller struct {
	meter *Meter
	kind  Kind
	next  http.RoundTripper
}

func (c caller) RoundTrip(r *http.Request) (*http.Response, error) {
	c.meter.Called(c.kind)
	return c.next.RoundTrip(r)
}

// Conn counts what passes through c.
func (m *Meter) Conn(k Kind, c net.Conn) net.Conn {
	return &conn{Conn: c, sent: m.counter(k, "sent"), received: m.counter(k, "received")}
}

type conn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

func (c *conn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}
