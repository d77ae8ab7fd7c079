package peer

import (
	"context"
	"errors"
	"time"

	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
	"savoryfall/core/membership"
)

// Service implements the RPC methods that peers call, in the form that net/rpc requires. The method names are short
// because every request and every reply contains the name.
type Service struct {
	agent *Agent
}

// Meet receives the caller's state and replies with this router's state.
func (s *Service) Meet(request *GossipMessage, reply *GossipMessage) error {
	if s.agent.isPartitioned(request.Self.Name) {
		return errPartitioned
	}
	s.agent.receive(request)
	*reply = *s.agent.newMessage(request.Self.Name)
	if request.Next > reply.Next {
		go s.agent.fetchRecordsFrom(request.Self.Name, request.Next)
	}
	return nil
}

// Records returns raw configuration records.
func (s *Service) Records(request RecordsRequest, reply *Records) error {
	reply.Records = s.agent.Configuration.RecordsFrom(request.From, min(request.Max, maxRecords))
	return nil
}

// News makes this router fetch the records that it lacks.
func (s *Service) News(notice News, _ *Empty) error {
	if s.agent.isPartitioned(notice.From) {
		return errPartitioned
	}
	go s.agent.fetchRecordsFrom(notice.From, notice.Next)
	return nil
}

// tryTimeout is shorter than the timeout of the requesting router. With equal timeouts the requester, whose timeout
// starts first, would always give up before it learns that the member doesn't answer this router either.
const tryTimeout = callTimeout / 2

// Try exchanges state with another member on behalf of a router that cannot reach it.
func (s *Service) Try(request TryRequest, reply *TryReply) error {
	for _, peer := range s.agent.Members.Peers() {
		if peer.Name != request.Target {
			continue
		}
		var response GossipMessage
		err := s.agent.callWithTimeout(context.Background(), tryTimeout, peer, "Meet", s.agent.newMessage(peer.Name), &response)
		reply.Heard = err == nil
		if reply.Heard {
			s.agent.receive(&response)
		}
	}
	return nil
}

// Snapshot returns the configuration in force.
func (s *Service) Snapshot(_ Empty, reply *Snapshot) (err error) {
	if !s.agent.Configuration.Ready() {
		return errors.New("no configuration yet")
	}
	c := s.agent.Configuration.Current()
	reply.Data, err = c.Snapshot()
	reply.Digest, reply.Next = c.Digest(), c.NextOffset()
	return err
}

func (a *Agent) fetchRecordsFrom(name string, next int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*callTimeout)
	defer cancel()
	for _, p := range a.Members.Peers() {
		if p.Name == name {
			a.fetchRecords(ctx, p, next)
		}
	}
}

const snapshotTimeout = 10 * time.Second

// Snapshot requests the configuration in force from the peers and returns the one with the highest offset.
func (a *Agent) Snapshot(ctx context.Context) (best *activeconfig.Configuration, err error) {
	defer annotate.Error(&err, "fetch the configuration from peers")
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	for _, p := range a.peers() {
		c, err := a.fetchSnapshot(ctx, p)
		if err == nil && (best == nil || c.NextOffset() > best.NextOffset()) {
			best = c
		}
	}
	if best == nil {
		return nil, errors.New("no peer returned a configuration")
	}
	return best, nil
}

func (a *Agent) fetchSnapshot(ctx context.Context, p membership.Peer) (c *activeconfig.Configuration, err error) {
	var reply Snapshot
	err = a.call(ctx, p, "Snapshot", Empty{}, &reply)
	if err != nil {
		return nil, err
	}
	c, err = activeconfig.Restore(reply.Data)
	if err != nil {
		return nil, err
	}
	if c.Digest() != reply.Digest || c.NextOffset() != reply.Next {
		return nil, errors.New("snapshot does not match the digest or offset that the peer reported")
	}
	return c, nil
}
