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

const tight = "lameDuck = \"0s\"\nbodyTimeout = \"200ms\"\nheaderTimeout = \"200ms\"\nmaxBodyBytes = 4096\nmaxHeaderBytes = 4096\n"

func tightFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: 2, Services: 1, Extra: map[string]string{
		"peers": quick, "callers": tight, "routing": "probePeriod = \"200ms\"\n",
	}})
}

// raw writes bytes to the router's port for callers and returns the status line of what comes back.
func raw(t *testing.T, f *fleet.Fleet, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.Routers()[0].Callers())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func head(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", path, fleet.Key("guardia"), length)
}

// Callers that misbehave get an answer that says what is wrong, and the router goes on to serve the next.
func TestMisbehavingCallers(t *testing.T) {
	f := tightFleet(t)
	for _, given := range []struct{ name, text, want string }{
		{"header bomb", head(completionsPath, 0) + "X: " + strings.Repeat("x", 1<<20), "HTTP/1.1 431 Request Header Fields Too Large"},
		{"slow body", head(completionsPath, 100) + "\r\n{", "HTTP/1.1 408 Request Timeout"},
		{"slow body to a service", head("/permits/1", 100) + "\r\n{", "HTTP/1.1 408 Request Timeout"},
		{"large body", head(completionsPath, 5000) + "\r\n" + strings.Repeat("x", 5000), "HTTP/1.1 413 Request Entity Too Large"},
		{"large body to a service", head("/permits/1", 5000) + "\r\n" + strings.Repeat("x", 5000), "HTTP/1.1 413 Request Entity Too Large"},
		{"not JSON", head(completionsPath, 5) + "\r\n{{{{{", "HTTP/1.1 400 Bad Request"},
		{"no messages", head(completionsPath, 15) + "\r\n{\"model\":\"sur\"}", "HTTP/1.1 400 Bad Request"},
		{"messages of the wrong type", head(completionsPath, 32) + "\r\n{\"model\":\"sur\",\"messages\":[1,2]}", "HTTP/1.1 400 Bad Request"},
	} {
		t.Run(given.name, func(t *testing.T) {
			assert.Equal(t, raw(t, f, given.text), given.want)
		})
	}
	assert.Equal(t, complete(t, f, "still served #5"), want("still served #5"))
}

const completionsPath = "/v1/chat/completions"

// Callers hang up at every stage: within the headers, within the body, before the first token, within the stream. The
// engines' work ends, nothing stays on the books, and after the fleet has stopped no goroutine of it is left.
func TestHangingUpLeavesNothingBehind(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("fleet", func(t *testing.T) {
		f := tightFleet(t)
		for range 5 {
			hangUp(t, f, "POST "+completionsPath+" HTTP/1.1\r\nHost: x\r\nAuth", 0)
			hangUp(t, f, head(completionsPath, 100)+"\r\n{", 0)
			body := `{"model":"sur-large","stream":true,"messages":[{"role":"user","content":"gone #9000"}]}`
			hangUp(t, f, head(completionsPath, len(body))+"\r\n"+body, 0)
			hangUp(t, f, head(completionsPath, len(body))+"\r\n"+body, 2000)
		}
		for name, e := range f.Engines() {
			eventually(t, name+" is idle", func() bool { return e.Truth().Requests == 0 })
		}
		eventually(t, "the books are empty", func() bool {
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
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before+poller })
}

// hangUp writes, reads so many bytes and closes.
func hangUp(t *testing.T, f *fleet.Fleet, text string, read int) {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(context.Background(), "tcp", f.Routers()[0].Callers())
	assert.NilError(t, err)
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, read))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}
