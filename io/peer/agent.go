package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/annotate"
	"savoryfall/core/background"
	"savoryfall/core/claim"
	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/core/spills"
	"savoryfall/io/meter"
)

// Configuration is what the agent needs of the follower.
type Configuration interface {
	Current() *inforce.Configuration
	Ready() bool
	Records(from int64, max int) [][]byte
	Offer(offset int64, data []byte)
	Listen(listener func(*inforce.Configuration))
}

// Prober looks at one endpoint now, because a peer has found something.
type Prober interface {
	Look(endpoint string)
}

// Claims makes claims on behalf of other routers.
type Claims interface {
	ClaimHere(ctx context.Context, c claim.Request) (g claim.Grant, err error)
	SettleHere(ctx context.Context, g claim.Grant, result claim.Result)
}

// Parts are the services that the agent works with.
type Parts struct {
	Members       *membership.Table
	Ledger        *ledger.Ledger
	Health        *health.Table
	Configuration Configuration
	Prober        Prober
	Claims        Claims
	Spills        *spills.Table
	Meter         *meter.Meter
	Logger        log.Logger
	TLS           *tls.Config
	Period        time.Duration
	Budget        int64
}

// Agent exchanges heartbeats, load digests, marks and news of the configuration with the other routers.
type Agent struct {
	Parts
	listener net.Listener
	mu       sync.Mutex
	conns    map[string]*connection
	open     map[*connection]bool
	killed   bool
	accepted map[net.Conn]bool
	findings map[string]*finding
	marks    map[Mark]int
	lean     bool
	round    int
	last     uint64
	spent    float64
	cursors  map[string]uint64
	cut      func(name string) bool
	urgent   chan struct{}
	cancel   context.CancelFunc
	running  background.Group
	leaving  bool
	serving  background.Group
}

const (
	// meshSize is up to how many members all pairs exchange in every period; larger fleets take a few at random.
	meshSize   = 8
	fanout     = 3
	spreadings = 4
	// findingPeriods is for how many periods a finding is told to those that have not been told it: some exchanges with
	// each may fail, and members are met late that started just before.
	findingPeriods = 20
	maxRumours     = 16
	maxNews        = 8
	maxSpills      = 64
	recordsMax     = 200
	// spentSmoothing lets a burst of ten periods pass.
	spentSmoothing = 0.1
)

// New takes the address for peers at once.
func New(address string, p Parts) (a *Agent, err error) {
	defer annotate.Error(&err, "listen for peers on %s", address)
	a = &Agent{
		Parts: p, conns: map[string]*connection{}, open: map[*connection]bool{}, accepted: map[net.Conn]bool{},
		findings: map[string]*finding{}, marks: map[Mark]int{},
		cursors: map[string]uint64{}, urgent: make(chan struct{}, 1),
	}
	a.listener, err = net.Listen("tcp", address)
	return a, err
}

// Address is where peers reach this router.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Start serves peers and exchanges with them in the background until Stop.
func (a *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.Configuration.Listen(func(*inforce.Configuration) {
		a.running.Go(func() { a.announce(ctx) })
	})
	a.running.Go(a.serve)
	a.running.Go(func() { a.loop(ctx) })
	return nil
}

// Stop tells the peers that this router leaves, answers what they have asked, and ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.Members.Leave()
	a.exchangeAll(ctx, a.peers())
	a.drain(ctx)
	a.Kill()
	return nil
}

// Kill ends without a word, as the loss of the VM would.
func (a *Agent) Kill() {
	a.cancel()
	_ = a.listener.Close()
	a.mu.Lock()
	a.killed = true
	for c := range a.open {
		a.end(c)
	}
	for c := range a.accepted {
		_ = c.Close()
	}
	a.mu.Unlock()
	a.running.Stop()
	a.serving.Stop()
}

func (a *Agent) loop(ctx context.Context) {
	tick := time.NewTicker(a.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.step(ctx)
		case <-a.urgent:
			peers := a.peers()
			rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
			a.exchangeAll(ctx, peers[:min(meshSize, len(peers))])
		}
	}
}

func (a *Agent) step(ctx context.Context) {
	now := time.Now()
	for _, name := range a.Members.Sweep(now) {
		a.Ledger.Forget(name)
		_ = a.Logger.Log("event", "memberDead", "member", name)
	}
	a.Ledger.Expire(now)
	a.weigh()
	a.exchangeAll(ctx, a.targets(now))
}

