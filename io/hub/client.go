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

// report tells the hub what this router has going on, and takes what it answers.
func (a *Agent) report(ctx context.Context, m members.Member) (err error) {
	now := time.Now()
	own := a.Loads.Work(now)
	a.pending = append(a.pending, a.Loads.Placed()...)
	args := &Report{
		From: a.Self, Work: own, Reads: a.pending, Epoch: a.hubEpoch, Entries: a.entries, Heard: a.heard, Listed: a.members, Hold: hold,
		Configuration: a.told, Wants: a.Configuration.Wants(), Failing: a.Configuration.Failing(),
	}
	var reply Reply
	sent := a.Clock()
	err = a.call(ctx, m, args, &reply)
	if err != nil {
		return err
	}
	a.pending = nil
	if a.behind(&reply, sent) {
		return errBehind
	}
	a.take(&reply, own, sent)
	return nil
}

// errBehind says that the hub knows less than this router does.
var errBehind = errors.New("the hub is behind")

// staleAfter is the age of a hub's reads from which on it is no use, if others can read.
const staleAfter = 1500 * time.Millisecond

// hopEvery is the least time between two hubs that are left although this router cannot read either: in an outage each of
// eighty routers left one hub after the other as fast as they answered, became its own, and asked the store as often as a
// hub does. Within the term of withdrawn keys this leaves time for some hubs.
const hopEvery = time.Second

// behind tells whether the hub's reads are old, and this router's own, which it then makes, are newer. Such a hub is cut
// off from the store or turned away by it; its list of endpoints would bring back those that have left. Where this router
// can read, the hub is left at once. Where it cannot, another hub may, so it tries one after the other.
func (a *Agent) behind(r *Reply, sent time.Duration) bool {
	newer, reads := a.compare(r.Configuration, a.Configuration, sent)
	newerToo, readsToo := a.compare(r.Registry, a.Registry, sent)
	if reads || readsToo {
		return true
	}
	if !newer && !newerToo || sent-a.hopped < hopEvery {
		return false
	}
	a.hopped = sent
	return true
}

// compare tells whether the hub's reads are old and this router's newer, and whether these are new enough to show that it
// can read itself.
func (a *Agent) compare(e Extent, f Followed, sent time.Duration) (newer, reads bool) {
	next, known, ok := f.Known()
	if !ok || !e.Known || e.Age <= staleAfter || next < e.Next {
		return false, false
	}
	return known > sent-e.Age, sent-known <= staleAfter
}

// take applies what the hub told, for a report that was sent at the time since boot.
func (a *Agent) take(r *Reply, own board.Work, sent time.Duration) {
	a.hubEpoch, a.entries, a.heard, a.members = r.Epoch, r.Entries, r.Heard, r.Listed
	next, _, ok := a.Registry.Known()
	if r.Registry.Known && (!ok || r.Registry.Next >= next) {
		a.Endpoints.Feed(r.Changes, r.Whole)
		a.Registry.Fed(r.Registry.Next, sent-r.Registry.Age)
	}
	a.takeConfiguration(r, sent)
	a.Loads.Others(r.Work, own, time.Now())
	a.Loads.Learn(r.Reads)
	if len(r.Members) > 0 {
		a.learn(r.Members)
	}
}

func (a *Agent) takeConfiguration(r *Reply, sent time.Duration) {
	e := r.Configuration
	if !e.Known {
		return
	}
	a.told = e.Next
	if r.Given != nil {
		a.Configuration.Given([]keyed.Record{*r.Given}, e.Next, sent-e.Age)
		return
	}
	a.Configuration.Confirm(e.Next, sent-e.Age)
}

// errSilent says that the hub did not answer in time.
var errSilent = errors.New("the hub does not answer")

func (a *Agent) call(ctx context.Context, m members.Member, args *Report, reply *Reply) (err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+answerWithin)
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
	raw, err := a.Meter.Dial(meter.KindPeer)(ctx, "tcp4", m.Address)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client, a.to = rpc.NewClient(raw), m
	return a.client, nil
}

func (a *Agent) drop() {
	if a.client != nil {
		_ = a.client.Close()
		a.client = nil
	}
}
