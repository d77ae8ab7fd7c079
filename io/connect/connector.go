package connect

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/reach"
)

// Connector opens connections to endpoints, and records which services this router reaches.
type Connector struct {
	// Dial opens a connection to the address of an endpoint.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Tracker *reach.Tracker
	Metrics *Metrics
	Logger  log.Logger
	// LastBytes returns when this router last received bytes from an endpoint of the service, zero if it never has.
	LastBytes func(service string) time.Time
}

// Connect opens a connection to the address.
func (c *Connector) Connect(ctx context.Context, address string) (conn net.Conn, err error) {
	began := time.Now()
	conn, err = c.Dial(ctx, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		// The client has left, which shows nothing of the endpoint.
		return nil, err
	}
	c.Metrics.record(bySelf, err, time.Since(began))
	c.record(address, err == nil)
	return conn, err
}

func (c *Connector) record(address string, connected bool) {
	now := time.Now()
	change := c.Tracker.Record(address, connected, now)
	if change == nil {
		return
	}
	if change.Reachable {
		_ = c.Logger.Log(field.Event, event.ServiceReachable, field.Service, change.Service, field.Endpoints, change.Endpoints,
			field.AfterMs, change.After.Milliseconds())
		return
	}
	_ = c.Logger.Log(field.Event, event.ServiceUnreachable, field.Service, change.Service, field.Endpoints, change.Endpoints,
		field.Down, change.Down, field.LastBytesMs, c.lastBytesMs(change.Service, now))
}

// lastBytesMs returns how many milliseconds ago bytes from an endpoint of the service were received, -1 if never.
func (c *Connector) lastBytesMs(service string, now time.Time) int64 {
	at := c.LastBytes(service)
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// LogFields returns the fields of a log line on a request to the service that could not be connected to any endpoint.
func (c *Connector) LogFields(service string) []any {
	now := time.Now()
	return []any{
		field.Service, service, field.UnreachableMs, c.Tracker.UnreachableFor(service, now).Milliseconds(),
		field.LastBytesMs, c.lastBytesMs(service, now),
	}
}
