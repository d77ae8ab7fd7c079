package hub

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"savoryfall/core/board"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
	"savoryfall/io/meter"
)

// serviceName is that of the hub in net/rpc.
const serviceName = "Hub"

// heard is what was heard last of a hub in one life of it.
type heard struct {
	epoch int64
	Numbers
	total board.Work
	// stamp is what the hub's clock showed when it wrote the last reply, at when that was taken by this router's.
	stamp, at time.Duration
	// extents are up to where the hub knew the topics.
	configuration, registry Extent
	// asked tells that the hub wants this router to read the store.
	asked bool
	// failing tells that who reads for the hub cannot.
	failing bool
}

// of is what was heard of the hub of that life.
func (h *heard) of(epoch int64) *heard {
	if h.epoch != epoch {
		*h = heard{epoch: epoch}
	}
	return h
}

const (
	// hold is how long the hub keeps a report when it has no news: a leaving endpoint is known everywhere within this
	// and the hub's own reading.
	hold = 300 * time.Millisecond
	// holdAbove is the same for the report of a router that is itself a hub, whose followers wait for it.
	holdAbove = 100 * time.Millisecond
	// answerWithin is how much longer than that an answer may take.
	answerWithin = 400 * time.Millisecond
)

// report tells the hub what this router and those that report to it have going on, and takes what it answers.
func (a *Agent) report(ctx context.Context, m members.Member) (err error) {
	now := time.Now()
	own := a.Loads.Work(now)
	fresh := a.board.Take(a.Self.Name, own, a.Loads.Placed(), now)
	work, routers := a.board.Reported(now)
	args := &Report{
		From: a.Self, Loads: columns(work.Loads), Demands: work.Demands, Epoch: a.heard.epoch, Numbers: a.heard.Numbers,
		Digest: a.Members.Digest(), Configuration: a.heard.configuration.Next, Wants: a.Configuration.Wants(),
		Failing: a.Configuration.Failing(), Holds: a.holds(), Offer: a.offer(), Hold: hold,
	}
	args.Reads, args.Joined = a.untold(fresh)
	if routers > 1 {
		args.Hold = holdAbove
	}
	if m.Name != a.Follows() {
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
	a.delivered(args)
	if a.stuck(&reply) || a.behind(&reply, &args.Offer, sent) {
		return errBehind
	}
	return a.take(&reply, work, own, sent)
}

// notHeld is the offset of no record.
const notHeld = -1

// holds is the offset of the record of the configuration in force.
func (a *Agent) holds() int64 {
	if r := a.Record(); r != nil {
		return r.Offset
	}
	return notHeld
}

// beside are the other records of the configuration's topic that are in force.
func (a *Agent) beside() []keyed.Record {
	if a.Beside == nil {
		return nil
	}
	return a.Beside()
}

// mostPending bounds the reads that are kept while no hub takes them.
const mostPending = 4096

// untold is what the hub has not taken yet, with the reads that came just now.
func (a *Agent) untold(fresh []board.Read) (reads []board.Read, joined []members.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, fresh...)
	if len(a.pending) > mostPending {
		a.pending = append([]board.Read(nil), a.pending[len(a.pending)-mostPending:]...)
	}
	return append([]board.Read(nil), a.pending...), append([]members.Member(nil), a.joined...)
}

// delivered notes that the hub has taken what the report held; more may have come meanwhile.
func (a *Agent) delivered(args *Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = a.pending[min(len(args.Reads), len(a.pending)):]
	a.joined = a.joined[min(len(args.Joined), len(a.joined)):]
}

// Why a hub that answers is left.
var (
	errBehind = errors.New("the hub is behind")
	errFull   = errors.New("the hub serves as many as it can")
	errReply  = errors.New("the hub's answer does not go on from the last")
	// errSilent says that the hub did not answer in time.
	errSilent = errors.New("the hub does not answer")
)

// hopEvery is the least time between two hubs that are left although this router cannot read either: in an outage each of
// eighty routers left one hub after the other as fast as they answered, became its own, and asked the store as often as a
// hub does. Within the term of withdrawn keys this leaves time for some hubs.
const hopEvery = time.Second

// behind tells whether the hub's reads are old, and this router's own, which it then makes, are newer. Such a hub is cut
// off from the store or turned away by it; its list of endpoints would bring back those that have left. Where this router
// can read, the hub is left at once, unless it has just asked for what this router knows. Where it cannot, another hub may,
// so it tries one after the other.
func (a *Agent) behind(r *Reply, offer *Offer, sent time.Duration) bool {
	newer, reads := a.compare(r.Configuration, a.Configuration, sent)
	newerToo, readsToo := a.compare(r.Registry, a.Registry, sent)
	offered := offer.Given != nil || len(offer.Changes) > 0
	if r.Read && !offered {
		return false
	}
	if reads || readsToo {
		return true
	}
	if !newer && !newerToo || sent-a.hopped < hopEvery {
		return false
	}
	a.hopped = sent
	return true
}

