package origins

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"savoryfall/core/members"
	"savoryfall/io/traffic"
)

const (
	// callTimeout limits a call, including the time to connect. Routers answer within a few milliseconds, unless they are busy.
	callTimeout = 250 * time.Millisecond
	// retryInterval is for how long a router that did not answer is left out.
	retryInterval = time.Second
	// idleTimeout is after how long an unused connection is closed.
	idleTimeout = time.Minute
)

// errNoAnswer is returned if the router did not answer in time.
var errNoAnswer = errors.New("the router did not answer in time")

// peer is the connection to another router.
type peer struct {
	keeper *Keeper
	member members.Member

	mu     sync.Mutex
	client *rpc.Client
	// conn is the connection of the client.
	conn   net.Conn
	usedAt time.Time
	// leftOutUntil is set after a failure.
	leftOutUntil time.Time
}

func (p *peer) usable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.leftOutUntil)
}

// call calls the other router, which is left out for a while if that fails.
func (p *peer) call(method string, args, reply any, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = p.callOnce(ctx, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection had been lost before the call, as after a restart of the other router.
		err = p.callOnce(ctx, method, args, reply)
	}
	if err != nil {
		p.leaveOut()
	}
	return err
}

func (p *peer) callOnce(ctx context.Context, method string, args, reply any) (err error) {
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	done := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1)).Done
	select {
	case call := <-done:
		err = call.Error
	case <-ctx.Done():
		err = errNoAnswer
	}
	if err != nil {
		p.drop(client)
	}
	return err
}

func (p *peer) connect(ctx context.Context) (client *rpc.Client, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = time.Now()
	// Without a deadline, a call blocks if the other router does not read.
	if p.client != nil {
		return p.client, p.conn.SetWriteDeadline(p.usedAt.Add(callTimeout))
	}
	conn, err := p.keeper.Dial(ctx, p.member.Address)
	if err != nil {
		return nil, err
	}
	p.conn, p.client = conn, rpc.NewClient(p.keeper.Meter.CountBytes(traffic.KindPeer, conn))
	return p.client, conn.SetWriteDeadline(p.usedAt.Add(callTimeout))
}

// drop closes a connection that has failed.
func (p *peer) drop(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = client.Close()
	if p.client == client {
		p.client = nil
	}
}

// leaveOut has the router get no records for a while.
func (p *peer) leaveOut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leftOutUntil = time.Now().Add(retryInterval)
}

// close closes the connection if it has not been used since the time.
func (p *peer) close(unusedSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil && !p.usedAt.After(unusedSince) {
		_ = p.client.Close()
		p.client = nil
	}
}

func (p *peer) usedAfter(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedAt.After(at)
}
