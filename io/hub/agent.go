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
	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/fleetload"
	"savoryfall/core/members"
	"savoryfall/core/quarantine"
	"savoryfall/core/readrotation"
	"savoryfall/io/traffic"
)

// TopicReader reads one topic of the store, either directly or from what the hub sends.
type TopicReader interface {
	SetLeader(leader bool)
	Position() (end compactedlog.Position, sent time.Duration, ok bool)
	ConfirmEnd(end compactedlog.Position, sent time.Duration)
	AdvanceTo(end compactedlog.Position, sent time.Duration)
	HubAnswered()
	EndStartupWait()
	Failing() bool
	FailedSince(t time.Duration) bool
}

// ConfigurationReader is the reader of the configuration topic, whose newest record a router may have to request from
// the hub.
type ConfigurationReader interface {
	TopicReader
	Behind() bool
	ApplySnapshot(records []compactedlog.Record, end compactedlog.Position, sent time.Duration)
}

// Endpoints holds the registered endpoints that this router knows.
type Endpoints interface {
	Changes() *fleetload.ChangeLog
	ApplyChanges(changes []fleetload.Change, whole bool)
}

// Loads holds this router's own requests and what it learns of those of other routers.
type Loads interface {
	OwnWorkload(now time.Time) fleetload.Workload
	TakeReads() []fleetload.PrefixRead
	SetFleetWorkload(total, own fleetload.Workload, now time.Time)
	RecordReads(reads []fleetload.PrefixRead)
}

// Parts holds what this router knows of requests and prompt parts under which endpoints crashed.
type Parts interface {
	Version() int64
	Since(after int64, now time.Time) (records []quarantine.Record, version int64)
	Merge(records []quarantine.Record, now time.Time)
}

// Network connects routers with each other.
type Network interface {
	Listen(address string) (l net.Listener, err error)
	Dial(ctx context.Context, address string) (c net.Conn, err error)
}

// Config holds the dependencies and settings of an agent.
type Config struct {
	Self members.Member
	// ListenAddress is the address to listen on, which may differ from the one that other routers connect to.
	ListenAddress string
	Members       *members.List
	Configuration ConfigurationReader
	Registry      TopicReader
	// CurrentRecord returns the record that the configuration in force was decoded from.
	CurrentRecord func() *compactedlog.Record
	// OtherRecords returns the other records of the configuration topic that are in force. It is nil if the topic never
	// has any.
	OtherRecords func() []compactedlog.Record
	Endpoints    Endpoints
	Loads        Loads
	// Parts defaults to an empty table.
	Parts Parts
	// FleetState may be nil, for a router that takes no part in the exchange of states.
	FleetState FleetState
	RouterList RouterList
	// Bootstrap says that the whole fleet is starting for the first time, so the router list must still be empty.
	Bootstrap bool
	// Network defaults to TCP.
	Network Network
	// Split returns a listener for the connections that are for the hub, if the listener also gets others. It may be nil.
	Split func(l net.Listener) net.Listener
	// Register registers further services for other routers. It may be nil.
	Register func(s *rpc.Server) error
	Meter    *traffic.Meter
	Logger   log.Logger
	// Clock returns the time since boot, including time suspended.
	Clock func() time.Duration
	// StaleAfter is the age from which a hub's reads are too old to use if another router can read the store.
	StaleAfter time.Duration
	// OnRoutersChanged is called with the hashes of the names of all known routers.
	OnRoutersChanged func(routers []uint64)
}

// Agent reports to this router's hub, and serves as the hub of the routers that report to it.
type Agent struct {
	Config
	listener         net.Listener
	aggregator       fleetload.Aggregator
	ledger           fleetload.VersionedTotals
	readers          readrotation.Rotation
	compressionCache compressionCache
	states           fleetStates
	epoch            int64
	cancel           context.CancelFunc
	goroutines       background.Group

	mu           sync.Mutex
	accepted     map[net.Conn]bool
	client       *rpc.Client
	connectedTo  members.Member
	newsCh       chan struct{}
	partsChanged chan struct{}
	listLoaded   chan struct{}
	nextListRead time.Time
	// listGeneration is the generation of the store in which this router has last seen that the router list is complete,
	// and nextListCheck when it may check that again.
	listGeneration int64
	nextListCheck  time.Time
	hubName        string
	stopped        bool
	// readsStore is set if this router reads the store, because it has no hub or its hub asked it to.
	readsStore bool
	// readsSince is the time since boot from which on this router reads the store.
	readsSince time.Duration
	// hubFailing is set if no router that reads for the hub can read the store.
	hubFailing bool
	// pendingReads and joinedRouters were received here and have not been accepted by a hub yet.
	pendingReads  []fleetload.PrefixRead
	joinedRouters []members.Member

	// hubState holds what the hub sent last. Only the reporting goroutine uses it.
	hubState hubState
	// lastHubChange is when this router, unable to read the store itself, last left a hub.
	lastHubChange time.Duration
	// hubBehindSince is since when the hub has been behind what it was offered, 0 if it is not.
	hubBehindSince time.Duration
}

