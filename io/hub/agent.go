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
	"savoryfall/io/meter"
)

// Followed is a topic that is read at the store, by this router or by the hub.
type Followed interface {
	Lead(lead bool)
	Known() (next int64, sent time.Duration, ok bool)
	Confirm(next int64, sent time.Duration)
	Fed(next int64, sent time.Duration)
}

// Configured is the configuration's topic, whose newest record a router may need from the hub.
type Configured interface {
	Followed
	Wants() bool
	Failing() bool
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

// Parts are the services that an agent works with.
type Parts struct {
	Self members.Member
	// Address is where this router listens, which need not be where the others reach it.
	Address       string
	Members       *members.List
	Configuration Configured
	Registry      Followed
	// Record is the one that the configuration in force was read from.
	Record    func() *keyed.Record
	Endpoints Endpoints
	Loads     Loads
	Listing   Listing
	Meter     *meter.Meter
	Logger    log.Logger
	// Clock is the time since boot, suspension included.
	Clock func() time.Duration
	// Counted hears how many routers there are.
	Counted func(routers int)
}

// Agent reports to the hub, and is the hub when it is this router's turn.
type Agent struct {
	Parts
	listener net.Listener
	board    board.Board
	epoch    int64
	cancel   context.CancelFunc
	running  background.Group

	mu       sync.Mutex
	accepted map[net.Conn]bool
	client   *rpc.Client
	to       members.Member
	news     chan struct{}
	entered  chan struct{}
	listed   int64
	relistAt time.Time
	hubName  string

	// What was heard last of the hub of this epoch: the numbers of changes, reads and list, and the configuration's
	// offset. Used by the reporting goroutine only, like the reads that no hub has taken yet.
	hubEpoch int64
	entries  int64
	heard    int64
	members  int64
	told     int64
	pending  []board.Read
	// hopped is when a hub was left last by a router that could not read itself.
	hopped time.Duration
}

// New takes the address at once.
func New(p Parts) (a *Agent, err error) {
	defer annotate.Error(&err, "listen for routers on %s", p.Address)
	a = &Agent{Parts: p, accepted: map[net.Conn]bool{}, news: make(chan struct{}), entered: make(chan struct{}), epoch: epochOf(p.Self.Name, time.Now())}
	a.Members.Put(p.Self)
	a.listener, err = net.Listen("tcp4", p.Address)
	return a, err
}

// epochOf names this life of the router as a hub. The time alone is not enough: VMs that are started together may read the
// same one, and what one of them has numbered would be taken for the other's.
func epochOf(name string, now time.Time) int64 {
	return int64(xxhash.Sum64String(name)) ^ now.UnixNano()
}

const (
	// hold is how long the hub keeps a report when it has no news: a leaving endpoint is known everywhere within this
	// and the hub's own reading.
	hold = 300 * time.Millisecond
	// answerWithin is how much longer than that an answer may take.
	answerWithin = 400 * time.Millisecond
	// period is how often a hub looks at its own loads, and a router tries again that found no hub.
	period = 300 * time.Millisecond
	// relist is how often a hub reads the list of routers again: two hubs that do not know of each other find out.
	relist = 10 * time.Second
	// relistFirst is how long after its start it does so first, since all routers start at once and list themselves
	// while others already read.
	relistFirst = 1500 * time.Millisecond
	// storeWithin bounds the calls to the store.
	storeWithin = time.Second
)

// Start serves and reports in the background.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.hopped = a.Clock()
	go a.serve()
	a.running.Go(func() { a.enter(ctx) })
	a.running.Go(func() { a.run(ctx) })
	return nil
}

// Stop ends both. The list at the store keeps this router's name: a VM that comes back has the same one, and the next
// hub finds out by itself who answers.
func (a *Agent) Stop(context.Context) error {
	a.cancel()
	_ = a.listener.Close()
	a.mu.Lock()
	for c := range a.accepted {
		_ = c.Close()
	}
	a.drop()
	a.mu.Unlock()
	a.running.Stop()
	return nil
}

