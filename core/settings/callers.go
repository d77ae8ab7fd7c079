package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Callers says where callers are served and what one request may take.
type Callers struct {
	address       string
	certificate   string
	key           string
	maxBody       int64
	maxHeader     int64
	bodyTimeout   time.Duration
	headerTimeout time.Duration
	lameDuck      time.Duration
}

func readCallers(t *tomldoc.Table) (c Callers) {
	c.address = readAddress(t)
	c.certificate, c.key = readCertificate(t)
	c.maxBody = t.Number("maxBodyBytes", 4<<20, 1<<10, 1<<30)
	c.maxHeader = t.Number("maxHeaderBytes", 32<<10, 4<<10, 1<<20)
	c.bodyTimeout = t.Duration("bodyTimeout", 30*time.Second, 100*time.Millisecond, time.Hour)
	c.headerTimeout = t.Duration("headerTimeout", 10*time.Second, 100*time.Millisecond, time.Hour)
	c.lameDuck = t.Duration("lameDuck", 2*time.Second, 0, 10*time.Minute)
	return c
}

// Address is where callers are served.
func (c Callers) Address() string { return c.address }

// Certificate is the file of the TLS certificate; empty means no TLS.
func (c Callers) Certificate() string { return c.certificate }

// Key is the file of the certificate's key.
func (c Callers) Key() string { return c.key }

// MaxBody bounds a request's body in bytes.
func (c Callers) MaxBody() int64 { return c.maxBody }

// MaxHeader bounds a request's headers in bytes.
func (c Callers) MaxHeader() int { return int(c.maxHeader) }

// BodyTimeout bounds the time to read a request's body.
func (c Callers) BodyTimeout() time.Duration { return c.bodyTimeout }

// HeaderTimeout bounds the time to read a request's headers.
func (c Callers) HeaderTimeout() time.Duration { return c.headerTimeout }

// LameDuck is how long a stopping router still takes new requests, until the balancer has seen that it is not ready.
func (c Callers) LameDuck() time.Duration { return c.lameDuck }
