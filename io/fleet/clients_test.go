package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/fleet"
)

const strictCallers = "lameDuck = \"0s\"\nbodyTimeout = \"200ms\"\nheaderTimeout = \"200ms\"\nmaxBodyBytes = 4096\nmaxHeaderBytes = 4096\n"

func startStrictFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: 2, Services: 1, ExtraSettings: map[string]string{
		"peers": fastPeers, "callers": strictCallers, "routing": "probePeriod = \"200ms\"\n",
	}})
}

// rawRequest writes text to the router's client port and returns the status line of the response.
func rawRequest(t *testing.T, f *fleet.Fleet, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.Routers()[0].CallerAddress())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func requestHead(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", path, fleet.APIKey("guardia"), length)
}

// Malformed, oversized and slow requests get the matching error status, and the router still serves the next request.
func TestMalformedClientRequests(t *testing.T) {
	f := startStrictFleet(t)
	for _, tc := range []struct{ name, text, want string }{
		{"oversized header", requestHead(completionsPath, 0) + "X: " + strings.Repeat("x", 1<<20), "HTTP/1.1 431 Request Header Fields Too Large"},
		{"slow body", requestHead(completionsPath, 100) + "\r\n{", "HTTP/1.1 408 Request Timeout"},
		{"slow body to a service", requestHead("/permits/1", 100) + "\r\n{", "HTTP/1.1 408 Request Timeout"},
		{"large body", requestHead(completionsPath, 5000) + "\r\n" + strings.Repeat("x", 5000), "HTTP/1.1 413 Request Entity Too Large"},
		{"large body to a service", requestHead("/permits/1", 5000) + "\r\n" + strings.Repeat("x", 5000), "HTTP/1.1 413 Request Entity Too Large"},
		{"not JSON", requestHead(completionsPath, 5) + "\r\n{{{{{", "HTTP/1.1 400 Bad Request"},
		{"no messages", requestHead(completionsPath, 15) + "\r\n{\"model\":\"sur\"}", "HTTP/1.1 400 Bad Request"},
		{"messages of the wrong type", requestHead(completionsPath, 32) + "\r\n{\"model\":\"sur\",\"messages\":[1,2]}", "HTTP/1.1 400 Bad Request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, rawRequest(t, f, tc.text), tc.want)
		})
	}
	assert.Equal(t, complete(t, f, "still served #5"), want("still served #5"))
}

const completionsPath = "/v1/chat/completions"

// Clients disconnect at every stage: within the header, within the body, before the first token and within the stream.
// The engines become idle, the routers count no request as active or waiting, and no goroutine is left after the fleet
// has stopped.
func TestClientDisconnectLeaksNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("fleet", func(t *testing.T) {
		f := startStrictFleet(t)
		for range 5 {
			sendAndClose(t, f, "POST "+completionsPath+" HTTP/1.1\r\nHost: x\r\nAuth", 0)
			sendAndClose(t, f, requestHead(completionsPath, 100)+"\r\n{", 0)
			body := `{"model":"sur-large","stream":true,"messages":[{"role":"user","content":"gone #9000"}]}`
			sendAndClose(t, f, requestHead(completionsPath, len(body))+"\r\n"+body, 0)
			sendAndClose(t, f, requestHead(completionsPath, len(body))+"\r\n"+body, 2000)
		}
		for name, e := range f.Engines() {
			waitFor(t, name+" is idle", func() bool { return e.ActualState().Requests == 0 })
		}
		waitFor(t, "no request is active or waiting", func() bool {
			s := status(t, f.Routers()[0])
			own := 0.0
			for _, e := range s.Endpoints {
				own += e.Own
			}
			return own == 0 && s.Waiting == 0
		})
	})
	http.DefaultClient.CloseIdleConnections()
	const poller = 1
	waitFor(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before+poller })
}

// sendAndClose writes text, reads readBytes bytes of the response and closes the connection.
func sendAndClose(t *testing.T, f *fleet.Fleet, text string, readBytes int) {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(context.Background(), "tcp", f.Routers()[0].CallerAddress())
	assert.NilError(t, err)
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, readBytes))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}
