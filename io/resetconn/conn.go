package resetconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is a connection that one goroutine reads and another one writes. Its Read returns io.EOF only if the peer has ended the
// connection.
//
// The kernel reports an error of a connection once, to whichever call comes first, and to the others an ordinary end. If a write
// takes the error, a read would tell a reset as the end of what the peer had to send.
type Conn struct {
	net.Conn
	// writing is held during a write. writeErr is the first error of one.
	writing  sync.Mutex
	writeErr error
	// mu guards ended, which is set once the peer's end was read, so that no write may block any more.
	mu    sync.Mutex
	ended bool
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. If the peer's end is reached, a write that is under way is given up.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.endWrites()
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, fmt.Errorf("the connection ended, and a write had failed: %w", c.writeErr)
	}
	return n, io.EOF
}

func (c *Conn) endWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.Conn.SetWriteDeadline(pastDeadline)
}

// SetWriteDeadline sets the deadline of writes, unless the peer's end was read.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadline of reads, and that of writes unless the peer's end was read.
func (c *Conn) SetDeadline(t time.Time) error {
	err := c.SetReadDeadline(t)
	if err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// pastDeadline, set as a deadline, makes writes fail at once.
var pastDeadline = time.Unix(1, 0)
