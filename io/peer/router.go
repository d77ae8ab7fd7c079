package peer

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/annotate"
	"savoryfall/core/inforce"
	"savoryfall/core/membership"
)

// Router is what peers may call; its methods have the form that net/rpc asks for. Their names are short, because
// each call carries its name twice.
type Router struct {
	agent *Agent
}

// Meet takes what the caller says and answers with the same.
func (r *Router) Meet(m *Message, reply *Message) error {
	if r.agent.isCut(m.Self.Name) {
		return errCut
	}
	r.agent.take(m)
	*reply = *r.agent.message(m.Self.Name)
	if m.Next > reply.Next {
		go r.agent.catchUpFrom(m.Self.Name, m.Next)
	}
	return nil
}

// Records hands out raw records of the configuration.
func (r *Router) Records(q RecordsRequest, reply *Records) error {
	reply.Records = r.agent.Configuration.Records(q.From, min(q.Max, recordsMax))
	return nil
}

// News makes this router fetch what it lacks.
func (r *Router) News(n News, _ *Nothing) error {
	if r.agent.isCut(n.From) {
		return errCut
	}
	go r.agent.catchUpFrom(n.From, n.Next)
	return nil
}

// tryTimeout is shorter than what the asker allows: with as much time for both, the asker gives up first, whose wait began
// first, and never hears that the member does not answer here either.
const tryTimeout = callTimeout / 2

// Try exchanges with another member on behalf of a router that cannot reach it.
func (r *Router) Try(p Probe, reply *Answer) error {
	for _, peer := range r.agent.Members.Peers() {
		if peer.Name != p.Target {
			continue
		}
		var m Message
		err := r.agent.callWithin(context.Background(), tryTimeout, peer, "Meet", r.agent.message(peer.Name), &m)
		reply.Heard = err == nil
		if reply.Heard {
			r.agent.take(&m)
		}
	}
	return nil
}

// Snapshot hands out the configuration in force.
func (r *Router) Snapshot(_ Nothing, reply *Snapshot) (err error) {
	if !r.agent.Configuration.Ready() {
		return errors.New("no configuration yet")
	}
	c := r.agent.Configuration.Current()
	reply.Data, err = c.Snapshot()
	reply.Digest, reply.Next = c.Digest(), c.Next()
	return err
}

func (a *Agent) catchUpFrom(name string, next int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*callTimeout)
	defer cancel()
	for _, p := range a.Members.Peers() {
		if p.Name == name {
			a.catchUp(ctx, p, next)
		}
	}
}

const snapshotTimeout = 10 * time.Second

// Snapshot asks the peers for what is in force, and takes the one that is furthest on.
func (a *Agent) Snapshot(ctx context.Context) (best *inforce.Configuration, err error) {
	defer annotate.Error(&err, "ask peers for the configuration")
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	for _, p := range a.peers() {
		c, err := a.snapshotOf(ctx, p)
		if err == nil && (best == nil || c.Next() > best.Next()) {
			best = c
		}
	}
	if best == nil {
		return nil, errors.New("no peer has one")
	}
	return best, nil
}

func (a *Agent) snapshotOf(ctx context.Context, p membership.Peer) (c *inforce.Configuration, err error) {
	var s Snapshot
	err = a.call(ctx, p, "Snapshot", Nothing{}, &s)
	if err != nil {
		return nil, err
	}
	c, err = inforce.Restore(s.Data)
	if err != nil {
		return nil, err
	}
	if c.Digest() != s.Digest || c.Next() != s.Next {
		return nil, errors.New("the snapshot is not what the peer has in force")
	}
	return c, nil
}
