package connect

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"savoryfall/core/members"
	"savoryfall/io/tunnel"
)

// Relays are the other routers, which connect to endpoints for this one.
type Relays struct {
	// Routers returns the other routers.
	Routers func() []members.Member
	// Dial opens a connection to the address of a router.
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	FailureDomain string

	mu      sync.Mutex
	avoided map[string]avoidance
}

// avoidance is how long a router that did not open a tunnel is not asked again.
type avoidance struct {
	until    time.Time
	failures int
}

const (
	// relayTimeout limits connecting through other routers, routerTimeout what one of them may take of it.
	relayTimeout  = 500 * time.Millisecond
	routerTimeout = 350 * time.Millisecond
	// maxRelayAttempts limits how many routers are asked. Two that do not reach the endpoint either are enough to give up.
	maxRelayAttempts = 3
	maxUnreachable   = 2
	// minAvoidance and maxAvoidance bound how long a router that did not open a tunnel is not asked again. The time doubles with each
	// failure in a row: a router of a release without tunnels refuses all.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 16 * time.Second
)

var (
	errNoRelay     = errors.New("there is no other router to connect through")
	errUnreachable = errors.New("other routers do not reach the endpoint either")
)

// connect has another router connect to the endpoint in the failure domain.
func (r *Relays) connect(ctx context.Context, endpoint, failureDomain string) (c net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	err = errNoRelay
	unreachable := 0
	for i, m := range r.candidates(failureDomain, time.Now()) {
		if i == maxRelayAttempts || unreachable == maxUnreachable || ctx.Err() != nil {
			break
		}
		c, err = r.open(ctx, m, endpoint)
		if err == nil {
			r.recordOpened(m.Name)
			return c, nil
		}
		var refusal tunnel.Refusal
		if errors.As(err, &refusal) && (refusal == tunnel.Unreachable || refusal == tunnel.UnknownEndpoint) {
			unreachable++
			err = errUnreachable
			continue
		}
		if !errors.Is(ctx.Err(), context.Canceled) {
			r.avoid(m.Name, time.Now())
		}
	}
	return nil, err
}

func (r *Relays) open(ctx context.Context, m members.Member, endpoint string) (c net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	raw, err := r.Dial(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	return tunnel.Dial(ctx, raw, endpoint)
}

// candidates returns the routers to ask, in order. Routers in the failure domain of the endpoint or of this router are
// first, so that the bytes cross between failure domains once at most.
func (r *Relays) candidates(failureDomain string, now time.Time) (list []members.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.Routers() {
		if now.Before(r.avoided[m.Name].until) {
			continue
		}
		list = append(list, m)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	far := func(m members.Member) int {
		if m.FailureDomain == failureDomain || m.FailureDomain == r.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b members.Member) int { return far(a) - far(b) })
	return list
}

func (r *Relays) avoid(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoided == nil {
		r.avoided = map[string]avoidance{}
	}
	a := r.avoided[name]
	a.until = now.Add(min(minAvoidance<<min(a.failures, 8), maxAvoidance))
	a.failures++
	r.avoided[name] = a
}

func (r *Relays) recordOpened(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoided, name)
}
