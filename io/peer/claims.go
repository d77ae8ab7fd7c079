package peer

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/claim"
	"savoryfall/core/membership"
)

// claimTimeout allows for appending a record to a slow log and reading it back.
const claimTimeout = 3 * time.Second

// errUnknownMember is returned for a router that is not, or no longer, in the member list.
var errUnknownMember = errors.New("the router is not a member")

func (a *Agent) member(name string) (p membership.Peer, err error) {
	for _, p := range a.Members.Peers() {
		if p.Name == name {
			return p, nil
		}
	}
	return p, errUnknownMember
}

// Claim asks another router to claim the key of a request.
func (a *Agent) Claim(ctx context.Context, router string, c claim.Request) (g claim.Grant, err error) {
	p, err := a.member(router)
	if err != nil {
		return g, err
	}
	var reply ClaimReply
	err = a.callWithTimeout(ctx, claimTimeout, p, "Claim", c, &reply)
	if err != nil {
		return g, err
	}
	if reply.Refused != nil {
		return g, reply.Refused
	}
	return reply.Grant, nil
}

// Settle passes the outcome of a claimed request to another router.
func (a *Agent) Settle(ctx context.Context, router string, g claim.Grant, result claim.Result) (err error) {
	p, err := a.member(router)
	if err != nil {
		return err
	}
	var reply Empty
	return a.callWithTimeout(ctx, claimTimeout, p, "Settle", SettleRequest{Grant: g, Result: result}, &reply)
}

// Claim claims a key for another router.
func (s *Service) Claim(request claim.Request, reply *ClaimReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	g, err := s.agent.Claims.ClaimLocally(ctx, request)
	if errors.As(err, &reply.Refused) {
		return nil
	}
	reply.Grant = g
	return err
}

// Settle appends the outcome of a request to the log for another router.
func (s *Service) Settle(request SettleRequest, _ *Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	s.agent.Claims.SettleLocally(ctx, request.Grant, request.Result)
	return nil
}
