package endpoint_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/endpoint"
)

// answering returns the address of a server that writes the bytes to each connection at once, and then ends it with end.
func answering(t *testing.T, answer string, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer)
			end(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// Guards against an upload that is answered early and reset, of which the caller gets the part that came as whole.
func TestUploadThatIsAnsweredAndReset(t *testing.T) {
	address := answering(t, "HTTP/1.1 200 X\r\n\r\na part", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	upload := strings.Repeat("x", 3<<20)
	for range 100 {
		resp, err := endpoint.New(nil).Do(t.Context(), endpoint.Call{
			Address: address, Method: http.MethodPost, Path: "/x", Body: strings.NewReader(upload), Length: int64(len(upload)),
		})
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.Assert(t, err != nil, "%q is whole", body)
	}
}