// New returns an agent that already listens on its address, but serves and reports only once it is started.
func New(c Config) (a *Agent, err error) {
	defer annotate.Error(&err, "listen for routers on %s", c.ListenAddress)
	a = &Agent{Config: c, accepted: map[net.Conn]bool{}, newsCh: make(chan struct{}), partsChanged: make(chan struct{}, 1), listLoaded: make(chan struct{}), epoch: newEpoch(c.Self.Name, time.Now())}
	if a.Network == nil {
		a.Network = tcp{}
	}
	if a.Parts == nil {
		a.Parts = &quarantine.Table{}
	}
	a.Members.Put(c.Self)
	a.listener, err = a.Network.Listen(c.ListenAddress)
	if err == nil && a.Split != nil {
		a.listener = a.Split(a.listener)
	}
	return a, err
}

// newEpoch returns an identifier for this run of the router as a hub. The start time alone is not unique: VMs started
// together may read the same time, and sequence numbers of one hub would then be taken for those of another.
func newEpoch(name string, now time.Time) int64 {
	return int64(xxhash.Sum64String(name)) ^ now.UnixNano()
}

const (
	// rootPeriod is how often the root updates the totals from its own load, and how often a router that has found no
	// hub looks for one again.
	rootPeriod = 300 * time.Millisecond
	// listReadInterval is how often a root reads the router list again, so that two roots that do not know of each
	// other find out.
	listReadInterval = 10 * time.Second
	// firstListReadDelay is the delay of the first such read. Routers that start together add themselves to the list
	// while others already read it.
	firstListReadDelay = 1500 * time.Millisecond
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = time.Second
	// maxListRetryDelay limits the delay before a starting router tries again to read the router list.
	maxListRetryDelay = 2 * time.Second
)

// Start serves and reports in the background.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.lastHubChange = a.Clock()
	go a.serve()
	a.goroutines.Go(func() { a.join(ctx) })
	a.goroutines.Go(func() { a.run(ctx) })
	a.goroutines.Go(func() { a.pushParts(ctx) })
	if !a.Bootstrap {
		a.goroutines.Go(func() { a.fetchParts(ctx) })
	}
	a.goroutines.Go(func() { a.recheckFailed(ctx) })
	if a.FleetState != nil {
		a.goroutines.Go(func() { a.shareState(ctx) })
	}
	return nil
}

// Stop stops serving and reporting. The router stays on the list in the store: a VM that comes back has the same name,
// and the next hub detects by itself which routers respond.
func (a *Agent) Stop(context.Context) error {
	a.cancel()
	_ = a.listener.Close()
	a.mu.Lock()
	a.stopped = true
	for c := range a.accepted {
		_ = c.Close()
	}
	a.closeClient()
	a.mu.Unlock()
	a.goroutines.Stop()
	return nil
}

func (a *Agent) run(ctx context.Context) {
	// Without the list, a router that knows no other would become a root and poll the store although another router
	// already does so.
	background.Sleep(ctx, listLoadTimeout, a.listLoaded)
	unaidedTimer := time.AfterFunc(a.hubWait(), a.stopWaitingForHub)
	defer unaidedTimer.Stop()
	for failed := 0; ctx.Err() == nil; {
		m, found := a.Members.Hub(a.Self.Name)
		if !found {
			failed = 0
			a.runAsRoot(ctx)
			continue
		}
		started := time.Now()
		err := a.sendReport(ctx, m)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.leaveHub(m, err)
			a.checkReachable(ctx, a.Members.HubCandidates(a.Self.Name, 1<<min(failed, maxChecksLog2)))
			background.Sleep(ctx, hubChangeDelay(failed), nil)
			failed++
			continue
		}
		failed = 0
		a.Members.MarkServed(m.Name)
		a.setHub(m.Name, a.hubState.askedToRead, a.hubState.failing)
		background.Sleep(ctx, time.Until(started.Add(minReportInterval)), nil)
	}
}

// leaveHub marks a hub as failed.
func (a *Agent) leaveHub(m members.Member, err error) {
	a.Members.MarkFailed(m.Name, time.Now())
	a.hubBehindSince = 0
	a.stopWaitingForHub()
	_ = a.Logger.Log(field.Event, event.HubLost, field.Hub, m.Name, field.Err, err)
}

