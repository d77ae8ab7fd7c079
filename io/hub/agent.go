package hub

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/board"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
	"savoryfall/core/rota"
	"savoryfall/io/meter"
)

// Followed is a topic that is read at the store, by this router or by the hub.
type Followed interface {
	Lead(lead bool)
	Known() (next int64, sent time.Duration, ok bool)
	Confirm(next int64, sent time.Duration)
	Fed(next int64, sent time.Duration)
	Attend()
	Unaided()
	Failing() bool
}

// Configured is the configuration's topic, whose newest record a router may need from the hub.
type Configured interface {
	Followed
	Wants() bool
	Given(records []keyed.Record, next int64, sent time.Duration)
}

// Endpoints is what this router knows of the endpoints that are listed.
type Endpoints interface {
	Changes() *board.Changes
	Feed(changes []board.Change, whole bool)
}

// Loads is what this router has going on, and hears of the others.
type Loads interface {
	Work(now time.Time) board.Work
	Placed() []board.Read
	Others(total, own board.Work, now time.Time)
	Learn(reads []board.Read)
}

// Network is how routers reach each other.
type Network interface {
	Listen(address string) (l net.Listener, err error)
	Dial(ctx context.Context, address string) (c net.Conn, err error)
}

// Parts are the services that an agent works with.
type Parts struct {
	Self members.Member
	// Address is where this router listens, which need not be where the others reach it.
	Address       string
	Members       *members.List
	Configuration Configured
	Registry      Followed
	// Record is the one that the configuration in force was read from.
	Record func() *keyed.Record
	// Beside are the other records of its topic that are in force; nil when there are never any.
	Beside    func() []keyed.Record
	Endpoints Endpoints
	Loads     Loads
	Listing   Listing
	// Bootstrap tells that the whole fleet starts for the first time, so that nobody can be on the list yet.
	Bootstrap bool
	// Network is TCP when it is nil.
	Network Network
	Meter   *meter.Meter
	Logger  log.Logger
	// Clock is the time since boot, suspension included.
	Clock func() time.Duration
	// Stale is the age of a hub's reads from which on it is no use, if others can read.
	Stale time.Duration
	// Counted hears which routers there are, by the hashes of their names.
	Counted func(routers []uint64)
}

// Agent reports to the hub of this router, and serves as hub those that report to it.
type Agent struct {
	Parts
	listener net.Listener
	board    board.Board
	ledger   board.Ledger
	rota     rota.Rota
	packer   packer
	epoch    int64
	cancel   context.CancelFunc
	running  background.Group

	mu       sync.Mutex
	accepted map[net.Conn]bool
	client   *rpc.Client
	to       members.Member
	news     chan struct{}
	entered  chan struct{}
	relistAt time.Time
	hubName  string
	stopped  bool
	// reading tells whether this router reads the store: nobody does it for it, or its hub asked it to.
	reading bool
	// hubFails tells that who reads for the hub cannot.
	hubFails bool
	// pending and joined are reads and routers that were heard of here and that no hub has taken yet.
	pending []board.Read
	joined  []members.Member

	// heard is what was heard last of the hub. Used by the reporting goroutine only.
	heard heard
	// hopped is when a hub was left last by a router that could not read itself.
	hopped time.Duration
}

// New takes the address at once.
func New(p Parts) (a *Agent, err error) {
	defer annotate.Error(&err, "listen for routers on %s", p.Address)
	a = &Agent{Parts: p, accepted: map[net.Conn]bool{}, news: make(chan struct{}), entered: make(chan struct{}), epoch: epochOf(p.Self.Name, time.Now())}
	if a.Network == nil {
		a.Network = tcp{}
	}
	a.Members.Put(p.Self)
	a.listener, err = a.Network.Listen(p.Address)
	return a, err
}

// epochOf names this life of the router as a hub. The time alone is not enough: VMs that are started together may read the
// same one, and what one of them has numbered would be taken for the other's.
func epochOf(name string, now time.Time) int64 {
	return int64(xxhash.Sum64String(name)) ^ now.UnixNano()
}

const (
	// period is how often a hub looks at its own loads, and a router tries again that found no hub.
	period = 300 * time.Millisecond
	// relist is how often a hub reads the list of routers again: two hubs that do not know of each other find out.
	relist = 10 * time.Second
	// relistFirst is how long after its start it does so first, since all routers start at once and list themselves
	// while others already read.
	relistFirst = 1500 * time.Millisecond
	// storeWithin bounds the calls to the store.
	storeWithin = time.Second
	// listPause bounds the pause before a starting router asks for the list of routers again.
	listPause = 2 * time.Second
)

// Start serves and reports in the background.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.hopped = a.Clock()
	go a.serve()
	a.running.Go(func() { a.enter(ctx) })
	a.running.Go(func() { a.run(ctx) })
	a.running.Go(func() { a.retry(ctx) })
	return nil
}

// Stop ends both. The list at the store keeps this router's name: a VM that comes back has the same one, and the next
// hub finds out by itself who answers.
func (a *Agent) Stop(context.Context) error {
	a.cancel()
	_ = a.listener.Close()
	a.mu.Lock()
	a.stopped = true
	for c := range a.accepted {
		_ = c.Close()
	}
	a.drop()
	a.mu.Unlock()
	a.running.Stop()
	return nil
}

