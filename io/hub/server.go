package hub

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/keyed"
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
	a.greet(args)
	a.board.Take(args.From.Name, args.Work, args.Reads, time.Now())
	a.await(args)
	a.tell(args, reply, arrived)
	return nil
}

// greet takes a router that reports for the first time into the list.
func (a *Agent) greet(args *Report) {
	if !a.Members.Put(args.From) {
		return
	}
	a.mu.Lock()
	a.listed++
	a.mu.Unlock()
	a.Counted(a.Members.Len())
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
	_, number := a.Endpoints.Changes().Since(args.Entries)
	return ok && next > args.Configuration || number > args.Entries
}

// Ring tells the reports that wait that there may be news.
func (a *Agent) Ring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.news)
	a.news = make(chan struct{})
}

func (a *Agent) tell(args *Report, reply *Reply, arrived time.Duration) {
	since, heard, listed := args.Entries, args.Heard, args.Listed
	if args.Epoch != a.epoch {
		since, heard, listed = 0, 0, -1
	}
	reply.Epoch = a.epoch
	reply.Whole = since == 0
	// The extents are read before the changes: what comes between is told twice rather than never.
	reply.Configuration = extent(a.Configuration, arrived)
	reply.Registry = extent(a.Registry, arrived)
	if args.Wants && reply.Configuration.Known {
		reply.Given = a.given(args)
	}
	reply.Changes, reply.Entries = a.Endpoints.Changes().Since(since)
	reply.Work, reply.Routers = a.board.Totals(time.Now())
	reply.Reads, reply.Heard = a.board.ReadsSince(heard)
	a.mu.Lock()
	reply.Listed = a.listed
	a.mu.Unlock()
	if reply.Listed != listed {
		reply.Members = a.Members.All()
	}
}

// mostGiven bounds in bytes the configuration that is given to routers which can read it: beyond it a hundred of them at
// once would fill the link of the hub's VM for longer than a configuration may take to be in force.
const mostGiven = 128 << 10

// given is the configuration for a router that wants it.
func (a *Agent) given(args *Report) *keyed.Record {
	r := a.Record()
	if r != nil && len(r.Value) > mostGiven && !args.Failing {
		return nil
	}
	return r
}

func extent(f Followed, arrived time.Duration) (e Extent) {
	next, sent, ok := f.Known()
	return Extent{Known: ok && sent > 0, Next: next, Age: arrived - sent}
}
