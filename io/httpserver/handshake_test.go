package httpserver

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/clientconn"
)

// secureConnectionBytes is what a connection with TLS counts as, servingBytes what a request in service does in addition, and headSlack
// by how much the count of its head may be too high.
const (
	secureConnectionBytes = 48 << 10
	servingBytes          = 40 << 10
	headSlack             = 8 << 10
)

// newSecureServer starts a server with TLS whose connections may take as many bytes.
func newSecureServer(t *testing.T, connectionBytes int64, handler http.HandlerFunc) (s *Server) {
	s, err := New("127.0.0.1:0", handler, Options{TLS: selfSigned(t), ConnectionBytes: connectionBytes, MaxHeaderBytes: 4 << 10})
	assert.NilError(t, err)
	assert.NilError(t, s.Start(t.Context()))
	t.Cleanup(s.Kill)
	return s
}

// Guards against a request body that is taken for a handshake and refused.
func TestBodyOverTLSIsNoHandshake(t *testing.T) {
	held := make(chan int64, 1)
	var running atomic.Pointer[Server]
	s := newSecureServer(t, 100<<10, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		now, _, _, _ := running.Load().Connections().Budget().Usage()
		held <- now
	})
	running.Store(s)
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Post("https://"+s.Address(), "", bytes.NewReader(make([]byte, 8<<20)))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	now, most := <-held, int64(secureConnectionBytes+servingBytes+headSlack)
	assert.Assert(t, now <= most, "%d bytes", now)
}

// Guards against handshake messages of any length being held for clients that don't complete them.
func TestLongHandshakeNeedsMemory(t *testing.T) {
	s := newSecureServer(t, 130<<10, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp4", s.Address())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	// A ClientHello of 64 KB begins in the first of these records.
	const record, messageBegin = "\x16\x03\x01\x40\x00", "\x01\x00\xff\xfc"
	payload := strings.Repeat("\x00", 16<<10)
	_, _ = io.WriteString(c, record+messageBegin+payload[len(messageBegin):]+strings.Repeat(record+payload, 2))
	awaitClosed(t, &testServer{Server: s}, clientconn.NoMemory)
}
