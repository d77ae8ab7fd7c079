package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/claim"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/core/overflow"
	"savoryfall/core/quarantine"
	"savoryfall/io/traffic"
)

// Configuration is the replicated configuration that the agent reads and updates.
type Configuration interface {
	Current() *activeconfig.Configuration
	Ready() bool
	RecordsFrom(from int64, max int) [][]byte
	ApplyFromPeer(offset int64, data []byte)
	OnChange(listener func(*activeconfig.Configuration))
}

// Prober probes an endpoint immediately, after a peer has reported a change of its state.
type Prober interface {
	ProbeNow(endpoint string)
}

// Claims claims idempotency keys on behalf of other routers.
type Claims interface {
	ClaimLocally(ctx context.Context, c claim.Request) (g claim.Grant, err error)
	SettleLocally(ctx context.Context, g claim.Grant, result claim.Result)
}

// Config are the dependencies and settings of an Agent.
type Config struct {
	Members       *membership.Table
	Ledger        *ledger.Ledger
	Health        *health.Table
	Configuration Configuration
	Prober        Prober
	Claims        Claims
	Overflow      *overflow.Table
	Quarantine    *quarantine.Table
	Meter         *traffic.Meter
	Logger        log.Logger
	TLS           *tls.Config
	// Limit returns a listener that limits the connections of hosts that are not known. It may be nil.
	Limit          func(l net.Listener) net.Listener
	Period         time.Duration
	BytesPerSecond int64
}

// Agent exchanges heartbeats, load digests, leaving marks and configuration offsets with the other routers.
type Agent struct {
	Config
	listener      net.Listener
	mu            sync.Mutex
	connByPeer    map[string]*connection
	openConns     map[*connection]bool
	closed        bool
	acceptedConns map[net.Conn]bool
	findings      map[string]*pendingFinding
	marks         map[LeavingMark]int
	// unattributed holds, by peer, the endpoints whose listed incarnation the peer does not know.
	unattributed    map[string][]string
	overBudget      bool
	round           int
	lastBytes       uint64
	byteRate        float64
	overflowCursors map[string]uint64
	crashCursors    map[string]crashCursor
	partitioned     func(name string) bool
	exchangeNow     chan struct{}
	cancel          context.CancelFunc
	running         background.Group
	draining        bool
	connHandlers    background.Group
}

const (
	// fullMeshSize is the number of peers from which on a router no longer exchanges with every peer in every period,
	// but with a few random ones.
	fullMeshSize = 8
	fanout       = 3
	markRepeats  = 4
	// findingLifetimePeriods is for how many periods a finding is sent to peers that have not received it: some
	// exchanges with a peer may fail, and routers that have just started may discover each other late.
	findingLifetimePeriods = 20
	maxUpdates             = 16
	maxEndpointNotices     = 8
	maxOverflows           = 64
	maxRecords             = 200
	// byteRateSmoothing averages over about ten periods, so that a burst of that length is tolerated.
	byteRateSmoothing = 0.1
)

// New listens on the address immediately, so that Address is known before Start.
func New(address string, c Config) (a *Agent, err error) {
	defer annotate.Error(&err, "listen for peers on %s", address)
	a = &Agent{
		Config: c, connByPeer: map[string]*connection{}, openConns: map[*connection]bool{}, acceptedConns: map[net.Conn]bool{},
		findings: map[string]*pendingFinding{}, marks: map[LeavingMark]int{}, unattributed: map[string][]string{},
		overflowCursors: map[string]uint64{}, crashCursors: map[string]crashCursor{}, exchangeNow: make(chan struct{}, 1),
	}
	a.listener, err = net.Listen("tcp", address)
	if err == nil && c.Limit != nil {
		a.listener = c.Limit(a.listener)
	}
	return a, err
}

// Address returns the address on which peers reach this router.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Start serves peers and exchanges state with them in the background until Stop or Kill.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.Configuration.OnChange(func(*activeconfig.Configuration) {
		a.running.Go(func() { a.announceConfiguration(ctx) })
	})
	a.running.Go(a.serve)
	a.running.Go(func() { a.loop(ctx) })
	return nil
}

