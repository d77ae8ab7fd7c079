package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/claim"
)

// Members says which router keeps a partition.
type Members interface {
	Duty(duty string) (name string)
	Mine(duty string, n int) bool
}

// Peers carry a claim to the router that keeps its partition.
type Peers interface {
	Claim(ctx context.Context, router string, c claim.Request) (g claim.Grant, err error)
	Settle(ctx context.Context, router string, g claim.Grant, result claim.Result) (err error)
}

// Partitions keeps the claims of calls that may run at most once. The keys are split into partitions, each a stream
// of its own, and the calls of one partition go through one router, so that no router reads them all. Which router
// that is matters for the cost alone: two that both believe to keep a partition still obey the order of its stream.
type Partitions struct {
	log     Log
	logger  log.Logger
	window  time.Duration
	term    time.Duration
	count   int
	self    string
	members Members
	peers   Peers
	mu      sync.Mutex
	keepers map[int]*keeper
	cancel  context.CancelFunc
	running background.Group
}

const (
	tidyPeriod = time.Second
	idleLife   = time.Minute
	startWait  = 2 * time.Second
)

// New makes the claims of the router self; a key is remembered for the window, and a claim may be acted on for the
// term.
func New(l Log, self string, count int, window, term time.Duration, logger log.Logger) *Partitions {
	return &Partitions{
		log: l, self: self, count: count, window: window, term: term, logger: logger, keepers: map[int]*keeper{},
	}
}

// Use names the members and the way to them; it must be called before Start.
func (p *Partitions) Use(m Members, peers Peers) { p.members, p.peers = m, peers }

// Start keeps the partitions that are this router's own warm until Stop.
func (p *Partitions) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.tidy()
	p.running.Go(func() { background.Every(ctx, tidyPeriod, func(time.Time) { p.tidy() }) })
	return nil
}

// Stop ends all keepers; requests in flight must have ended before.
func (p *Partitions) Stop(context.Context) error {
	p.cancel()
	p.running.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.keepers {
		k.stop()
	}
	return nil
}

// tidy starts the keepers of this router's own partitions before a caller needs them, and stops idle ones of others.
func (p *Partitions) tidy() {
	for n := range p.count {
		if p.members.Mine(duty(n), 1) {
			p.keeper(n)
			continue
		}
		p.drop(n)
	}
}

func (p *Partitions) drop(n int) {
	p.mu.Lock()
	k := p.keepers[n]
	idle := k != nil && time.Since(k.idleSince()) >= idleLife
	if idle {
		delete(p.keepers, n)
	}
	p.mu.Unlock()
	if idle {
		k.stop()
	}
}

func duty(n int) string { return fmt.Sprint("claims/", n) }

// Stream names the stream of a partition.
func Stream(n int) string { return fmt.Sprint("claims-", n) }

// PartitionOf is where a key belongs among so many partitions.
func PartitionOf(account, key string, count int) int {
	return int(xxhash.Sum64String(account+"\x00"+key) % uint64(count))
}

func (p *Partitions) keeper(n int) *keeper {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.keepers[n]
	if k == nil {
		k = newKeeper(p.log, Stream(n), p.window, p.term, p.logger)
		p.keepers[n] = k
	}
	return k
}

// Claim gets the right to send a call from whoever keeps its partition, or from the stream itself when that router
// does not answer. Its attempt stays the same, so that a claim which that router has made all the same is found and
// not made twice. The term is measured here, from before the claim was asked for.
func (p *Partitions) Claim(ctx context.Context, c claim.Request) (g claim.Grant, err error) {
	began := time.Now()
	n := PartitionOf(c.Account, c.Key, p.count)
	owner := p.members.Duty(duty(n))
	if owner != p.self {
		g, err = p.peers.Claim(ctx, owner, c)
	}
	var refused *claim.RefusedError
	if owner == p.self || err != nil && !errors.As(err, &refused) {
		g, err = p.ClaimHere(ctx, c)
	}
	g.Claim = c
	g.Expires = began.Add(p.term)
	return g, err
}

// ClaimHere claims a call on this router, whoever keeps its partition.
func (p *Partitions) ClaimHere(ctx context.Context, c claim.Request) (g claim.Grant, err error) {
	k := p.keeper(PartitionOf(c.Account, c.Key, p.count))
	ready, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	k.awaitStart(ready)
	return k.claim(ctx, c)
}

// Settle puts the outcome of a granted call on the log.
func (p *Partitions) Settle(ctx context.Context, g claim.Grant, result claim.Result) {
	owner := p.members.Duty(duty(PartitionOf(g.Claim.Account, g.Claim.Key, p.count)))
	if owner != p.self && p.peers.Settle(ctx, owner, g, result) == nil {
		return
	}
	p.SettleHere(ctx, g, result)
}

// SettleHere puts the outcome on the log from this router.
func (p *Partitions) SettleHere(ctx context.Context, g claim.Grant, result claim.Result) {
	p.keeper(PartitionOf(g.Claim.Account, g.Claim.Key, p.count)).settle(ctx, g, result)
}

// Len is how many keys this router remembers.
func (p *Partitions) Len() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.keepers {
		n += k.len()
	}
	return n
}