// weigh compares the control traffic with its budget. When it is over, load digests are sent only every other
// period: without them placement gets worse, without heartbeats, marks and news of the configuration promises break.
func (a *Agent) weigh() {
	var sum uint64
	for _, k := range meter.Kinds {
		sent, received := a.Meter.Bytes(k)
		sum += sent + received
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.round > 0 {
		spent := float64(sum-a.last) / a.Period.Seconds()
		a.spent += (spent - a.spent) * spentSmoothing
	}
	a.lean = a.spent > float64(a.Budget)
	a.last = sum
	a.round++
}

func (a *Agent) peers() (peers []membership.Peer) {
	for _, p := range a.Members.Peers() {
		if p.State != membership.Dead.String() && p.State != membership.Leaving.String() {
			peers = append(peers, p)
		}
	}
	return peers
}

// targets are whom to call in this period. In a small fleet the lower name of each pair calls, and the other one
// only when it has heard nothing; in a large one each calls a few at random.
func (a *Agent) targets(now time.Time) (targets []membership.Peer) {
	peers := a.peers()
	if len(peers) >= meshSize {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		return append(peers[:fanout], a.dead()...)
	}
	self := a.Members.Self().Name
	for _, p := range peers {
		if self < p.Name || now.Sub(p.Heard) > a.Period*3/2 {
			targets = append(targets, p)
		}
	}
	return append(targets, a.dead()...)
}

const deadRetry = 8

// dead picks now and then a dead member to try, so that two sides of a healed cut find each other again.
func (a *Agent) dead() (targets []membership.Peer) {
	a.mu.Lock()
	round := a.round
	a.mu.Unlock()
	if round%deadRetry != 0 {
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
	var all sync.WaitGroup
	for _, p := range targets {
		all.Go(func() { a.exchange(ctx, p) })
	}
	all.Wait()
}

func (a *Agent) exchange(ctx context.Context, p membership.Peer) {
	var reply Message
	m := a.message(p.Name)
	err := a.call(ctx, p, "Meet", m, &reply)
	if err == nil {
		a.told(p.Name, m.Findings)
		a.take(&reply)
		a.catchUp(ctx, p, reply.Next)
		return
	}
	if ctx.Err() != nil {
		return
	}
	a.probeThrough(ctx, p)
}

// probeThrough asks two others to try a member that did not answer, so that a cut between it and this router alone
// does not make it look dead.
func (a *Agent) probeThrough(ctx context.Context, target membership.Peer) {
	asked := 0
	for _, helper := range a.peers() {
		if helper.Name == target.Name || asked == 2 {
			continue
		}
		asked++
		var answer Answer
		err := a.call(ctx, helper, "Try", Probe{Target: target.Name}, &answer)
		if err == nil && answer.Heard {
			a.Members.Vouched(target.Name, time.Now())
			return
		}
	}
	a.Members.Missed(target.Name, time.Now())
}

// message says what there is to say; the caller of an exchange and the one that is called send the same.
func (a *Agent) message(to string) *Message {
	c := a.Configuration.Current()
	m := &Message{Self: a.Members.Self(), Next: c.Next(), Rumours: a.Members.Gossip(maxRumours)}
	m.Self.Address, m.Self.FailureDomain = "", ""
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lean || a.round%2 == 0 {
		m.Shape, m.Load = a.Ledger.Digest()
		m.Spills, a.cursors[to] = a.Spills.Since(a.cursors[to], maxSpills)
	}
	a.addMarks(m)
	a.addFindings(m, to, time.Now())
	return m
}

// take believes what a peer says: of itself, of the load it puts on endpoints, and of who is leaving.
func (a *Agent) take(m *Message) {
	now := time.Now()
	a.Members.Heard(m.Self, now)
	a.Members.Rumours(m.Rumours, now)
	if m.Load != nil {
		a.Ledger.Peer(m.Self.Name, m.Shape, m.Load, now)
	}
	a.Spills.Take(m.Spills, now)
	for _, mark := range m.Marks {
		a.takeMark(mark)
	}
	for _, f := range m.Findings {
		a.takeFinding(f, now)
	}
}

// announce tells a few peers at once that a record of the configuration has come, without waiting for the period.
func (a *Agent) announce(ctx context.Context) {
	next := a.Configuration.Current().Next()
	peers := a.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(fanout, len(peers))] {
		var none Nothing
		_ = a.call(ctx, p, "News", News{From: a.Members.Self().Name, Next: next}, &none)
	}
}

// catchUp brings records of the configuration from a peer that has more.
func (a *Agent) catchUp(ctx context.Context, p membership.Peer, next int64) {
	for a.Configuration.Ready() && a.Configuration.Current().Next() < next {
		from := a.Configuration.Current().Next()
		var got Records
		err := a.call(ctx, p, "Records", RecordsRequest{From: from, Max: recordsMax}, &got)
		if err != nil || len(got.Records) == 0 {
			return
		}
		for i, data := range got.Records {
			a.Configuration.Offer(from+int64(i), data)
		}
		if a.Configuration.Current().Next() == from {
			return
		}
	}
}
