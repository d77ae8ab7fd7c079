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

// Members determines which router is responsible for a partition.
type Members interface {
	Assignee(duty string) (name string)
	Assigned(duty string, n int) bool
}

// Peers sends a claim to the router responsible for its partition.
type Peers interface {
	Claim(ctx context.Context, router string, c claim.Request) (g claim.Grant, err error)
	Settle(ctx context.Context, router string, g claim.Grant, result claim.Result) (err error)
}

// Partitions claims the keys of requests that may run at most once. The keys are divided into partitions, each with
// its own stream, and each partition is handled by one router, so that no router has to read all streams. The
// assignment only affects the cost: if two routers both consider themselves responsible for a partition, the order of
// its stream still decides.
type Partitions struct {
	log            Log
	logger         log.Logger
	window         time.Duration
	claimTerm      time.Duration
	partitionCount int
	self           string
	members        Members
	peers          Peers
	mu             sync.Mutex
	partitions     map[int]*partition
	cancel         context.CancelFunc
	running        background.Group
}

const (
	updatePeriod       = time.Second
	idleTimeout        = time.Minute
	initialReadTimeout = 2 * time.Second
)

// New creates the claims of the router named self. A key is remembered for the window, and a claim is valid for the
// term.
func New(l Log, self string, partitionCount int, window, claimTerm time.Duration, logger log.Logger) *Partitions {
	return &Partitions{
		log: l, self: self, partitionCount: partitionCount, window: window, claimTerm: claimTerm, logger: logger, partitions: map[int]*partition{},
	}
}

// SetPeers sets the members and the connection to them; it must be called before Start.
func (p *Partitions) SetPeers(m Members, peers Peers) { p.members, p.peers = m, peers }

// Start keeps the partitions assigned to this router loaded until Stop.
func (p *Partitions) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.updatePartitions()
	p.running.Go(func() { background.Every(ctx, updatePeriod, func(time.Time) { p.updatePartitions() }) })
	return nil
}

// Stop stops all partitions; requests in progress must have ended before.
func (p *Partitions) Stop(context.Context) error {
	p.cancel()
	p.running.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range p.partitions {
		part.stop()
	}
	return nil
}

// updatePartitions loads the partitions assigned to this router before a request needs them, and stops idle ones that
// are assigned to others.
func (p *Partitions) updatePartitions() {
	for n := range p.partitionCount {
		if p.members.Assigned(dutyName(n), 1) {
			p.partition(n)
			continue
		}
		p.stopIfIdle(n)
	}
}

func (p *Partitions) stopIfIdle(n int) {
	p.mu.Lock()
	part := p.partitions[n]
	idle := part != nil && time.Since(part.idleSince()) >= idleTimeout
	if idle {
		delete(p.partitions, n)
	}
	p.mu.Unlock()
	if idle {
		part.stop()
	}
}

func dutyName(n int) string { return fmt.Sprint("claims/", n) }

// Stream returns the name of a partition's stream.
func Stream(n int) string { return fmt.Sprint("claims-", n) }

// PartitionOf returns the partition of a key, given the number of partitions.
func PartitionOf(account, key string, count int) int {
	return int(xxhash.Sum64String(account+"\x00"+key) % uint64(count))
}

func (p *Partitions) partition(n int) *partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	part := p.partitions[n]
	if part == nil {
		part = newPartition(p.log, Stream(n), p.window, p.claimTerm, p.logger)
		p.partitions[n] = part
	}
	return part
}

// Claim obtains the right to send a request from the router responsible for its partition, or from the stream directly
// if that router doesn't answer. Both use the same attempt ID, so that a claim which the other router has made in
// spite of the error is found rather than made again. The term is measured on this router, from before the claim was
// requested.
func (p *Partitions) Claim(ctx context.Context, c claim.Request) (g claim.Grant, err error) {
	start := time.Now()
	n := PartitionOf(c.Account, c.Key, p.partitionCount)
	owner := p.members.Assignee(dutyName(n))
	if owner != p.self {
		g, err = p.peers.Claim(ctx, owner, c)
	}
	var refused *claim.RefusedError
	if owner == p.self || err != nil && !errors.As(err, &refused) {
		g, err = p.ClaimLocally(ctx, c)
	}
	g.Claim = c
	g.Expires = start.Add(p.claimTerm)
	return g, err
}

// ClaimLocally makes a claim on this router, whichever router is responsible for the partition.
func (p *Partitions) ClaimLocally(ctx context.Context, c claim.Request) (g claim.Grant, err error) {
	part := p.partition(PartitionOf(c.Account, c.Key, p.partitionCount))
	readCtx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	part.awaitInitialRead(readCtx)
	return part.claim(ctx, c)
}

// Settle records the outcome of a claimed request on the log.
func (p *Partitions) Settle(ctx context.Context, g claim.Grant, result claim.Result) {
	owner := p.members.Assignee(dutyName(PartitionOf(g.Claim.Account, g.Claim.Key, p.partitionCount)))
	if owner != p.self && p.peers.Settle(ctx, owner, g, result) == nil {
		return
	}
	p.SettleLocally(ctx, g, result)
}

// SettleLocally records the outcome on the log from this router.
func (p *Partitions) SettleLocally(ctx context.Context, g claim.Grant, result claim.Result) {
	p.partition(PartitionOf(g.Claim.Account, g.Claim.Key, p.partitionCount)).settle(ctx, g, result)
}

// KeyCount returns the number of keys that this router remembers.
func (p *Partitions) KeyCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range p.partitions {
		n += part.len()
	}
	return n
}
