package origins

import (
	"cmp"
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/hashmix"
	"savoryfall/core/members"
	"savoryfall/core/origin"
	"savoryfall/core/originbatch"
	"savoryfall/core/origintable"
	"savoryfall/core/versionhistory"
	"savoryfall/io/traffic"
)

const (
	// MaxRetention bounds for how long a record is kept.
	MaxRetention = 2 * time.Minute
	// copies is how many other routers keep a record.
	copies = 3
	// settledWindow is how long ago a service may have had a second version for the streams that run to be appended.
	settledWindow = 5 * time.Second
	// candidates is how many routers may be given a record, and are asked for it: those that do not answer are replaced by the
	// next ones.
	candidates = 8
	// maxPutRecords limits the records of one call.
	maxPutRecords = 2000
)

// Log is a log of where streams began, which outlives the routers.
type Log interface {
	// Append appends the origins of streams whose first event is about to be forwarded, in the background.
	Append(records ...originbatch.Record)
	// Find returns where the stream began, as of a read that is at most as old as maxAge. conflict is set if records of it differ.
	Find(key uint64, maxAge time.Duration) (o origin.Origin, ok, conflict bool)
}

// Keeper keeps where streams began, here and at other routers. The exported fields are set before its use.
type Keeper struct {
	// Others returns the other routers that are not known to have failed.
	Others func() []members.Member
	// Dial connects to another router.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	History *versionhistory.History
	// Learn reads the record of software versions, which may tell this router which ones there were before it started, and reports
	// whether the store has answered. It may be nil.
	Learn func(ctx context.Context) (ok bool)
	// Log outlives all routers. It may be nil.
	Log   Log
	Meter *traffic.Meter

	table     origintable.Table
	startedAt time.Time
	stopped   atomic.Bool
	cancel    context.CancelFunc
	running   background.Group

	mu    sync.Mutex
	peers map[string]*peer
}

// Register adds the service for other routers.
func (k *Keeper) Register(s *rpc.Server) error {
	return s.RegisterName(serviceName, &Service{keeper: k})
}

// Start closes unused connections in the background.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel, k.startedAt = cancel, time.Now()
	k.running.Go(func() {
		background.Every(ctx, idleTimeout/4, func(now time.Time) { k.closePeers(now.Add(-idleTimeout)) })
	})
	return nil
}

// Stop closes all connections.
func (k *Keeper) Stop(context.Context) error {
	k.stopped.Store(true)
	k.cancel()
	k.running.Stop()
	k.closePeers(time.Now())
	return nil
}

func (k *Keeper) closePeers(unusedSince time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, p := range k.peers {
		p.close(unusedSince)
		if !p.usedAfter(unusedSince) {
			delete(k.peers, name)
		}
	}
}

// Records returns the number of records that this router has.
func (k *Keeper) Records() int { return k.table.Len() }

// ranked returns the other routers in the order in which they keep the record of the stream. All routers compute the same
// order.
func (k *Keeper) ranked(key uint64) (peers []*peer) {
	if k.stopped.Load() {
		return nil
	}
	type rankedPeer struct {
		*peer
		score uint64
	}
	var list []rankedPeer
	others := k.Others()
	k.mu.Lock()
	for _, m := range others {
		list = append(list, rankedPeer{k.peer(m), hashmix.Mix(key ^ members.Hash(m.Name))})
	}
	k.mu.Unlock()
	slices.SortFunc(list, func(a, b rankedPeer) int { return cmp.Compare(b.score, a.score) })
	for _, c := range list {
		peers = append(peers, c.peer)
	}
	return peers
}

// keepers returns the routers that are to keep the record of the stream, without those that did not answer lately.
func (k *Keeper) keepers(key uint64) (peers []*peer) {
	now := time.Now()
	return slices.DeleteFunc(k.ranked(key), func(p *peer) bool { return !p.usable(now) })
}

// peer returns the connection to the router. The caller holds the lock.
func (k *Keeper) peer(m members.Member) *peer {
	if k.peers == nil {
		k.peers = map[string]*peer{}
	}
	p := k.peers[m.Name]
	if p == nil || p.member.Address != m.Address || p.member.Started != m.Started {
		if p != nil {
			p.close(time.Now())
		}
		p = &peer{keeper: k, member: m}
		k.peers[m.Name] = p
	}
	return p
}

// Begin records that a stream is sent to an endpoint. earlier is the placement of the record of an earlier attempt of the same
// request, nil for the first one.
func (k *Keeper) Begin(r origintable.Record, earlier *Placement) *Placement {
	now := time.Now()
	shared := !k.History.Settled(r.Origin.Service, now) || earlier.Shared()
	k.table.Begin(r, shared, now)
	if !shared {
		return &Placement{}
	}
	p := &Placement{version: r.Origin.Version, any: make(chan struct{}), all: make(chan struct{})}
	p.supersede(earlier)
	k.share(r, p)
	return p
}

