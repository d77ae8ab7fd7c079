package hub

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/core/readrotation"
	"savoryfall/io/traffic"
)

// Service is the RPC service that other routers call.
type Service struct{ agent *Agent }

func (a *Agent) serve() {
	server := rpc.NewServer()
	err := server.RegisterName(serviceName, &Service{agent: a})
	if err == nil && a.Register != nil {
		err = a.Register(server)
	}
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
			background.Sleep(context.Background(), rootPeriod, nil)
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
		server.ServeConn(a.Meter.CountBytes(traffic.KindPeer, raw))
		a.mu.Lock()
		delete(a.accepted, raw)
		a.mu.Unlock()
	}()
}

// maxHold limits the hold that a report may request.
const maxHold = 5 * time.Second

// Report takes in a router's report, and replies with what the router has not received yet.
func (s *Service) Report(args *Report, reply *Reply) (err error) {
	a := s.agent
	arrived := a.Clock()
	now := time.Now()
	if a.atCapacity(args.From.Name, now) {
		reply.Full = true
		return nil
	}
	rows, err := args.Loads.rows()
	if err != nil {
		return err
	}
	a.registerRouters(args)
	a.Parts.Merge(args.Parts, now)
	fresh := a.aggregator.AddReport(args.From.Name, fleetload.Workload{Loads: rows, Demands: args.Demands}, args.Reads, now)
	a.mu.Lock()
	a.pendingReads = append(a.pendingReads, fresh...)
	a.mu.Unlock()
	newer, incomplete := a.applyOffer(args)
	if !incomplete {
		// Otherwise the router learns at once that it is to bring the data.
		a.awaitNews(args)
	}
	err = a.fillReply(args, reply, arrived)
	if err != nil {
		return err
	}
	reply.Failing = a.readersFailing()
	from := readrotation.Router{Name: args.From.Name, HasNewer: newer, Failing: args.Offer.Failing}
	reply.Read = a.readers.ShouldRead(from, a.storeAccess(), a.Clock())
	return nil
}

// atCapacity reports whether this router has as many followers as its VM can serve and the given router is not one of
// them.
func (a *Agent) atCapacity(router string, now time.Time) bool {
	if a.aggregator.HasReport(router, now) {
		return false
	}
	_, routers := a.aggregator.LocalTotals(now)
	return routers > a.Self.MaxFollowers()
}

// registerRouters adds the reporting router and those that joined it, and queues the new ones for the next report.
func (a *Agent) registerRouters(args *Report) {
	added := a.addRouters(append([]members.Member{args.From}, args.Joined...))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joinedRouters = append(a.joinedRouters, added...)
}

// awaitNews returns when there is news for the router, or when the hold it requested has passed.
func (a *Agent) awaitNews(args *Report) {
	timer := time.NewTimer(min(args.Hold, maxHold))
	defer timer.Stop()
	for {
		// Take the channel before checking for news, so that a change between the two is not missed.
		a.mu.Lock()
		newsCh := a.newsCh
		a.mu.Unlock()
		if a.hasNews(args) {
			return
		}
		select {
		case <-newsCh:
		case <-timer.C:
			return
		}
	}
}

func (a *Agent) hasNews(args *Report) bool {
	if args.Epoch != a.epoch || args.Wants {
		return true
	}
	end, _, ok := a.Configuration.Position()
	_, changesNext := a.Endpoints.Changes().Since(args.Numbers.Changes)
	return ok && args.configuration(end.Generation).Before(end) || changesNext > args.Numbers.Changes || args.lacksParts(a.Parts.Version())
}

// lacksParts reports whether the reporting router is to be sent records of prompt parts up to the version.
func (r *Report) lacksParts(version int64) bool { return r.TakesParts && version > r.Numbers.Parts }

// configuration returns up to where the reporting router knows the configuration topic. If it does not say of which
// generation that is, it is taken to be of the given one.
func (r *Report) configuration(generation int64) compactedlog.Position {
	return compactedlog.Position{Generation: cmp.Or(r.ConfigurationGeneration, generation), Offset: r.Configuration}
}

// NotifyNews wakes up the held reports to check for news.
func (a *Agent) NotifyNews() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.newsCh)
	a.newsCh = make(chan struct{})
}

func (a *Agent) fillReply(args *Report, reply *Reply, arrived time.Duration) (err error) {
	reply.Epoch = a.epoch
	if args.Epoch == a.epoch {
		reply.Since = args.Numbers
	}
	since, sequence := reply.Since, &reply.Numbers
	// The positions are read before the changes, so that a change in between is sent twice rather than never.
	reply.Configuration = topicPosition(a.Configuration, arrived)
	reply.Registry = topicPosition(a.Registry, arrived)
	if args.Wants && reply.Configuration.Known {
		reply.Given, err = a.configurationFor(args)
		if err != nil {
			return err
		}
	}
	reply.Changes, sequence.Changes = a.Endpoints.Changes().Since(since.Changes)
	var total fleetload.Workload
	total, sequence.Totals = a.totalsSince(since.Totals)
	reply.Loads, reply.Demands = toColumns(total.Loads), total.Demands
	reply.Reads, sequence.Reads = a.aggregator.ReadsSince(since.Reads)
	if args.TakesParts {
		reply.Parts, sequence.Parts = a.Parts.Since(since.Parts, time.Now())
	}
	reply.Members, sequence.Members = a.Members.Since(since.Members, args.Digest)
	reply.Stamp = a.Clock()
	return nil
}

// totalsSince returns the total loads that changed after the sequence number.
func (a *Agent) totalsSince(since int64) (work fleetload.Workload, next int64) {
	now := time.Now()
	if a.ledger.NeedsUpdate(now) {
		total, _ := a.aggregator.Totals(now)
		a.ledger.Update(total, now)
	}
	return a.ledger.Since(since)
}

// maxGivenBytes limits the compressed size of a configuration sent to routers that can read it themselves. A larger
// one sent to a hundred of them at once would fill the link of the hub's VM for longer than a configuration may take
// to come into force.
const maxGivenBytes = 128 << 10

// configurationFor returns the configuration for a router that requested it, or nil if it should read it itself.
func (a *Agent) configurationFor(args *Report) (p *CompressedConfiguration, err error) {
	p, err = a.compressionCache.compress(a.CurrentRecord(), args.holds(), a.otherRecords())
	if p != nil && len(p.Data) > maxGivenBytes && !args.Failing {
		return nil, nil
	}
	return p, err
}

// holds returns where the reporting router read the configuration that it has in force.
func (r *Report) holds() compactedlog.Position {
	return compactedlog.Position{Generation: r.HoldsGeneration, Offset: r.Holds}
}

func topicPosition(f TopicReader, arrived time.Duration) (position TopicPosition) {
	end, sent, ok := f.Position()
	return TopicPosition{Known: ok && sent > 0, Next: end.Offset, Generation: end.Generation, Age: arrived - sent}
}
