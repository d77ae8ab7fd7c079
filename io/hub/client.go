package hub

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/io/traffic"
)

// serviceName is the name of the hub's service in net/rpc.
const serviceName = "Hub"

// hubState is what a hub sent last within one epoch.
type hubState struct {
	epoch int64
	Numbers
	total fleetload.Workload
	// replyStamp is the hub's clock when it wrote the last reply; receivedAt is this router's clock when the reply
	// arrived.
	replyStamp, receivedAt time.Duration
	// configuration and registry are how far the hub has read the two topics.
	configuration, registry TopicPosition
	// sentParts is the version of this router's records of prompt parts up to which the hub has accepted them.
	sentParts int64
	// askedToRead is set if the hub asked this router to read the store.
	askedToRead bool
	// failing is set if no router that reads for the hub can read the store.
	failing bool
	// missesChanges is set if changes of endpoints after the number missedAfter were not applied, because this router had read further
	// than the hub.
	missesChanges bool
	missedAfter   int64
}

// forEpoch returns the state for the epoch, and resets it if it belongs to another one.
func (h *hubState) forEpoch(epoch int64) *hubState {
	if h.epoch != epoch {
		*h = hubState{epoch: epoch}
	}
	return h
}

const (
	// reportHold is how long a hub may hold a report while it has nothing new to send. It adds to the delay, besides
	// the hub's own read of the store, until a leaving endpoint is known everywhere.
	reportHold = 300 * time.Millisecond
	// hubReportHold is the same for a router that is itself a hub, because its own followers wait for it.
	hubReportHold = 100 * time.Millisecond
	// replyTimeout is how long a reply may take beyond the hold.
	replyTimeout = 400 * time.Millisecond
)

// sendReport sends the work of this router and of those that report to it to the hub, and applies the reply.
func (a *Agent) sendReport(ctx context.Context, m members.Member) (err error) {
	now := time.Now()
	own := a.Loads.OwnWorkload(now)
	fresh := a.aggregator.AddReport(a.Self.Name, own, a.Loads.TakeReads(), now)
	work, routers := a.aggregator.LocalTotals(now)
	args := &Report{
		From: a.Self, Loads: toColumns(work.Loads), Demands: work.Demands, Epoch: a.hubState.epoch, Numbers: a.hubState.Numbers,
		Digest: a.Members.Digest(), Wants: a.Configuration.Behind(), Failing: a.Configuration.Failing(), Offer: a.buildOffer(), Hold: reportHold,
	}
	args.Configuration, args.ConfigurationGeneration = a.hubState.configuration.Next, a.hubState.configuration.Generation
	holds := a.heldPosition()
	args.Holds, args.HoldsGeneration = holds.Offset, holds.Generation
	args.Reads, args.Joined = a.undelivered(fresh)
	var partsVersion int64
	args.Parts, partsVersion = a.Parts.Since(a.hubState.sentParts, now)
	args.TakesParts = true
	if routers > 1 {
		args.Hold = hubReportHold
	}
	if m.Name != a.HubName() {
		args.Hold = 0
	}
	var reply Reply
	sent := a.Clock()
	err = a.call(ctx, m, args, &reply)
	if err != nil {
		return err
	}
	if reply.Full {
		return errFull
	}
	a.markDelivered(args)
	if a.hubStuck(&reply) || a.hubBehind(&reply, &args.Offer, sent) {
		return errBehind
	}
	err = a.applyReply(&reply, work, own, sent)
	if err == nil && args.Epoch == reply.Epoch {
		a.hubState.sentParts = partsVersion
	}
	return err
}

// noRecord is the position that stands for no record.
var noRecord = compactedlog.Position{Offset: -1}

// heldPosition returns the position of the record of the configuration in force.
func (a *Agent) heldPosition() compactedlog.Position {
	if r := a.CurrentRecord(); r != nil {
		return r.Position()
	}
	return noRecord
}

// otherRecords returns the other records of the configuration topic that are in force.
func (a *Agent) otherRecords() []compactedlog.Record {
	if a.OtherRecords == nil {
		return nil
	}
	return a.OtherRecords()
}

// maxPendingReads limits the reads kept while no hub accepts them.
const maxPendingReads = 4096

// undelivered returns what the hub has not accepted yet, including the fresh reads.
func (a *Agent) undelivered(fresh []fleetload.PrefixRead) (reads []fleetload.PrefixRead, joinedRouters []members.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingReads = append(a.pendingReads, fresh...)
	if len(a.pendingReads) > maxPendingReads {
		a.pendingReads = append([]fleetload.PrefixRead(nil), a.pendingReads[len(a.pendingReads)-maxPendingReads:]...)
	}
	return append([]fleetload.PrefixRead(nil), a.pendingReads...), append([]members.Member(nil), a.joinedRouters...)
}

