package clientconn

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"savoryfall/io/standin/selfsigned"
)

// Guards against a refusal over TLS that its client does not receive, because what it is still sending is not read.
func TestRefusedHeadOverTLSIsReadOn(t *testing.T) {
	certFile, keyFile, err := selfsigned.Write(t.TempDir(), "server", net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	assert.NilError(t, err)
	synctest.Test(t, func(t *testing.T) {
		p := pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := New(p, func() Limits { return Limits{HeadBytes: 4 << 10} })
		ours, theirs := net.Pipe()
		p.conns <- ours
		c, err := NewTLSListener(s, &tls.Config{Certificates: []tls.Certificate{pair}}).Accept()
		assert.NilError(t, err)
		s.onStateChange(c, http.StateNew)
		go func() {
			for err := error(nil); err == nil; {
				_, err = c.Read(make([]byte, 4<<10))
			}
			_ = c.Close()
		}()
		client := tls.Client(theirs, &tls.Config{InsecureSkipVerify: true})
		defer func() { _ = client.Close() }()
		assert.NilError(t, client.Handshake())
		answer := make(chan string, 1)
		go func() {
			data, _ := io.ReadAll(client)
			answer <- string(data)
		}()
		_, err = io.WriteString(client, "GET / HTTP/1.1\r\nLong: "+strings.Repeat("x", 200<<10))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(<-answer, "HTTP/1.1 431 "))
	})
}