// stuckAfter is the part of the age at which a router reads by itself from which on a hub is stuck: twice as old as it should
// ever be.
const stuckAfter = 1.5

// stuck tells that what the hub knows is old although nobody says that the store cannot be read.
func (a *Agent) stuck(r *Reply) bool {
	most := time.Duration(stuckAfter * float64(a.Stale))
	return !r.Failing && r.Configuration.Known && r.Registry.Known && max(r.Configuration.Age, r.Registry.Age) > most
}

// compare tells whether the hub's reads are old and this router's newer, and whether these are new enough to show that it
// can read itself.
func (a *Agent) compare(e Extent, f Followed, sent time.Duration) (newer, reads bool) {
	next, known, ok := f.Known()
	if !ok || !e.Known || e.Age <= a.Stale || next < e.Next {
		return false, false
	}
	return known > sent-e.Age+worthTaking, sent-known <= a.Stale
}

// take applies what the hub told, for a report that was sent at the time since boot. A reply that does not fit what was
// heard before drops that, so that the next report asks for everything anew.
func (a *Agent) take(r *Reply, work, own board.Work, sent time.Duration) (err error) {
	h := a.heard.of(r.Epoch)
	loads, err := r.Loads.loads()
	if err == nil && !r.follows(h.Numbers) {
		err = errReply
	}
	if err != nil {
		a.heard = heard{}
		return err
	}
	h.total = h.total.Merge(board.Work{Loads: loads, Demands: r.Demands}, r.Since.Totals == 0)
	h.Numbers, h.asked, h.failing = r.Numbers, r.Read, r.Failing
	h.stamp, h.at = r.Stamp, a.Clock()
	h.configuration, h.registry = r.Configuration, r.Registry
	a.takeRegistry(r, sent)
	a.takeConfiguration(r, sent)
	now := time.Now()
	a.board.HearTotal(h.total, work, now)
	total, _ := a.board.Totals(now)
	a.Loads.Others(total, own, now)
	a.board.Hear(r.Reads)
	a.Loads.Learn(r.Reads)
	if len(r.Members) > 0 {
		a.learn(r.Members)
	}
	return nil
}

// follows tells whether the lists go on from the numbers, or are whole.
func (r *Reply) follows(n Numbers) bool {
	for _, list := range [][3]int64{
		{r.Since.Changes, n.Changes, r.Numbers.Changes},
		{r.Since.Totals, n.Totals, r.Numbers.Totals},
		{r.Since.Members, n.Members, r.Numbers.Members},
		{r.Since.Reads, n.Reads, r.Numbers.Reads},
	} {
		since, before, next := list[0], list[1], list[2]
		if since != 0 && since != before || next < since {
			return false
		}
	}
	return true
}

func (a *Agent) takeRegistry(r *Reply, sent time.Duration) {
	next, _, ok := a.Registry.Known()
	if !r.Registry.Known {
		return
	}
	a.Registry.Attend()
	if ok && r.Registry.Next < next {
		return
	}
	a.Endpoints.Feed(r.Changes, r.Since.Changes == 0)
	a.Registry.Fed(r.Registry.Next, sent-r.Registry.Age)
}

func (a *Agent) takeConfiguration(r *Reply, sent time.Duration) {
	e := r.Configuration
	if !e.Known {
		return
	}
	a.Configuration.Attend()
	if r.Given != nil {
		a.unpack(r.Given, e.Next, sent-e.Age)
		return
	}
	if e.Next == 0 {
		// There is none yet.
		a.Configuration.Given(nil, 0, sent-e.Age)
		return
	}
	a.Configuration.Confirm(e.Next, sent-e.Age)
}

func (a *Agent) call(ctx context.Context, m members.Member, args *Report, reply *Reply) (err error) {
	ctx, cancel := context.WithTimeout(ctx, args.Hold+answerWithin)
	defer cancel()
	client, err := a.connection(ctx, m)
	if err != nil {
		return err
	}
	a.Meter.Called(meter.KindPeer)
	call := client.Go(serviceName+".Report", args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = errSilent
	}
	if err != nil {
		a.mu.Lock()
		a.drop()
		a.mu.Unlock()
	}
	return err
}

// connection is the one to the hub, made when it is first needed and again after it broke.
func (a *Agent) connection(ctx context.Context, m members.Member) (client *rpc.Client, err error) {
	a.mu.Lock()
	if a.client != nil && a.to == m {
		defer a.mu.Unlock()
		return a.client, nil
	}
	a.drop()
	a.mu.Unlock()
	// Dialled without the lock: a hub whose VM is lost answers nothing, and who tells of a new configuration meanwhile
	// must not wait for that.
	raw, err := a.Network.Dial(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client, a.to = rpc.NewClient(a.Meter.Conn(meter.KindPeer, raw)), m
	return a.client, nil
}

func (a *Agent) drop() {
	if a.client != nil {
		_ = a.client.Close()
		a.client = nil
	}
}
