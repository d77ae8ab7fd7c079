package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/http1"
)

// endpoint answers every request on every connection, with how long it keeps idle ones.
func endpoint(keepAlive string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		c, server := net.Pipe()
		go func() {
			r := bufio.NewReader(server)
			for {
				_, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+keepAlive+"\r\n")
			}
		}()
		return c, nil
	}
}

func ask(t *testing.T, p *http1.Pool) {
	t.Helper()
	a, err := p.Do(t.Context(), http1.Request{
		Address: "a:1", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, Deadline: time.Now().Add(time.Second),
		Ours: func(http.Header) bool { return true },
	})
	assert.NilError(t, err)
	_, err = a.ReadAll(1)
	assert.NilError(t, err)
	a.Close()
}

// Making a connection costs the endpoint time, and ending one that the endpoint is about to end loses a request: a
// connection is kept until a second before the endpoint would end it.
func TestConnectionIsKeptAsLongAsTheEndpointDoes(t *testing.T) {
	for _, c := range []struct {
		keepAlive string
		idle      time.Duration
		dials     uint64
	}{
		{keepAlive: "Keep-Alive: timeout=10\r\n", idle: 8900 * time.Millisecond, dials: 1},
		{keepAlive: "Keep-Alive: timeout=10\r\n", idle: 9100 * time.Millisecond, dials: 2},
		{keepAlive: "Keep-Alive: timeout=2\r\n", idle: 900 * time.Millisecond, dials: 1},
		{keepAlive: "Keep-Alive: timeout=2\r\n", idle: 1100 * time.Millisecond, dials: 2},
		{keepAlive: "Keep-Alive: timeout=1\r\n", idle: 0, dials: 2},
		{idle: 3900 * time.Millisecond, dials: 1},
		{idle: 4100 * time.Millisecond, dials: 2},
		{keepAlive: "Keep-Alive: timeout=soon\r\n", idle: 3900 * time.Millisecond, dials: 1},
		{keepAlive: "Keep-Alive: timeout=-5\r\n", idle: 3900 * time.Millisecond, dials: 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := http1.NewPool(endpoint(c.keepAlive))
			ask(t, p)
			time.Sleep(c.idle)
			ask(t, p)
			assert.Equal(t, p.Dials(), c.dials, "%q after %s", c.keepAlive, c.idle)
			p.Sweep(time.Now().Add(time.Hour))
		})
	}
}
