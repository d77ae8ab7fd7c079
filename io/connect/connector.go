package connect

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/directory"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/reach"
	"savoryfall/io/tunnel"
)

// Connector opens connections to endpoints, by itself or through other routers, and records which services this router
// reaches.
type Connector struct {
	// Dial opens a connection to the address of an endpoint.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Tracker *reach.Tracker
	// Relays is nil if there are no other routers.
	Relays  *Relays
	Metrics *Metrics
	Logger  log.Logger
	// LastBytes returns when this router last received bytes from an endpoint of the service, zero if it never has.
	LastBytes func(service string) time.Time
	// OnUnreachable is called with the addresses of a service that this router no longer reaches.
	OnUnreachable func(addresses []string)

	probing  atomic.Bool
	probes   background.Group
	stopping atomic.Bool
}

const (
	// hedgeDelay is how long this router waits for a connection of its own before it has another router connect too.
	// Within a region a connection takes a few milliseconds.
	hedgeDelay = 100 * time.Millisecond
	// relayedDialTimeout limits a connection that this router opens for another one, which waits for it.
	relayedDialTimeout = 250 * time.Millisecond
	// probeCheckInterval is how often it is checked whether a probe is due while a service is unreachable.
	probeCheckInterval = 100 * time.Millisecond
	// probeTimeout limits the time of a probe.
	probeTimeout = 400 * time.Millisecond
)

// errClosed is returned for an endpoint that neither this router nor others could connect to a moment ago.
var errClosed = errors.New("no router has reached the endpoint a moment ago")

// Connect opens a connection to the address.
func (c *Connector) Connect(ctx context.Context, address string) (conn net.Conn, err error) {
	switch c.Tracker.Way(address, time.Now()) {
	case reach.Closed:
		return nil, errClosed
	case reach.Relayed:
		return c.relayed(ctx, address)
	}
	conn, err = c.hedged(ctx, address)
	if err != nil && ctx.Err() == nil && c.Tracker.Way(address, time.Now()) == reach.Relayed {
		return c.relayed(ctx, address)
	}
	return conn, err
}

// result is how an attempt to connect ended.
type result struct {
	conn net.Conn
	err  error
}

// start begins an attempt to connect. The channel receives its result.
func start(ctx context.Context, connect func(ctx context.Context, address string) (net.Conn, error), address string) <-chan result {
	done := make(chan result, 1)
	go func() {
		conn, err := connect(ctx, address)
		done <- result{conn: conn, err: err}
	}()
	return done
}

// discard closes the connection of an attempt that is no longer needed.
func discard(done <-chan result) {
	if r := <-done; r.err == nil {
		_ = r.conn.Close()
	}
}

// hedged connects directly, and has another router connect too if that takes long. The connection that is open first is
// used.
func (c *Connector) hedged(ctx context.Context, address string) (conn net.Conn, err error) {
	direct := start(ctx, c.direct, address)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case r := <-direct:
		return r.conn, r.err
	case <-timer.C:
	}
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := start(relayCtx, c.relayed, address)
	select {
	case r := <-direct:
		if r.err != nil {
			r = <-relayed
			return r.conn, r.err
		}
		go discard(relayed)
		return r.conn, nil
	case r := <-relayed:
		if r.err != nil {
			r = <-direct
			return r.conn, r.err
		}
		// The endpoint is up, and this router has not reached it.
		c.record(address, false)
		go discard(direct)
		return r.conn, nil
	}
}

// direct connects by itself.
func (c *Connector) direct(ctx context.Context, address string) (conn net.Conn, err error) {
	began := time.Now()
	conn, err = c.Dial(ctx, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		// The attempt was given up, which shows nothing of the endpoint.
		return nil, err
	}
	c.Metrics.record(bySelf, err, time.Since(began))
	c.record(address, err == nil)
	return conn, err
}

// relayed has another router connect.
func (c *Connector) relayed(ctx context.Context, address string) (conn net.Conn, err error) {
	if c.Relays == nil {
		return nil, errNoRelay
	}
	began := time.Now()
	domain, _ := c.Tracker.Known(address)
	conn, err = c.Relays.connect(ctx, address, domain)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, err
	}
	c.Metrics.record(byRouter, err, time.Since(began))
	how := reach.Opened
	switch {
	case errors.Is(err, errUnreachable):
		how = reach.EndpointLost
	case err != nil:
		how = reach.NoRelay
	}
	c.Tracker.RecordRelayed(address, how, time.Now())
	return conn, err
}

// ConnectFor connects to an endpoint for another router. The error is a tunnel.Refusal if this router does not try.
func (c *Connector) ConnectFor(ctx context.Context, address string) (conn net.Conn, err error) {
	if _, known := c.Tracker.Known(address); !known {
		return nil, tunnel.UnknownEndpoint
	}
	if c.Tracker.Way(address, time.Now()) != reach.Direct {
		return nil, tunnel.CutOff
	}
	ctx, cancel := context.WithTimeout(ctx, relayedDialTimeout)
	defer cancel()
	return c.direct(ctx, address)
}

// Update sets the endpoints.
func (c *Connector) Update(entries []directory.Entry) {
	for _, change := range c.Tracker.Update(entries, time.Now()) {
		c.logReachable(change)
	}
}

func (c *Connector) record(address string, connected bool) {
	now := time.Now()
	change := c.Tracker.Record(address, connected, now)
	if change == nil {
		return
	}
	if change.Reachable {
		c.logReachable(change)
		return
	}
	_ = c.Logger.Log(field.Event, event.ServiceUnreachable, field.Service, change.Service, field.Endpoints, change.Endpoints,
		field.Down, change.Down, field.LastBytesMs, c.lastBytesMs(change.Service, now))
	// Idle connections may have been cut off too, without a sign of it.
	c.OnUnreachable(c.Tracker.Addresses(change.Service))
	c.startProbing()
}

func (c *Connector) logReachable(change *reach.Change) {
	_ = c.Logger.Log(field.Event, event.ServiceReachable, field.Service, change.Service, field.Endpoints, change.Endpoints,
		field.AfterMs, change.After.Milliseconds())
}

// startProbing tries to connect to endpoints of the services that are unreachable, until there is none.
func (c *Connector) startProbing() {
	if c.stopping.Load() || c.probing.Swap(true) {
		return
	}
	c.probes.Go(func() {
		for more := true; more && !c.stopping.Load(); {
			background.Sleep(context.Background(), probeCheckInterval, nil)
			var due []string
			due, more = c.Tracker.DueProbes(time.Now())
			for _, address := range due {
				go c.probe(address)
			}
		}
		c.probing.Store(false)
		if c.Tracker.UnreachableServices() > 0 {
			c.startProbing()
		}
	})
}

func (c *Connector) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := c.direct(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
}

// Start does nothing: probes begin with the first service that is unreachable.
func (c *Connector) Start(context.Context) error { return nil }

// Stop ends the probes.
func (c *Connector) Stop(context.Context) error {
	c.stopping.Store(true)
	c.probes.Stop()
	return nil
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

// RetryAfter returns when this router may reach an endpoint of the service again, 0 if it reaches some now.
func (c *Connector) RetryAfter(service string) time.Duration {
	if c.Tracker.UnreachableFor(service, time.Now()) == 0 {
		return 0
	}
	return reach.ProbeInterval
}