// Stop announces to the peers that this router is leaving, answers their pending calls, and closes all connections.
func (a *Agent) Stop(ctx context.Context) error {
	a.Members.Leave()
	a.exchangeAll(ctx, a.peers())
	a.drain(ctx)
	a.Kill()
	return nil
}

// Kill closes all connections without announcing it, as on the loss of the VM.
func (a *Agent) Kill() {
	a.cancel()
	_ = a.listener.Close()
	a.mu.Lock()
	a.closed = true
	for c := range a.openConns {
		a.closeConnection(c)
	}
	for c := range a.acceptedConns {
		_ = c.Close()
	}
	a.mu.Unlock()
	a.running.Stop()
	a.connHandlers.Stop()
}

func (a *Agent) loop(ctx context.Context) {
	tick := time.NewTicker(a.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.runPeriod(ctx)
		case <-a.exchangeNow:
			peers := a.peers()
			rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
			a.exchangeAll(ctx, peers[:min(fullMeshSize, len(peers))])
		}
	}
}

func (a *Agent) runPeriod(ctx context.Context) {
	now := time.Now()
	for _, name := range a.Members.Sweep(now) {
		a.Ledger.RemovePeer(name)
		_ = a.Logger.Log("event", "memberDead", "member", name)
	}
	a.Ledger.ExpirePeers(now)
	a.updateBudget()
	a.exchangeAll(ctx, a.targets(now))
}