// share has other routers keep the record: all that may have an earlier one of the stream, and as many as keep copies. Those
// that fail are replaced by the next ones.
func (k *Keeper) share(r origintable.Record, p *Placement) {
	args := &PutArgs{Records: []origintable.Record{r}}
	var calls sync.WaitGroup
	var failed atomic.Bool
	for _, earlier := range p.earlier {
		calls.Go(func() {
			if earlier.call("Put", args, &PutReply{}, callTimeout) != nil {
				failed.Store(true)
				return
			}
			p.acked()
		})
	}
	peers := slices.DeleteFunc(k.keepers(r.Key), func(c *peer) bool { return slices.Contains(p.earlier, c) })
	peers = peers[:min(len(peers), candidates)]
	var next atomic.Int64
	for range min(copies-len(p.earlier), len(peers)) {
		calls.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(peers) && p.contact(peers[i]); i = int(next.Add(1)) - 1 {
				var reply PutReply
				if peers[i].call("Put", args, &reply, callTimeout) == nil && reply.Kept > 0 {
					p.acked()
					return
				}
			}
		})
	}
	go func() {
		calls.Wait()
		p.finish(!failed.Load())
	}()
}

// Settled reports whether the service has had a single software version for a while.
func (k *Keeper) Settled(service string) bool { return k.History.Settled(service, time.Now()) }

// EventForwarded records that the first event of the stream is about to be forwarded, so that it can go on only where the record
// says. Earlier, a retry might still begin it at another version.
func (k *Keeper) EventForwarded(r origintable.Record) {
	if k.Log == nil {
		return
	}
	// The record is final before the versions are looked at: one that appears meanwhile has EndpointsChanged append it.
	k.table.Finalize(r, false)
	if k.onlyVersion(r) {
		return
	}
	if k.Learn != nil && !k.History.Knows(r.Remaining, time.Now()) {
		// A router that has started just now may learn that a service has had one version, so that it need not append.
		k.running.Go(func() {
			k.learn()
			if !k.onlyVersion(r) {
				k.append(r)
			}
		})
		return
	}
	k.append(r)
}

// onlyVersion reports whether any router can know the version of the stream without a record, as the service has had no other.
func (k *Keeper) onlyVersion(r origintable.Record) (ok bool) {
	_, ok = k.History.Only(r.Origin.Service, r.Remaining, time.Now())
	return ok
}

func (k *Keeper) append(r origintable.Record) {
	k.table.Finalize(r, true)
	k.Log.Append(originbatch.Record{Key: r.Key, Origin: r.Origin})
}

// appendRunning appends the records of streams that run while a second version appears.
func (k *Keeper) appendRunning(service string, now time.Time) {
	if k.Log == nil {
		return
	}
	var records []originbatch.Record
	for _, r := range k.table.TakeUnlogged(service, now) {
		records = append(records, originbatch.Record{Key: r.Key, Origin: r.Origin})
	}
	if len(records) > 0 {
		k.Log.Append(records...)
	}
}

// EndpointsChanged shares the records of services that no longer have a single version.
func (k *Keeper) EndpointsChanged() {
	now := time.Now()
	for _, service := range k.History.Services() {
		if k.History.Settled(service, now) {
			continue
		}
		if _, only := k.History.Only(service, settledWindow, now); !only {
			k.appendRunning(service, now)
		}
		if records := k.table.TakeUnshared(service, now); len(records) > 0 {
			go k.shareAll(records)
		}
	}
}

// HandOver gives the records that this router keeps to others, because it is about to stop. It returns after the time at the
// latest.
func (k *Keeper) HandOver(atMost time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.shareAll(k.table.Shared(time.Now()))
	}()
	select {
	case <-done:
	case <-time.After(atMost):
	}
}

// shareAll has other routers keep the records, with few calls.
func (k *Keeper) shareAll(records []origintable.Record) {
	byPeer := map[*peer][]origintable.Record{}
	for _, r := range records {
		peers := k.keepers(r.Key)
		// The first ones may have the record already, so one more is given it.
		for _, p := range peers[:min(copies+1, len(peers))] {
			byPeer[p] = append(byPeer[p], r)
		}
	}
	var calls sync.WaitGroup
	for p, list := range byPeer {
		calls.Go(func() {
			for part := range slices.Chunk(list, maxPutRecords) {
				if p.call("Put", &PutArgs{Records: part}, &PutReply{}, callTimeout) != nil {
					return
				}
			}
		})
	}
	calls.Wait()
}
