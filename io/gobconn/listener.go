package gobconn

import (
	"net"
	"sync/atomic"

	"savoryfall/core/connbudget"
)

// Listener limits the connections of a listener.
type Listener struct {
	net.Listener
	// Budget is what connections from hosts that are not known may take.
	Budget connbudget.Budget
	// Known reports whether a peer runs at the host, an IP address. Connections from there are not limited.
	Known func(host string) bool
	// Opaque is set if the messages can't be followed, because they are encrypted. What a host sends counts as a handshake until it is
	// authenticated.
	Opaque bool
}

// Accept waits for the next connection for which there is a place.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
		if l.Known(host) {
			return raw, nil
		}
		c := &conn{Conn: raw, opaque: l.Opaque}
		c.place = l.Budget.Open(c.evict)
		if c.place != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// conn is a connection from a host that is not known.
type conn struct {
	net.Conn
	place  *connbudget.Connection
	opaque bool
	frames frames
	// handshake is how many bytes were received before the host was authenticated.
	handshake     int
	authenticated atomic.Bool
}

// Read reads bytes, and fails if they begin a message for which there is no room, or continue a handshake for which there is none.
func (c *conn) Read(p []byte) (n int, err error) {
	if !c.place.GrowHandshake(c.handshake) {
		_ = c.Close()
		return 0, errTooLong
	}
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.opaque {
		c.countHandshake(n)
		return n, err
	}
	checkErr := c.check(p[:n])
	if checkErr != nil {
		_ = c.Close()
		return 0, checkErr
	}
	return n, err
}

func (c *conn) countHandshake(n int) {
	if !c.authenticated.Load() {
		c.handshake += n
	}
}

// Authenticated is called when the host has proved to be a peer.
func (c *conn) Authenticated() { c.authenticated.Store(true) }

func (c *conn) check(p []byte) (err error) {
	longest, err := c.frames.add(p)
	if err != nil {
		return err
	}
	c.place.SetState(connbudget.Reading)
	if !c.place.GrowHead(longest, 0) {
		return errTooLong
	}
	if !c.frames.partial() {
		c.place.SetState(connbudget.Idle)
	}
	return nil
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.place.Close()
	return c.Conn.Close()
}

// evict closes the connection for another one.
func (c *conn) evict(connbudget.State) bool {
	_ = c.Conn.Close()
	return true
}