// markDelivered drops what the hub accepted with the report; more may have been added since.
func (a *Agent) markDelivered(args *Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingReads = a.pendingReads[min(len(args.Reads), len(a.pendingReads)):]
	a.joinedRouters = a.joinedRouters[min(len(args.Joined), len(a.joinedRouters)):]
}

// Reasons to leave a hub.
var (
	errBehind        = errors.New("the hub is behind")
	errFull          = errors.New("the hub is at capacity")
	errDiscontinuous = errors.New("the hub's reply does not continue from the previous one")
	errNoReply       = errors.New("timed out waiting for a reply from the hub")
)

// minHubChangeInterval is the minimum time between leaving two hubs when this router cannot read the store either.
// Without it, each of eighty routers went through all hubs in an outage as fast as they replied, became a root, and
// polled the store at the rate of a root. One second still leaves time to try several hubs before revoked keys must
// be refused.
const minHubChangeInterval = time.Second

// offerGrace is how long a hub may take to ask for what it was offered, or to take it over. Several followers read at the same
// time, of which a hub that cannot read asks a few.
const offerGrace = 400 * time.Millisecond

// hubBehind reports whether this router leaves its hub, because the hub's reads are old and this router's own, which it makes
// once they are, are newer. Such a hub is cut off from the store or refused by it, and its endpoint list would bring back
// endpoints that have left. A new hub is left at once unless it asks for the newer reads, and one that was offered them if they do
// not help it for a while. A router that cannot read the store either tries other hubs one after the other, since one of them may be able
// to read.
func (a *Agent) hubBehind(r *Reply, offer *Offer, sent time.Duration) bool {
	followed := r.Epoch == a.hubState.epoch
	configurationNewer, configurationReadable := a.compareFreshness(r.Configuration, a.readAt(a.Configuration, offer.Configuration, followed), sent)
	registryNewer, registryReadable := a.compareFreshness(r.Registry, a.readAt(a.Registry, offer.Registry, followed), sent)
	if !configurationNewer && !registryNewer {
		a.hubBehindSince = 0
		return false
	}
	if a.hubBehindSince == 0 {
		a.hubBehindSince = sent
	}
	if configurationReadable || registryReadable {
		return !followed && !r.Read || a.Clock()-a.hubBehindSince >= offerGrace
	}
	if sent-a.lastHubChange < minHubChangeInterval {
		return false
	}
	a.lastHubChange = sent
	return true
}

// stuckFactor determines when a hub counts as stuck: when its reads are older than StaleAfter times this factor. That is
// twice the age that the reads of a hub should ever reach.
const stuckFactor = 1.5

// hubStuck reports whether what the hub knows is old although it does not report that the store cannot be read.
func (a *Agent) hubStuck(r *Reply) bool {
	maxAge := time.Duration(stuckFactor * float64(a.StaleAfter))
	return !r.Failing && r.Configuration.Known && r.Registry.Known && max(r.Configuration.Age, r.Registry.Age) > maxAge
}

// ownRead is up to where this router knows a topic by a read sent at the given time since boot.
type ownRead struct {
	known bool
	end   compactedlog.Position
	sent  time.Duration
}

// readAt returns what a hub that is followed was offered of a topic, and else what this router knows of it.
func (a *Agent) readAt(f TopicReader, offered Known, followed bool) (read ownRead) {
	if followed {
		return ownRead{known: offered.Known, end: offered.end(), sent: a.hubState.receivedAt + offered.After}
	}
	read.end, read.sent, read.known = f.Position()
	return read
}

// compareFreshness reports whether the hub's reads are old and this router's are newer, and whether these are recent
// enough to show that this router can read the store.
func (a *Agent) compareFreshness(position TopicPosition, own ownRead, sent time.Duration) (newer, canRead bool) {
	if !own.known || !position.Known || position.Age <= a.StaleAfter || own.end.Before(position.end()) {
		return false, false
	}
	newer = own.sent > sent-position.Age+minFreshnessGain
	return newer, newer && sent-own.sent <= a.StaleAfter
}

