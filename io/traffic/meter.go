package traffic

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

// New returns a meter whose counters are registered in the set.
func New(set *metrics.Set) *Meter { return &Meter{set: set} }

// Kind is the purpose of control traffic, and the value of the label kind.
type Kind string

// Kinds of control traffic.
const (
	KindPeer    Kind = "peer"
	KindProbe   Kind = "probe"
	KindLog     Kind = "log"
	KindVMList  Kind = "vmList"
	KindOrders  Kind = "orders"
	dialTimeout      = 2 * time.Second
	bytesMetric      = `savoryfall_control_bytes_total{kind=%q,direction=%q}`
)

// AllKinds lists all kinds.
var AllKinds = []Kind{KindPeer, KindProbe, KindLog, KindVMList, KindOrders}

func (m *Meter) counter(k Kind, direction string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(bytesMetric, string(k), direction))
}

// Bytes returns the number of bytes of the kind sent and received so far.
func (m *Meter) Bytes(k Kind) (sent, received uint64) {
	return m.counter(k, "sent").Get(), m.counter(k, "received").Get()
}

// Dial returns a DialContext function whose connections are counted.
func (m *Meter) Dial(k Kind) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.CountBytes(k, c), nil
	}
}

// Transport returns an HTTP transport whose connections are counted.
func (m *Meter) Transport(k Kind) *http.Transport {
	return &http.Transport{
		DialContext: m.Dial(k), MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the head of a response in bytes: those of the platform and of probes have a few short lines.
const maxHeaderBytes = 16 << 10

// CountCall counts one call of the kind made by this process.
func (m *Meter) CountCall(k Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_control_calls_total{kind=%q}`, string(k))).Inc()
}

// CountCalls wraps an HTTP transport to count the requests made through it, whatever their outcome.
func (m *Meter) CountCalls(k Kind, next http.RoundTripper) http.RoundTripper {
	return countingTransport{meter: m, kind: k, next: next}
}

type countingTransport struct {
	meter *Meter
	kind  Kind
	next  http.RoundTripper
}

func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.meter.CountCall(c.kind)
	return c.next.RoundTrip(r)
}

// CountBytes wraps a connection to count the bytes read from it and written to it.
func (m *Meter) CountBytes(k Kind, c net.Conn) net.Conn {
	return &countingConn{Conn: c, sent: m.counter(k, "sent"), received: m.counter(k, "received")}
}

type countingConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}
