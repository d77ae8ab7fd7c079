package resetconn_test

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/resetconn"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (here *resetconn.Conn, there *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	raw, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = accepted.Close()
	})
	return resetconn.New(raw), accepted.(*net.TCPConn)
}

// upload writes without end, in the background.
func upload(c *resetconn.Conn) (ended chan error) {
	ended = make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		ended <- err
	}()
	return ended
}

// Guards against a reset that a write has taken, and a read tells as an end.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	for range 200 {
		here, there := connect(t)
		ended := upload(here)
		_, err := there.Write([]byte("half"))
		assert.NilError(t, err)
		assert.NilError(t, there.SetLinger(0))
		assert.NilError(t, there.Close())
		_, err = io.ReadAll(here)
		assert.Assert(t, err != nil)
		assert.Assert(t, <-ended != nil)
	}
}

// Guards against an answer that is lost because its peer ends the connection in order while a write is under way.
func TestEndDuringWriteIsAnEnd(t *testing.T) {
	here, there := connect(t)
	ended := upload(here)
	_, err := there.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, there.CloseWrite())
	data, err := io.ReadAll(here)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
	assert.Assert(t, <-ended != nil)
}

// Guards against an end that is told again and again, or not at all, after all was written.
func TestEndAfterWrite(t *testing.T) {
	here, there := connect(t)
	_, err := here.Write([]byte("request"))
	assert.NilError(t, err)
	got := make([]byte, 7)
	_, err = io.ReadFull(there, got)
	assert.NilError(t, err)
	assert.NilError(t, there.Close())
	for range 2 {
		_, err = here.Read(got)
		assert.ErrorIs(t, err, io.EOF)
	}
}
