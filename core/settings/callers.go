package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Callers holds the section callers: the listen address for callers, and the limits on one request.
type Callers struct {
	address       string
	certificate   string
	key           string
	maxBody       int64
	maxHeader     int64
	bodyTimeout   time.Duration
	headerTimeout time.Duration
	lameDuck      time.Duration
	connections   Connections
}

func readCallers(t *tomldoc.Table) (c Callers) {
	c.address = readAddress(t)
	c.certificate, c.key = readCertificate(t)
	c.maxBody = t.Int("maxBodyBytes", 4<<20, 1<<10, 1<<30)
	c.maxHeader = t.Int("maxHeaderBytes", 32<<10, 4<<10, 1<<20)
	c.bodyTimeout = t.Duration("bodyTimeout", 30*time.Second, 100*time.Millisecond, time.Hour)
	c.headerTimeout = t.Duration("headerTimeout", 10*time.Second, 100*time.Millisecond, time.Hour)
	c.lameDuck = t.Duration("lameDuck", 2*time.Second, 0, 10*time.Minute)
	c.connections = readConnections(t)
	return c
}

// Connections returns what the connections of callers may take.
func (c Callers) Connections() Connections { return c.connections }

// Address returns the listen address for callers.
func (c Callers) Address() string { return c.address }

// Certificate returns the file of the TLS certificate; empty disables TLS.
func (c Callers) Certificate() string { return c.certificate }

// Key returns the file of the certificate's private key.
func (c Callers) Key() string { return c.key }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (c Callers) MaxBodyBytes() int64 { return c.maxBody }

// MaxHeaderBytes returns the maximum size of the request headers in bytes.
func (c Callers) MaxHeaderBytes() int { return int(c.maxHeader) }

// BodyTimeout returns the maximum time to read a request body.
func (c Callers) BodyTimeout() time.Duration { return c.bodyTimeout }

// HeaderTimeout returns the maximum time to read the request headers.
func (c Callers) HeaderTimeout() time.Duration { return c.headerTimeout }

// LameDuck returns how long a stopping router keeps accepting requests after it reports itself unready, so that the
// load balancer has time to notice.
func (c Callers) LameDuck() time.Duration { return c.lameDuck }