// hubWait returns how long a starting router waits for a hub to send the contents of the store. It grows with the
// fleet: when all routers start at once and each reads for itself, the store takes longer to answer. On the first
// start of a fleet, before it has clients, there is time to let the hub read first.
func (a *Agent) hubWait() time.Duration {
	if a.Bootstrap {
		return bootstrapHubWait
	}
	return minHubWait + time.Duration(a.Members.Len())*hubWaitPerRouter
}

// stopWaitingForHub lets this router read the topics of which no hub has sent anything yet.
func (a *Agent) stopWaitingForHub() {
	a.Configuration.EndStartupWait()
	a.Registry.EndStartupWait()
}

const (
	// listLoadTimeout is how long a starting router waits for the router list to be read.
	listLoadTimeout = 600 * time.Millisecond
	// joinSettleTime is how long the routers of a starting fleet take to add themselves to the list.
	joinSettleTime   = 400 * time.Millisecond
	minHubWait       = 30 * time.Millisecond
	hubWaitPerRouter = time.Millisecond
	bootstrapHubWait = time.Second
	// minReportInterval is the minimum time between two reports, so that changes in quick succession are sent
	// together.
	minReportInterval = 50 * time.Millisecond
	// The first failed hub is left without a delay. From the second in a row on, the delay grows from
	// firstHubChangeDelay to maxHubChangeDelay: routers that restart together would otherwise try every router on the
	// list before any of them listens, and each would read the store for itself.
	firstHubChangeDelay = 25 * time.Millisecond
	maxHubChangeDelay   = 400 * time.Millisecond
	// maxChecksLog2 is the base-2 logarithm of the maximum number of routers checked at a time.
	maxChecksLog2 = 4
	// recheckInterval is the interval between checks of hubs that did not respond.
	recheckInterval = 250 * time.Millisecond
)

// runAsRoot runs one round of a router that has no hub: it reports to its own aggregator.
func (a *Agent) runAsRoot(ctx context.Context) {
	a.setHub(a.Self.Name, true, false)
	now := time.Now()
	own := a.Loads.OwnWorkload(now)
	newReads := a.Loads.TakeReads()
	a.aggregator.AddReport(a.Self.Name, own, newReads, now)
	total, _ := a.aggregator.Totals(now)
	a.Loads.SetFleetWorkload(total, own, now)
	state := a.hubState.forEpoch(a.epoch)
	var reads []fleetload.PrefixRead
	reads, state.Reads = a.aggregator.ReadsSince(state.Reads)
	a.Loads.RecordReads(reads)
	a.mu.Lock()
	a.pendingReads, a.joinedRouters = nil, nil
	a.mu.Unlock()
	if a.listReadDue(now) {
		_, _ = a.readList(ctx)
	}
	if a.listCheckDue(now) {
		a.completeList(ctx)
	}
	background.Sleep(ctx, rootPeriod, nil)
}

// setHub records which hub this router reports to, whether it reads the store itself, and whether no router that reads
// for the hub can read the store.
func (a *Agent) setHub(hub string, readsStore, hubFailing bool) {
	a.mu.Lock()
	a.hubFailing = hubFailing
	changed, readingChanged := a.hubName != hub, a.readsStore != readsStore
	a.hubName, a.readsStore = hub, readsStore
	if readingChanged && readsStore {
		a.readsSince = a.Clock()
	}
	if changed && hub == a.Self.Name {
		a.nextListRead = time.Now().Add(firstListReadDelay)
	}
	a.mu.Unlock()
	if readingChanged {
		a.Configuration.SetLeader(readsStore)
		a.Registry.SetLeader(readsStore)
	}
	if changed || readingChanged {
		_ = a.Logger.Log(field.Event, event.HubFollowed, field.Hub, hub, field.Self, hub == a.Self.Name, field.Reads, readsStore, field.Routers, a.Members.Len())
	}
}

// readersFailing reports whether none of the routers that read the store for this one can.
func (a *Agent) readersFailing() bool {
	a.mu.Lock()
	readsStore, hubFailing := a.readsStore, a.hubFailing
	a.mu.Unlock()
	return hubFailing || readsStore && (a.Configuration.Failing() || a.Registry.Failing())
}

// ReadsStore reports whether this router polls the store, either for others or because its hub cannot.
func (a *Agent) ReadsStore() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readsStore
}

// HubName returns the name of this router's hub, or its own name if it is the root.
func (a *Agent) HubName() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hubName
}
