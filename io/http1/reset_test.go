package http1

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an upload that is answered early and reset, of which the client gets the part that came as whole.
func TestUploadThatIsAnsweredAndReset(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, okLine+"Id: 1\r\n\r\nten bytes.")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	p := NewPool(nil)
	r := requestFor("POST")
	r.Address, r.Body, r.HasBody = l.Addr().String(), make([]byte, 3<<20), true
	for range 100 {
		r.Deadline = time.Now().Add(10 * time.Second)
		resp, err := p.Do(context.Background(), r)
		if err != nil {
			continue
		}
		body, err := resp.ReadAll(1<<20, nil)
		resp.Close()
		assert.Assert(t, err != nil, "%q is whole", body)
	}
}