// enter lists this router at the store and reads who else is there.
func (a *Agent) enter(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.within(ctx, func(ctx context.Context) error { return a.Listing.Enter(ctx, a.Self) })
		if err == nil {
			break
		}
		_ = a.Logger.Log(field.Event, event.NotListed, field.Err, err)
		background.Pause(ctx, storeWithin, nil)
	}
	a.read(ctx)
	close(a.entered)
}

func (a *Agent) within(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	return do(ctx)
}

// read takes the list of routers off the store.
func (a *Agent) read(ctx context.Context) {
	var all []members.Member
	err := a.within(ctx, func(ctx context.Context) (err error) {
		all, err = a.Listing.List(ctx)
		return err
	})
	if err != nil {
		_ = a.Logger.Log(field.Event, event.RoutersUnknown, field.Err, err)
		return
	}
	a.learn(all)
}

func (a *Agent) learn(all []members.Member) {
	for _, m := range all {
		if m.Name == a.Self.Name || !a.Members.Put(m) {
			continue
		}
		a.mu.Lock()
		a.listed++
		a.mu.Unlock()
	}
	a.Counted(a.Members.Len())
}

func (a *Agent) run(ctx context.Context) {
	// A router that knows nobody leads, and so reads all the time what another reads for it.
	background.Pause(ctx, listWithin, a.entered)
	for ctx.Err() == nil {
		m, other := a.Members.Hub(a.Self.Name, time.Now())
		if !other {
			a.leadOn(ctx)
			continue
		}
		began := time.Now()
		err := a.report(ctx, m)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.Members.Failed(m.Name, time.Now())
			_ = a.Logger.Log(field.Event, event.HubLost, field.Hub, m.Name, field.Err, err)
			continue
		}
		a.lead(false, m.Name)
		background.Pause(ctx, time.Until(began.Add(leastRound)), nil)
	}
}

// listWithin is how long a router waits at its start for the list of routers to be read.
const listWithin = 300 * time.Millisecond

// leastRound is the least time between two reports: news that come one by one are told together.
const leastRound = 50 * time.Millisecond

// leadOn is one round of the hub itself: it reports to its own board.
func (a *Agent) leadOn(ctx context.Context) {
	a.lead(true, a.Self.Name)
	now := time.Now()
	own := a.Loads.Work(now)
	a.board.Take(a.Self.Name, own, a.Loads.Placed(), now)
	total, _ := a.board.Totals(now)
	a.Loads.Others(total, own, now)
	var reads []board.Read
	reads, a.heard = a.board.ReadsSince(a.heardOf(a.epoch))
	a.Loads.Learn(reads)
	if a.relistDue(now) {
		a.read(ctx)
	}
	background.Pause(ctx, period, nil)
}

// heardOf is the number of the last read heard of the board of that epoch.
func (a *Agent) heardOf(epoch int64) int64 {
	if a.hubEpoch != epoch {
		a.hubEpoch, a.heard, a.entries, a.members, a.told = epoch, 0, 0, 0, 0
	}
	return a.heard
}

// relistDue tells whether the list of routers is to be read again, and sets the next time.
func (a *Agent) relistDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.relistAt) {
		return false
	}
	a.relistAt = now.Add(relist)
	return true
}

// lead notes who reads the store from now on.
func (a *Agent) lead(lead bool, hub string) {
	a.mu.Lock()
	changed := a.hubName != hub
	a.hubName = hub
	if changed && lead {
		a.relistAt = time.Now().Add(relistFirst)
	}
	a.mu.Unlock()
	if !changed {
		return
	}
	a.Configuration.Lead(lead)
	a.Registry.Lead(lead)
	_ = a.Logger.Log(field.Event, event.HubFollowed, field.Hub, hub, field.Self, lead, field.Routers, a.Members.Len())
}

// Follows is the name of the router that reads the store for this one, which may be itself.
func (a *Agent) Follows() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hubName
}
