package origins_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/members"
	"savoryfall/core/origintable"
	"savoryfall/core/versionhistory"
	"savoryfall/io/origins"
	"savoryfall/io/traffic"
)

// BenchmarkShare reports what it costs to have other routers keep the origin of a stream: processor time of both sides and
// bytes between routers.
func BenchmarkShare(b *testing.B) {
	f := &fleet{}
	meter := traffic.New(metrics.NewSet())
	for i := range 6 {
		r := &router{name: fmt.Sprint("vm", i), history: &versionhistory.History{}}
		r.list(several...)
		r.Keeper = &origins.Keeper{
			Others: func() []members.Member { return f.others(r.name) }, History: r.history, Meter: meter,
			Dial: func(context.Context, string) (net.Conn, error) { return dialLoopback(b, r) },
		}
		f.routers = append(f.routers, r)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		f.routers[0].begin(fmt.Sprint("s", n), "v2")
		n++
	}
	sent, received := meter.Bytes(traffic.KindPeer)
	b.ReportMetric(float64(sent+received)/float64(n), "B/stream")
}

// dialLoopback connects to a service of a router over TCP.
func dialLoopback(b *testing.B, r *router) (net.Conn, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := newServer(b, r)
	go func() {
		c, err := l.Accept()
		if err == nil {
			server.ServeConn(c)
		}
		_ = l.Close()
	}()
	return net.Dial("tcp4", l.Addr().String())
}

// BenchmarkTableMemory reports the memory of a record.
func BenchmarkTableMemory(b *testing.B) {
	const records = 50_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var table origintable.Table
		for i := range records {
			r := record(fmt.Sprint("s", i), fmt.Sprint("v", i%3))
			r.Origin.Endpoint = fmt.Sprint("i-", i)
			table.Put(r, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		_, _ = fmt.Fprint(io.Discard, table.Len())
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
}
