package hub

import (
	"context"
	"net/rpc"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/quarantine"
	"savoryfall/io/traffic"
)

// PartsReport is what a router sends to its hub at once when it has learned of crashes under prompt parts. Its next report has the
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

// Parts takes in what a router reports of prompt parts.
func (s *Service) Parts(args *PartsReport, _ *PartsReply) error {
	s.agent.Config.Parts.Merge(args.Parts, time.Now())
	return nil
}

// NotifyParts has this router's hub and the routers that report to this one learn of changed records of prompt parts.
func (a *Agent) NotifyParts() {
	a.NotifyNews()
	select {
	case a.partsChanged <- struct{}{}:
	default:
	}
}

// pushParts sends changed records of prompt parts to the hub. A report may be held there for a few hundred milliseconds, in which
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
		records, pushed = a.Config.Parts.Since(pushed, time.Now())
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
