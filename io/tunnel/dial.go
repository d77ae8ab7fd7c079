package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"savoryfall/core/annotate"
)

// Dial opens a tunnel to the endpoint over raw, which is a connection to another router. It closes raw if it fails. If
// the router refuses, the error is a Refusal.
func Dial(ctx context.Context, raw net.Conn, endpoint string) (c net.Conn, err error) {
	defer annotate.Error(&err, "open a tunnel to %s", endpoint)
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	err = request(raw, endpoint)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &conn{Conn: raw}, nil
}

func request(raw net.Conn, endpoint string) (err error) {
	_, err = raw.Write(encodeLine(preface + endpoint))
	if err != nil {
		return err
	}
	reply, err := readLine(raw)
	switch {
	case err != nil:
		return err
	case reply != accepted:
		return Refusal(reply)
	}
	return nil
}

// conn is the near end of a tunnel.
type conn struct {
	net.Conn
	header [frameHeaderLength]byte
	// headerRead is how many bytes of the header of the next frame have been read, left how many bytes of the current
	// frame have not.
	headerRead, left int
	ended            bool
}

// frameHeaderLength is the length of the header of a frame in bytes, maxFrame the greatest length of its content.
const (
	frameHeaderLength = 2
	maxFrame          = 4 << 10
)

// SingleUse marks the connection as one that must not be kept for another request: the router at the far end may stop,
// and the tunnel must not outlast the need for it.
func (c *conn) SingleUse() {}

// Read reads the endpoint's bytes. It returns io.EOF only if the endpoint has closed the connection, and
// io.ErrUnexpectedEOF if the tunnel ended before.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.ended {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	for c.left == 0 {
		err = c.readHeader()
		if err != nil {
			return 0, err
		}
		if c.ended {
			return 0, io.EOF
		}
	}
	n, err = c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, truncated(err)
}

// readHeader reads the header of the next frame. After an error, such as a deadline, it continues where it stopped.
func (c *conn) readHeader() (err error) {
	for c.headerRead < frameHeaderLength {
		n, err := c.Conn.Read(c.header[c.headerRead:])
		c.headerRead += n
		if err != nil && c.headerRead < frameHeaderLength {
			return truncated(err)
		}
	}
	c.headerRead = 0
	c.left = int(binary.BigEndian.Uint16(c.header[:]))
	c.ended = c.left == 0
	return nil
}

// truncated returns the error of a tunnel that has ended without its last frame.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