// applyReply applies a reply to a report that was sent at the given time since boot. A reply that does not continue
// from the current state resets it, so that the next report requests everything.
func (a *Agent) applyReply(r *Reply, work, own fleetload.Workload, sent time.Duration) (err error) {
	state := a.hubState.forEpoch(r.Epoch)
	rows, err := r.Loads.rows()
	if err == nil && !r.continues(state.Numbers) {
		err = errDiscontinuous
	}
	if err != nil {
		a.hubState = hubState{}
		return err
	}
	state.total = state.total.ApplyDelta(fleetload.Workload{Loads: rows, Demands: r.Demands}, r.Since.Totals == 0)
	state.Numbers, state.askedToRead, state.failing = r.Numbers, r.Read, r.Failing
	state.replyStamp, state.receivedAt = r.Stamp, a.Clock()
	state.configuration, state.registry = r.Configuration, r.Registry
	a.applyRegistry(r, sent)
	a.applyConfiguration(r, sent)
	now := time.Now()
	a.aggregator.SetFleetTotal(state.total, work, now)
	total, _ := a.aggregator.Totals(now)
	a.Loads.SetFleetWorkload(total, own, now)
	a.aggregator.AddReads(r.Reads)
	a.Loads.RecordReads(r.Reads)
	a.Parts.Merge(r.Parts, now)
	if len(r.Members) > 0 {
		a.addRouters(r.Members)
	}
	return nil
}

// continues reports whether each list in the reply is complete or starts at the known sequence number.
func (r *Reply) continues(known Numbers) bool {
	for _, list := range [][3]int64{
		{r.Since.Changes, known.Changes, r.Numbers.Changes},
		{r.Since.Totals, known.Totals, r.Numbers.Totals},
		{r.Since.Members, known.Members, r.Numbers.Members},
		{r.Since.Reads, known.Reads, r.Numbers.Reads},
		{r.Since.Parts, known.Parts, r.Numbers.Parts},
	} {
		since, current, next := list[0], list[1], list[2]
		if since != 0 && since != current || next < since {
			return false
		}
	}
	return true
}

// applyRegistry applies changes of endpoints up to the hub's position, unless this router has read further. What it has read does not
// make up for changes that were not applied: records may have left the store before it began to read. They are requested
// again once the hub has read as far.
func (a *Agent) applyRegistry(r *Reply, sent time.Duration) {
	end, _, ok := a.Registry.Position()
	if r.Registry.Known {
		a.Registry.HubAnswered()
	}
	state := &a.hubState
	switch {
	case !r.Registry.Known || ok && r.Registry.end().Before(end):
		if !state.missesChanges && r.Numbers.Changes > r.Since.Changes {
			state.missesChanges, state.missedAfter = true, r.Since.Changes
		}
	case state.missesChanges:
		state.Changes, state.missesChanges = state.missedAfter, false
	default:
		a.Endpoints.ApplyChanges(r.Changes, r.Since.Changes == 0)
		a.Registry.AdvanceTo(r.Registry.end(), sent-r.Registry.Age)
	}
}

func (a *Agent) applyConfiguration(r *Reply, sent time.Duration) {
	position := r.Configuration
	if !position.Known {
		return
	}
	a.Configuration.HubAnswered()
	if r.Given != nil {
		a.applyCompressed(r.Given, position.end(), sent-position.Age)
		return
	}
	if position.Next == 0 {
		// There is no configuration yet.
		a.Configuration.ApplySnapshot(nil, position.end(), sent-position.Age)
		return
	}
	a.Configuration.ConfirmEnd(position.end(), sent-position.Age)
}

func (a *Agent) call(ctx context.Context, m members.Member, args *Report, reply *Reply) (err error) {
	ctx, cancel := context.WithTimeout(ctx, args.Hold+replyTimeout)
	defer cancel()
	client, err := a.connection(ctx, m)
	if err != nil {
		return err
	}
	a.Meter.CountCall(traffic.KindPeer)
	call := client.Go(serviceName+".Report", args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = errNoReply
	}
	if err != nil {
		a.mu.Lock()
		a.closeClient()
		a.mu.Unlock()
	}
	return err
}

// connection returns the connection to the hub, and dials it on first use and after a failure.
func (a *Agent) connection(ctx context.Context, m members.Member) (client *rpc.Client, err error) {
	a.mu.Lock()
	if a.client != nil && a.connectedTo == m {
		defer a.mu.Unlock()
		return a.client, nil
	}
	a.closeClient()
	a.mu.Unlock()
	// Dial without the lock: a hub whose VM is lost never responds, and reports from other routers must not wait for
	// that.
	raw, err := a.Network.Dial(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client, a.connectedTo = rpc.NewClient(a.Meter.CountBytes(traffic.KindPeer, raw)), m
	return a.client, nil
}

func (a *Agent) closeClient() {
	if a.client != nil {
		_ = a.client.Close()
		a.client = nil
	}
}
