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

	mu     sync.Mutex
	states map[string]*relayState
}

// relayState is what is known of a router as a relay.
type relayState struct {
	// openedAt is when it last opened a tunnel.
	openedAt time.Time
	// avoidUntil is until when others are preferred to it, and failures how many tunnels in a row it has not opened. It is
	// not asked at all until then if asking takes long, because it does not answer.
	avoidUntil time.Time
	failures   int
	slow       bool
}

const (
	// relayTimeout limits connecting through other routers, routerTimeout what one of them may take of it.
	relayTimeout  = 500 * time.Millisecond
	routerTimeout = 350 * time.Millisecond
	// maxRelayAttempts limits how many routers are asked, of which many may be cut off too. maxUnreachable is how many
	// routers that reach others of the service must fail to reach the endpoint before it counts as lost.
	maxRelayAttempts = 6
	maxUnreachable   = 2
	// minAvoidance and maxAvoidance bound how long a router that did not open a tunnel is avoided. The time doubles with
	// each failure in a row: a router of a release without tunnels refuses all.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 16 * time.Second
	// provenTime is how long a router that has opened a tunnel is preferred to those that have not.
	provenTime = 2 * time.Second
)

var (
	errNoRelay     = errors.New("there is no other router to connect through")
	errUnreachable = errors.New("other routers do not reach the endpoint either")
)

// connect has another router connect to the endpoint in the failure domain. The error is errUnreachable if routers were
// found that reach others of the service.
func (r *Relays) connect(ctx context.Context, endpoint, failureDomain string) (c net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	unreachable := 0
	for i, m := range r.candidates(failureDomain, time.Now()) {
		if i == maxRelayAttempts || unreachable == maxUnreachable || ctx.Err() != nil {
			break
		}
		c, err = r.open(ctx, m, endpoint)
		if err == nil {
			r.recordOpened(m.Name, time.Now())
			return c, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil, err
		}
		var refusal tunnel.Refusal
		refused := errors.As(err, &refusal)
		if refusal == tunnel.Unreachable || refusal == tunnel.UnknownEndpoint {
			unreachable++
			continue
		}
		r.avoid(m.Name, !refused, time.Now())
	}
	if unreachable > 0 {
		return nil, errUnreachable
	}
	return nil, errNoRelay
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

// candidates returns the routers to ask, in order: those that have opened tunnels lately, then others, then those that
// have refused some. Among equals, routers in the failure domain of the endpoint or of this router are first, so that
// the bytes cross between failure domains once at most.
func (r *Relays) candidates(failureDomain string, now time.Time) (list []members.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := map[string]int{}
	for _, m := range r.Routers() {
		s := r.state(m.Name)
		avoided := now.Before(s.avoidUntil)
		if avoided && s.slow {
			continue
		}
		n := 2
		switch {
		case avoided:
			n = 4
		case now.Sub(s.openedAt) < provenTime:
			n = 0
		}
		if m.FailureDomain != failureDomain && m.FailureDomain != r.FailureDomain {
			n++
		}
		order[m.Name] = n
		list = append(list, m)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b members.Member) int { return order[a.Name] - order[b.Name] })
	return list
}

func (r *Relays) state(name string) (s *relayState) {
	if r.states == nil {
		r.states = map[string]*relayState{}
	}
	s = r.states[name]
	if s == nil {
		s = &relayState{}
		r.states[name] = s
	}
	return s
}

func (r *Relays) avoid(name string, slow bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(name)
	s.avoidUntil = now.Add(min(minAvoidance<<min(s.failures, 8), maxAvoidance))
	s.slow, s.openedAt = slow, time.Time{}
	s.failures++
}

func (r *Relays) recordOpened(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.state(name) = relayState{openedAt: now}
}