func (a *Agent) run(ctx context.Context) {
	// A router that knows nobody leads, and so reads all the time what another reads for it.
	background.Pause(ctx, listWithin, a.entered)
	alone := time.AfterFunc(a.patience(), a.unaided)
	defer alone.Stop()
	for failed := 0; ctx.Err() == nil; {
		m, other := a.Members.Hub(a.Self.Name)
		if !other {
			failed = 0
			a.leadOn(ctx)
			continue
		}
		began := time.Now()
		err := a.report(ctx, m)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.left(m, err)
			a.look(ctx, a.Members.Next(a.Self.Name, 1<<min(failed, mostLooks)))
			background.Pause(ctx, hopPause(failed), nil)
			failed++
			continue
		}
		failed = 0
		a.Members.Answered(m.Name)
		a.follow(m.Name, a.heard.asked, a.heard.failing)
		background.Pause(ctx, time.Until(began.Add(leastRound)), nil)
	}
}

// left notes that the hub was no use.
func (a *Agent) left(m members.Member, err error) {
	a.Members.Failed(m.Name, time.Now())
	a.unaided()
	_ = a.Logger.Log(field.Event, event.HubLost, field.Hub, m.Name, field.Err, err)
}

// patience is how long a starting router waits for a hub to tell it what the store holds. The more routers there are, the longer
// they would wait for the store when all start at once and each read for itself. In a fleet's first start, before it has clients,
// there is time for the hub to have read it.
func (a *Agent) patience() time.Duration {
	if a.Bootstrap {
		return firstPatience
	}
	return leastPatience + time.Duration(a.Members.Len())*routerPatience
}

// unaided lets the topics be read that no hub has told of yet.
func (a *Agent) unaided() {
	a.Configuration.Unaided()
	a.Registry.Unaided()
}

const (
	// listWithin is how long a router waits at its start for the list of routers to be read.
	listWithin = 600 * time.Millisecond
	// enterTogether is how long the routers of a fleet that starts take to list themselves.
	enterTogether  = 400 * time.Millisecond
	leastPatience  = 30 * time.Millisecond
	routerPatience = time.Millisecond
	firstPatience  = time.Second
	// leastRound is the least time between two reports: news that come one by one are told together.
	leastRound = 50 * time.Millisecond
	// hopFirst and hopMost bound the pause after the second hub in a row that did not answer, and after those that follow. The
	// first is left at once. All routers that start again together would otherwise run through the whole list before any of
	// them listens, and each would read the store for itself.
	hopFirst = 25 * time.Millisecond
	hopMost  = 400 * time.Millisecond
	// mostLooks is the logarithm of how many routers are looked for at a time.
	mostLooks = 4
	// retryEvery is the least time between two looks for hubs that did not answer.
	retryEvery = 250 * time.Millisecond
)

// leadOn is one round of the router that follows nobody: it reports to its own board.
func (a *Agent) leadOn(ctx context.Context) {
	a.follow(a.Self.Name, true, false)
	now := time.Now()
	own := a.Loads.Work(now)
	placed := a.Loads.Placed()
	a.board.Take(a.Self.Name, own, placed, now)
	total, _ := a.board.Totals(now)
	a.Loads.Others(total, own, now)
	h := a.heard.of(a.epoch)
	var reads []board.Read
	reads, h.Reads = a.board.ReadsSince(h.Reads)
	a.Loads.Learn(reads)
	a.mu.Lock()
	a.pending, a.joined = nil, nil
	a.mu.Unlock()
	if a.relistDue(now) {
		_, _ = a.read(ctx)
	}
	background.Pause(ctx, period, nil)
}

// follow notes whose reports this router takes part in, whether it reads the store itself, and whether who reads for it cannot.
func (a *Agent) follow(hub string, reading, hubFails bool) {
	a.mu.Lock()
	a.hubFails = hubFails
	changed, readingChanged := a.hubName != hub, a.reading != reading
	a.hubName, a.reading = hub, reading
	if changed && hub == a.Self.Name {
		a.relistAt = time.Now().Add(relistFirst)
	}
	a.mu.Unlock()
	if readingChanged {
		a.Configuration.Lead(reading)
		a.Registry.Lead(reading)
	}
	if changed || readingChanged {
		_ = a.Logger.Log(field.Event, event.HubFollowed, field.Hub, hub, field.Self, hub == a.Self.Name, field.Reads, reading, field.Routers, a.Members.Len())
	}
}

// failing tells whether nobody that reads for this router can.
func (a *Agent) failing() bool {
	a.mu.Lock()
	reading, hubFails := a.reading, a.hubFails
	a.mu.Unlock()
	return hubFails || reading && (a.Configuration.Failing() || a.Registry.Failing())
}

// Reads tells whether this router reads the store all the time, for others or because its hub cannot.
func (a *Agent) Reads() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reading
}

// Follows is the name of the hub, or this router's own when it follows nobody.
func (a *Agent) Follows() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hubName
}
