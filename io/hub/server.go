package hub

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/board"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/members"
	"savoryfall/core/rota"
	"savoryfall/io/meter"
)

// Service is what routers call.
type Service struct{ agent *Agent }

func (a *Agent) serve() {
	server := rpc.NewServer()
	err := server.RegisterName(serviceName, &Service{agent: a})
	if err != nil {
		panic("hub: " + err.Error())
	}
	for {
		raw, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = a.Logger.Log(field.Event, event.AcceptFailed, field.Err, err)
			background.Pause(context.Background(), period, nil)
			continue
		}
		a.accept(server, raw)
	}
}

func (a *Agent) accept(server *rpc.Server, raw net.Conn) {
	a.mu.Lock()
	if a.stopped {
		a.mu.Unlock()
		_ = raw.Close()
		return
	}
	a.accepted[raw] = true
	a.mu.Unlock()
	go func() {
		server.ServeConn(a.Meter.Conn(meter.KindPeer, raw))
		a.mu.Lock()
		delete(a.accepted, raw)
		a.mu.Unlock()
	}()
}

// longestHold bounds how long a report may ask to be kept.
const longestHold = 5 * time.Second

// Report takes what a router has going on and answers with what it has not heard yet.
func (s *Service) Report(args *Report, reply *Reply) (err error) {
	a := s.agent
	arrived := a.Clock()
	now := time.Now()
	if a.full(args.From.Name, now) {
		reply.Full = true
		return nil
	}
	loads, err := args.Loads.loads()
	if err != nil {
		return err
	}
	a.greet(args)
	fresh := a.board.Take(args.From.Name, board.Work{Loads: loads, Demands: args.Demands}, args.Reads, now)
	a.mu.Lock()
	a.pending = append(a.pending, fresh...)
	a.mu.Unlock()
	newer := a.takeOffer(args)
	a.await(args)
	err = a.tell(args, reply, arrived)
	if err != nil {
		return err
	}
	reply.Failing = a.failing()
	r := rota.Router{Name: args.From.Name, Newer: newer, Failing: args.Offer.Failing}
	reply.Read = a.rota.Asks(r, a.standing(), a.Clock())
	return nil
}

// full tells whether this router serves as many as its VM can, and not that one.
func (a *Agent) full(router string, now time.Time) bool {
	if a.board.Reporting(router, now) {
		return false
	}
	_, routers := a.board.Reported(now)
	return routers > a.Self.Followers()
}

// greet takes routers that this one did not know, to tell of them.
func (a *Agent) greet(args *Report) {
	news := a.learn(append([]members.Member{args.From}, args.Joined...))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joined = append(a.joined, news...)
}

// await returns when there is news for the router, or after the time that it allows.
func (a *Agent) await(args *Report) {
	t := time.NewTimer(min(args.Hold, longestHold))
	defer t.Stop()
	for {
		// Taken before the look, so that what comes between the two is not missed.
		a.mu.Lock()
		news := a.news
		a.mu.Unlock()
		if a.hasNews(args) {
			return
		}
		select {
		case <-news:
		case <-t.C:
			return
		}
	}
}

func (a *Agent) hasNews(args *Report) bool {
	if args.Epoch != a.epoch || args.Wants {
		return true
	}
	next, _, ok := a.Configuration.Known()
	_, number := a.Endpoints.Changes().Since(args.Numbers.Changes)
	return ok && next > args.Configuration || number > args.Numbers.Changes
}

// Ring tells the reports that wait that there may be news.
func (a *Agent) Ring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.news)
	a.news = make(chan struct{})
}

func (a *Agent) tell(args *Report, reply *Reply, arrived time.Duration) (err error) {
	reply.Epoch = a.epoch
	if args.Epoch == a.epoch {
		reply.Since = args.Numbers
	}
	since, next := reply.Since, &reply.Numbers
	// The extents are read before the changes: what comes between is told twice rather than never.
	reply.Configuration = extent(a.Configuration, arrived)
	reply.Registry = extent(a.Registry, arrived)
	if args.Wants && reply.Configuration.Known {
		reply.Given, err = a.given(args)
		if err != nil {
			return err
		}
	}
	reply.Changes, next.Changes = a.Endpoints.Changes().Since(since.Changes)
	var total board.Work
	total, next.Totals = a.totals(since.Totals)
	reply.Loads, reply.Demands = columns(total.Loads), total.Demands
	reply.Reads, next.Reads = a.board.ReadsSince(since.Reads)
	reply.Members, next.Members = a.Members.Since(since.Members, args.Digest)
	reply.Stamp = a.Clock()
	return nil
}

// totals are the loads of all routers that changed after the number.
func (a *Agent) totals(since int64) (w board.Work, number int64) {
	now := time.Now()
	if a.ledger.Due(now) {
		total, _ := a.board.Totals(now)
		a.ledger.Take(total, now)
	}
	return a.ledger.Since(since)
}

// mostGiven bounds in bytes, packed, the configuration that is given to routers which can read it: beyond it a hundred of them
// at once would fill the link of the hub's VM for longer than a configuration may take to be in force.
const mostGiven = 128 << 10

// given is the configuration for a router that wants it.
func (a *Agent) given(args *Report) (p *Packed, err error) {
	p, err = a.packer.pack(a.Record(), args.Holds, a.beside())
	if p != nil && len(p.Data) > mostGiven && !args.Failing {
		return nil, nil
	}
	return p, err
}

func extent(f Followed, arrived time.Duration) (e Extent) {
	next, sent, ok := f.Known()
	return Extent{Known: ok && sent > 0, Next: next, Age: arrived - sent}
}
