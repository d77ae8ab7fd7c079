package peer

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/claim"
	"savoryfall/core/membership"
)

// claimTimeout covers an append and its reading back on a slow log.
const claimTimeout = 3 * time.Second

// errUnknownMember says that the router is not known, or not known any more.
var errUnknownMember = errors.New("the router is not a member")

func (a *Agent) member(name string) (p membership.Peer, err error) {
	for _, p := range a.Members.Peers() {
		if p.Name == name {
			return p, nil
		}
	}
	return p, errUnknownMember
}

// Claim asks another router for the right to send a call.
func (a *Agent) Claim(ctx context.Context, router string, c claim.Request) (g claim.Grant, err error) {
	p, err := a.member(router)
	if err != nil {
		return g, err
	}
	var answer ClaimAnswer
	err = a.callWithin(ctx, claimTimeout, p, "Claim", c, &answer)
	if err != nil {
		return g, err
	}
	if answer.Refused != nil {
		return g, answer.Refused
	}
	return answer.Grant, nil
}

// Settle hands the outcome of a granted call to another router.
func (a *Agent) Settle(ctx context.Context, router string, g claim.Grant, result claim.Result) (err error) {
	p, err := a.member(router)
	if err != nil {
		return err
	}
	var none Nothing
	return a.callWithin(ctx, claimTimeout, p, "Settle", Settlement{Grant: g, Result: result}, &none)
}

// Claim claims a call for another router.
func (r *Router) Claim(c claim.Request, reply *ClaimAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	g, err := r.agent.Claims.ClaimHere(ctx, c)
	if errors.As(err, &reply.Refused) {
		return nil
	}
	reply.Grant = g
	return err
}

// Settle puts the outcome of a call on the log for another router.
func (r *Router) Settle(s Settlement, _ *Nothing) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	r.agent.Claims.SettleHere(ctx, s.Grant, s.Result)
	return nil
}
