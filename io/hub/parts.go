package hub

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/members"
	"savoryfall/core/quarantine"
	"savoryfall/io/traffic"
)

// PartsReport is what a router sends to its hub at once when it has learned of crashes under requests and prompt parts. Its next report has the
// same again, so that nothing is lost with it. Field names are part of the wire format.
type PartsReport struct {
	Parts []quarantine.Record
}

// PartsReply is the answer to a PartsReport.
type PartsReply struct{}

const (
	// pushInterval is the minimum time between two such reports, so that changes in quick succession are sent together.
	pushInterval = 20 * time.Millisecond
	// pushTimeout limits the wait for the answer to one.
	pushTimeout = 400 * time.Millisecond
)

// Parts takes in what a router reports of requests and prompt parts.
func (s *Service) Parts(args *PartsReport, _ *PartsReply) error {
	s.agent.Parts.Merge(args.Parts, time.Now())
	return nil
}

// NotifyParts has this router's hub and the routers that report to this one learn of changed records of requests and prompt parts.
func (a *Agent) NotifyParts() {
	a.NotifyNews()
	select {
	case a.partsChanged <- struct{}{}:
	default:
	}
}

// pushParts sends changed records to the hub. A report may be held there for a few hundred milliseconds, in which
// a request that crashes endpoints can reach several more.
func (a *Agent) pushParts(ctx context.Context) {
	pushed := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.partsChanged:
		}
		var records []quarantine.Record
		records, pushed = a.Parts.Since(pushed, time.Now())
		if len(records) > 0 {
			a.push(ctx, &PartsReport{Parts: records})
		}
		background.Sleep(ctx, pushInterval, nil)
	}
}

// push sends a report on the connection to the hub, if there is one. Errors are left to the next regular report.
func (a *Agent) push(ctx context.Context, args *PartsReport) {
	a.mu.Lock()
	client := a.client
	a.mu.Unlock()
	if client == nil {
		return
	}
	a.Meter.CountCall(traffic.KindPeer)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	call := client.Go(serviceName+".Parts", args, &PartsReply{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
	}
}

// KnownPartsArgs are the arguments of KnownParts.
type KnownPartsArgs struct{}

// KnownParts returns all that this router knows of requests and prompt parts.
func (s *Service) KnownParts(_ *KnownPartsArgs, reply *PartsReport) error {
	reply.Parts, _ = s.agent.Parts.Since(0, time.Now())
	return nil
}

// askedForParts is how many other routers a starting one asks for what they know of requests and prompt
// parts.
const askedForParts = 3

// fetchParts asks other routers for what they know of requests and prompt parts. A router that starts gets that from its hub, but a root has
// none, and serves before the others report to it.
func (a *Agent) fetchParts(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.listLoaded:
	}
	others := a.Members.Others(a.Self.Name)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var calls sync.WaitGroup
	for _, m := range others[:min(len(others), askedForParts)] {
		calls.Go(func() { a.fetchPartsFrom(ctx, m) })
	}
	calls.Wait()
}

// fetchPartsFrom asks one router. One that does not answer, as one of the release before, is left out: the hub sends the same.
func (a *Agent) fetchPartsFrom(ctx context.Context, m members.Member) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	raw, err := a.Network.Dial(ctx, m.Address)
	if err != nil {
		return
	}
	client := rpc.NewClient(a.Meter.CountBytes(traffic.KindPeer, raw))
	defer func() { _ = client.Close() }()
	a.Meter.CountCall(traffic.KindPeer)
	var reply PartsReport
	call := client.Go(serviceName+".KnownParts", &KnownPartsArgs{}, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			a.Parts.Merge(reply.Parts, time.Now())
		}
	case <-ctx.Done():
	}
}
