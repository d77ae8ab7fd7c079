package origins

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/hashmix"
	"savoryfall/core/members"
	"savoryfall/core/origin"
	"savoryfall/core/origintable"
	"savoryfall/core/versionhistory"
	"savoryfall/io/traffic"
)

const (
	// MaxRetention bounds for how long a record is kept.
	MaxRetention = 2 * time.Minute
	// copies is how many other routers keep a record.
	copies = 3
	// asked is how many routers are asked for a record. It is more than copies, because routers that did not answer were
	// replaced by the next ones.
	asked = 8
	// maxPutRecords limits the records of one call.
	maxPutRecords = 2000
)

// Keeper keeps where streams began, here and at other routers. The exported fields are set before its use.
type Keeper struct {
	// Others returns the other routers that are not known to have failed.
	Others func() []members.Member
	// Dial connects to another router.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	History *versionhistory.History
	Meter   *traffic.Meter

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

func (p *peer) usedAfter(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedAt.After(at)
}

// Records returns the number of records that this router has.
func (k *Keeper) Records() int { return k.table.Len() }

// ranked returns the other routers in the order in which they keep the record of the stream. All routers compute the same
// order.
func (k *Keeper) ranked(key uint64) (peers []*peer) {
	if k.stopped.Load() {
		return nil
	}
	others := k.Others()
	scores := make([]uint64, len(others))
	k.mu.Lock()
	for i, m := range others {
		scores[i] = hashmix.Mix(key ^ members.Hash(m.Name))
		peers = append(peers, k.peer(m))
	}
	k.mu.Unlock()
	sort.Sort(&byScore{peers, scores})
	return peers
}

// byScore sorts peers by score, the highest first.
type byScore struct {
	peers  []*peer
	scores []uint64
}

func (s *byScore) Len() int           { return len(s.peers) }
func (s *byScore) Less(i, j int) bool { return s.scores[i] > s.scores[j] }
func (s *byScore) Swap(i, j int) {
	s.peers[i], s.peers[j] = s.peers[j], s.peers[i]
	s.scores[i], s.scores[j] = s.scores[j], s.scores[i]
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
			if earlier.call("Put", args, &PutReply{}) != nil {
				failed.Store(true)
				return
			}
			p.acked()
		})
	}
	peers := slices.DeleteFunc(k.keepers(r.Key), func(c *peer) bool { return slices.Contains(p.earlier, c) })
	peers = peers[:min(len(peers), asked)]
	var next atomic.Int64
	for range min(copies-len(p.earlier), len(peers)) {
		calls.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(peers) && p.contact(peers[i]); i = int(next.Add(1)) - 1 {
				var reply PutReply
				if peers[i].call("Put", args, &reply) == nil && reply.Kept > 0 {
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

// EndpointsChanged shares the records of services that no longer have a single version.
func (k *Keeper) EndpointsChanged() {
	now := time.Now()
	for _, service := range k.History.Services() {
		if k.History.Settled(service, now) {
			continue
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
				if p.call("Put", &PutArgs{Records: part}, &PutReply{}) != nil {
					return
				}
			}
		})
	}
	calls.Wait()
}

// Source is how the origin of a stream became known.
type Source string

// The sources of an origin.
const (
	// Own means that this router had the record, Router that another one did.
	Own    Source = "own"
	Router Source = "router"
	// OnlyVersion means that the service has had endpoints of one version only.
	OnlyVersion Source = "onlyVersion"
)

// Query asks where a stream began.
type Query struct {
	// Key identifies the stream. It is valid only if HasKey is set.
	Key    uint64
	HasKey bool
	// Service is the service that the request is for, and Window how long ago the stream may have begun.
	Service string
	Window  time.Duration
}

// Find returns where the stream began. ok is false if this is not known.
func (k *Keeper) Find(q Query) (o origin.Origin, from Source, ok bool) {
	if !q.HasKey {
		if version, ok := k.History.Only(q.Service, q.Window, time.Now()); ok {
			return origin.Origin{Service: q.Service, Version: version}, OnlyVersion, true
		}
	} else if r, ok := k.table.Find(q.Key, time.Now()); ok {
		return r.Origin, Own, true
	}
	r, only, ok := k.ask(q)
	if ok {
		k.table.Put(r, time.Now())
		return r.Origin, Router, true
	}
	now := time.Now()
	version, ok := k.History.Only(q.Service, q.Window, now)
	if !ok {
		// A router that has just started may learn the rest of the window from another one.
		version, ok = k.History.OnlySeen(q.Service, q.Window, now)
		ok = ok && version == only
	}
	if !ok {
		return origin.Origin{}, "", false
	}
	return origin.Origin{Service: q.Service, Version: version}, OnlyVersion, true
}

// ask asks the routers that may have the record. If none has it, only is the version of all endpoints that the service has
// had, if one of them knows.
func (k *Keeper) ask(q Query) (r origintable.Record, only string, ok bool) {
	k.awaitRouters()
	peers := k.ranked(q.Key)
	peers = peers[:min(asked, len(peers))]
	replies := make(chan *FindReply, len(peers))
	for _, p := range peers {
		go func() {
			var reply FindReply
			if p.call("Find", &FindArgs{Key: q.Key, Service: q.Service, Window: q.Window}, &reply) != nil {
				reply = FindReply{}
			}
			replies <- &reply
		}()
	}
	var late <-chan time.Time
	for range peers {
		select {
		case reply := <-replies:
			if reply.Only != "" {
				only = reply.Only
			}
			if !reply.Found || !q.HasKey {
				continue
			}
			if !ok || reply.Record.Attempt > r.Attempt {
				r, ok = reply.Record, true
			}
			if late == nil {
				late = time.After(moreReplies)
			}
		case <-late:
			return r, "", true
		}
	}
	return r, only, ok
}

const (
	// startupPeriod is how long after its start a router may not know the others yet, maxStartupWait how long a request waits
	// for them, and startupPollPeriod how often it checks.
	startupPeriod     = 2 * time.Second
	maxStartupWait    = 250 * time.Millisecond
	startupPollPeriod = 5 * time.Millisecond
)

// awaitRouters waits until a router that has just started knows others. Without it, the clients of a router that was killed
// were refused by one that had just taken its place.
func (k *Keeper) awaitRouters() {
	until := time.Now().Add(maxStartupWait)
	for len(k.Others()) == 0 && time.Since(k.startedAt) < startupPeriod && time.Now().Before(until) && !k.stopped.Load() {
		background.Sleep(context.Background(), startupPollPeriod, nil)
	}
}

// moreReplies is for how long further replies are waited for once a router had the record. One that was handed over may be of
// an earlier attempt.
const moreReplies = 30 * time.Millisecond
