package clientconn

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"log"
	"net"

	"savoryfall/core/connbudget"
)

// NewTLSListener returns a listener that secures the connections of a set.
func NewTLSListener(l net.Listener, cfg *tls.Config) net.Listener { return tlsListener{l, cfg} }

type tlsListener struct {
	net.Listener
	config *tls.Config
}

// Accept waits for the next connection.
func (l tlsListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tlsConn{Conn: tls.Server(raw, l.config), tracked: unwrap(raw)}, nil
}

// tlsConn reports to the tracked connection below it what net/http reads. Below TLS alone, the bytes of a request can't
// be told from those of a handshake, nor the end of one request from the start of the next.
type tlsConn struct {
	*tls.Conn
	tracked *Conn
}

// Read reads decrypted bytes.
func (c *tlsConn) Read(p []byte) (n int, err error) {
	c.tracked.beginRead(len(p))
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	refused := c.tracked.checkHead(c.tracked.receivedRequestBytes(p[:n]))
	if refused != "" {
		return 0, c.tracked.refuseHead(refused, c.Conn, p)
	}
	return n, err
}

// CloseWrite announces to the client that nothing more is sent.
func (c *tlsConn) CloseWrite() error {
	c.tracked.place.SetState(connbudget.Lingering)
	return c.Conn.CloseWrite()
}

// ConnectionState completes the handshake first: net/http asks for the state before it reads. The first read returns
// the error of a failed handshake.
func (c *tlsConn) ConnectionState() tls.ConnectionState {
	err := c.Handshake()
	if err != nil {
		answerPlainRequest(err)
		log.Printf("TLS handshake with %s failed: %v", c.RemoteAddr(), err)
	}
	return c.Conn.ConnectionState()
}

// refuseHandshake returns the error for TLS if its messages may not be held. The client can't be told.
func (c *Conn) refuseHandshake() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseReason(NoMemory)
	return c.readError(net.ErrClosed)
}

// answerPlainRequest answers a client that has sent an HTTP request without TLS.
func answerPlainRequest(handshakeErr error) {
	var header tls.RecordHeaderError
	if !errors.As(handshakeErr, &header) || header.Conn == nil {
		return
	}
	switch string(header.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		_, _ = io.WriteString(header.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
}

// tlsRecords follows the framing of TLS records in the bytes that are read.
type tlsRecords struct {
	header     [tlsHeaderSize]byte
	headerRead int
	// payloadLeft is how many bytes are missing of the current record's payload.
	payloadLeft int
}

const (
	// tlsHeaderSize is the size in bytes of a record's header: its type, its version and, from tlsLengthOffset on, the
	// length of its payload (RFC 8446, section 5.1).
	tlsHeaderSize   = 5
	tlsLengthOffset = 3
)

func (r *tlsRecords) add(p []byte) {
	for len(p) > 0 {
		if r.payloadLeft > 0 {
			n := min(r.payloadLeft, len(p))
			r.payloadLeft -= n
			p = p[n:]
			continue
		}
		n := copy(r.header[r.headerRead:], p)
		r.headerRead += n
		p = p[n:]
		if r.headerRead == tlsHeaderSize {
			r.headerRead, r.payloadLeft = 0, int(binary.BigEndian.Uint16(r.header[tlsLengthOffset:]))
		}
	}
}

// partial reports whether a record has been read incompletely.
func (r *tlsRecords) partial() bool { return r.headerRead > 0 || r.payloadLeft > 0 }