// updateBudget compares the rate of control traffic with its budget. Over budget, load digests are sent only in every
// other period: omitting them makes placement worse, while omitting heartbeats, leaving marks or configuration offsets
// would break guarantees.
func (a *Agent) updateBudget() {
	var total uint64
	for _, k := range traffic.AllKinds {
		sent, received := a.Meter.Bytes(k)
		total += sent + received
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.round > 0 {
		byteRate := float64(total-a.lastBytes) / a.Period.Seconds()
		a.byteRate += (byteRate - a.byteRate) * byteRateSmoothing
	}
	a.overBudget = a.byteRate > float64(a.BytesPerSecond)
	a.lastBytes = total
	a.round++
}

// peers returns the members that are neither dead nor leaving.
func (a *Agent) peers() (peers []membership.Peer) {
	for _, p := range a.Members.Peers() {
		if p.State != membership.Dead.String() && p.State != membership.Leaving.String() {
			peers = append(peers, p)
		}
	}
	return peers
}

// targets returns the peers to call in this period. In a small fleet, the router with the lower name of each pair
// calls, and the other one only if it has had no contact with its peer for one and a half periods. In a large fleet,
// each router calls a few random peers.
func (a *Agent) targets(now time.Time) (targets []membership.Peer) {
	peers := a.peers()
	if len(peers) >= fullMeshSize {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		return append(peers[:fanout], a.deadTargets()...)
	}
	self := a.Members.Self().Name
	for _, p := range peers {
		if self < p.Name || now.Sub(p.LastHeard) > a.Period*3/2 {
			targets = append(targets, p)
		}
	}
	return append(targets, a.deadTargets()...)
}

// deadRetryRounds is the number of periods between two attempts to reach a dead member.
const deadRetryRounds = 8

// deadTargets returns one random dead member every few periods, so that the two sides of a healed network partition
// discover each other again.
func (a *Agent) deadTargets() (targets []membership.Peer) {
	a.mu.Lock()
	round := a.round
	a.mu.Unlock()
	if round%deadRetryRounds != 0 {
		return nil
	}
	for _, p := range a.Members.Peers() {
		if p.State == membership.Dead.String() {
			targets = append(targets, p)
		}
	}
	if len(targets) > 1 {
		i := rand.IntN(len(targets))
		targets = targets[i : i+1]
	}
	return targets
}

func (a *Agent) exchangeAll(ctx context.Context, targets []membership.Peer) {
	var group sync.WaitGroup
	for _, p := range targets {
		group.Go(func() { a.exchange(ctx, p) })
	}
	group.Wait()
}

func (a *Agent) exchange(ctx context.Context, p membership.Peer) {
	var reply GossipMessage
	m := a.newMessage(p.Name)
	err := a.call(ctx, p, "Meet", m, &reply)
	if err == nil {
		a.markDelivered(p.Name, m.Findings)
		a.receive(&reply)
		a.fetchRecords(ctx, p, reply.Next)
		return
	}
	if ctx.Err() != nil {
		return
	}
	a.probeIndirectly(ctx, p)
}

// probeIndirectly asks up to two other routers to call a member that did not answer, so that a member which only this
// router cannot reach is not declared dead.
func (a *Agent) probeIndirectly(ctx context.Context, target membership.Peer) {
	asked := 0
	for _, helper := range a.peers() {
		if helper.Name == target.Name || asked == 2 {
			continue
		}
		asked++
		var reply TryReply
		err := a.call(ctx, helper, "Try", TryRequest{Target: target.Name}, &reply)
		if err == nil && reply.Heard {
			a.Members.RecordIndirectContact(target.Name, time.Now())
			return
		}
	}
	a.Members.RecordMiss(target.Name, time.Now())
}

// newMessage collects the state to send to a peer; the request and the reply of an exchange have the same form.
func (a *Agent) newMessage(to string) *GossipMessage {
	c := a.Configuration.Current()
	m := &GossipMessage{Self: a.Members.Self(), Next: c.NextOffset(), Rumours: a.Members.Gossip(maxUpdates)}
	m.Self.Address, m.Self.FailureDomain = "", ""
	m.Unattributed = a.Health.UnattributedMarks(maxEndpointNotices)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.overBudget || a.round%2 == 0 {
		m.Shape, m.Load = a.Ledger.Digest()
		m.Spills, a.overflowCursors[to] = a.Overflow.OwnSince(a.overflowCursors[to], maxOverflows)
	}
	a.addCrashes(m, to, time.Now())
	a.addMarks(m)
	a.addListedMarks(m, to)
	a.addFindings(m, to, time.Now())
	return m
}

// receive applies a peer's message: its own state, the load it puts on endpoints, and what it reports of members and
// endpoints.
func (a *Agent) receive(m *GossipMessage) {
	now := time.Now()
	a.Members.RecordContact(m.Self, now)
	a.Members.Rumours(m.Rumours, now)
	if m.Load != nil {
		a.Ledger.SetPeerLoad(m.Self.Name, m.Shape, m.Load, now)
	}
	a.Overflow.Merge(m.Spills, now)
	a.receiveCrashes(m, now)
	for _, mark := range m.Marks {
		a.receiveMark(mark)
	}
	a.setUnattributed(m.Self.Name, m.Unattributed)
	for _, f := range m.Findings {
		a.receiveFinding(f, now)
	}
}

// announceConfiguration notifies a few random peers of a new configuration record at once, without waiting for the
// next period.
func (a *Agent) announceConfiguration(ctx context.Context) {
	next := a.Configuration.Current().NextOffset()
	peers := a.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(fanout, len(peers))] {
		var reply Empty
		_ = a.call(ctx, p, "News", News{From: a.Members.Self().Name, Next: next}, &reply)
	}
}

// fetchRecords fetches configuration records from a peer that has newer ones.
func (a *Agent) fetchRecords(ctx context.Context, p membership.Peer, next int64) {
	for a.Configuration.Ready() && a.Configuration.Current().NextOffset() < next {
		from := a.Configuration.Current().NextOffset()
		var reply Records
		err := a.call(ctx, p, "Records", RecordsRequest{From: from, Max: maxRecords}, &reply)
		if err != nil || len(reply.Records) == 0 {
			return
		}
		for i, data := range reply.Records {
			a.Configuration.ApplyFromPeer(from+int64(i), data)
		}
		if a.Configuration.Current().NextOffset() == from {
			return
		}
	}
}
