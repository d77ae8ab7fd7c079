package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/claim"
	"savoryfall/core/outcome"
	"savoryfall/io/platformlog"
)

const (
	maxPageRecords     = 1000
	readTimeout        = 10 * time.Second
	appendTimeout      = 2 * time.Second
	settleRetryTimeout = time.Minute
	retryAfter         = 2 * time.Second
)

// Log is the part of the log service that claims need.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// partition claims the keys of one partition. The order of the records on its stream decides which claim wins; the
// partition only appends claims and reads the stream back. It reads no more than necessary: after an append the offset
// of the record is known, and only records between that offset and the ones read before are fetched.
type partition struct {
	log             Log
	stream          string
	logger          log.Logger
	claimTerm       time.Duration
	mu              sync.Mutex
	readMu          sync.Mutex
	table           *claim.Table
	changed         chan struct{}
	healthy         bool
	initialReadDone bool
	abandoned       map[string]claim.Request
	lastUsed        time.Time
	batch           *batcher
	cancel          context.CancelFunc
	running         background.Group
}

func newPartition(l Log, stream string, window, claimTerm time.Duration, logger log.Logger) *partition {
	p := &partition{
		log: l, stream: stream, logger: log.With(logger, "stream", stream), claimTerm: claimTerm, table: claim.NewTable(window),
		changed: make(chan struct{}), abandoned: map[string]claim.Request{}, lastUsed: time.Now(),
	}
	p.batch = newBatcher(l, stream, p.applyAppended)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.initialRead(ctx) })
	p.running.Go(func() { p.batch.run(ctx) })
	return p
}

func (p *partition) stop() {
	p.cancel()
	p.running.Stop()
}

// initialRead reads the stream before the first request needs it. Afterwards the stream is read only when a claim
// requires it: one read per second and partition, to detect outages earlier, made up the largest part of all control
// traffic.
func (p *partition) initialRead(ctx context.Context) {
	err := p.readThrough(ctx, unknownOffset)
	if err != nil && ctx.Err() == nil {
		_ = p.logger.Log("event", "claimsUnread", "err", err)
	}
	p.setInitialReadDone()
}

// readThrough reads to the end of the stream, and skips the read if the offset was read while it waited for the lock.
// It never waits for new records, since all callers queued for the lock would have to wait as well.
func (p *partition) readThrough(ctx context.Context, offset int64) (err error) {
	p.readMu.Lock()
	defer p.readMu.Unlock()
	for {
		p.mu.Lock()
		next := p.table.Next()
		p.mu.Unlock()
		if offset != unknownOffset && next > offset {
			return nil
		}
		page, err := p.read(ctx, next)
		if err != nil {
			p.setHealthy(false)
			return err
		}
		if p.applyPage(page) {
			return nil
		}
	}
}

func (p *partition) read(ctx context.Context, next int64) (page platformlog.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err = p.log.Read(ctx, p.stream, next, maxPageRecords, 0)
	var trimmed platformlog.TrimmedError
	if !errors.As(err, &trimmed) {
		return page, err
	}
	return page, p.skipTrimmed(ctx, trimmed.First)
}

// skipTrimmed continues after records that the log has trimmed, and records since when the claims in the table are
// complete.
func (p *partition) skipTrimmed(ctx context.Context, first int64) (err error) {
	page, err := p.log.Read(ctx, p.stream, first, 1, 0)
	if err != nil {
		return err
	}
	from := time.Now()
	if len(page.Records) > 0 {
		from = page.Records[0].Time
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SkipTo(first, from)
	return nil
}

// applyPage reports whether the end of the stream was reached.
func (p *partition) applyPage(page platformlog.Page) (end bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range page.Records {
		p.table.Apply(r.Offset, r.Time, r.Data)
	}
	p.healthy = p.table.Next() >= page.Next
	p.notifyProgress()
	return p.healthy
}

// applyAppended applies a record that this router has appended. If it directly follows the last record that was read,
// it needn't be read back, since both its content and its offset are known.
func (p *partition) applyAppended(offset int64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if offset == p.table.Next() {
		p.table.Apply(offset, time.Now(), data)
		p.notifyProgress()
	}
}

// notifyProgress wakes the goroutines that wait for records, and releases keys whose claim reached the log after the
// claimant had been told that the request would not run. The caller holds p.mu.
func (p *partition) notifyProgress() {
	close(p.changed)
	p.changed = make(chan struct{})
	for attempt, c := range p.abandoned {
		s, _ := p.table.OwnershipOf(c.Account, c.Key, attempt, c.Digest)
		if s != claim.Owner {
			continue
		}
		delete(p.abandoned, attempt)
		p.running.Go(func() {
			p.settle(context.Background(), claim.Grant{Claim: c}, claim.Result{Outcome: outcome.NotRun})
		})
	}
}

func (p *partition) setHealthy(healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthy = healthy
}

// setInitialReadDone records that the first read has succeeded or failed.
func (p *partition) setInitialReadDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.initialReadDone {
		p.initialReadDone = true
		p.notifyProgress()
	}
}

// awaitInitialRead waits until a new partition has read its stream or has failed to.
func (p *partition) awaitInitialRead(ctx context.Context) {
	for {
		p.mu.Lock()
		done, changed := p.healthy || p.initialReadDone, p.changed
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// claim obtains the right to send a request, or an error that says why it cannot. The term starts before the append,
// so that by the claimant's own clock the claim expires no later than by any other.
func (p *partition) claim(ctx context.Context, c claim.Request) (g claim.Grant, err error) {
	if p.needsRead(c) {
		_ = p.readThrough(ctx, unknownOffset)
	}
	g, decided, err := p.decideFromRecords(c)
	if decided || err != nil {
		return g, err
	}
	start := time.Now()
	record := claim.Record{Kind: claim.KindClaim, Account: c.Account, Key: c.Key, Attempt: c.Attempt, Digest: c.Digest}
	offset, err := p.batch.append(ctx, record)
	var refused platformlog.StatusError
	if errors.As(err, &refused) {
		p.setHealthy(false)
		return g, unavailable("the log refused the claim: " + refused.Error())
	}
	g = claim.Grant{Claim: c, Offset: offset, Expires: start.Add(p.claimTerm)}
	if err != nil {
		offset = unknownOffset
	}
	return p.readBack(ctx, g, offset)
}

const unknownOffset = -1

// needsRead reports whether the stream must be read before the claim is decided: after a failure, because the log may
// be available again, and for a claim without an outcome, because another router that considered itself responsible
// for the partition may have recorded one.
func (p *partition) needsRead(c claim.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, _ := p.table.OwnershipOf(c.Account, c.Key, c.Attempt, c.Digest)
	return !p.healthy || s == claim.Pending
}

// decideFromRecords answers from the records read so far, and refuses at once what cannot be guaranteed now.
func (p *partition) decideFromRecords(c claim.Request) (g claim.Grant, decided bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
	s, result := p.table.OwnershipOf(c.Account, c.Key, c.Attempt, c.Digest)
	if s != claim.Unclaimed {
		g, err = resolve(s, result, claim.Grant{Claim: c, Expires: time.Now().Add(p.claimTerm)})
		return g, true, err
	}
	if !p.healthy {
		return g, false, unavailable("the log that keeps calls from running twice cannot be read")
	}
	return g, false, p.checkWindow(c)
}

// checkWindow refuses keys that may have been claimed before the oldest record that was read.
func (p *partition) checkWindow(c claim.Request) error {
	now := time.Now()
	if !c.Created.IsZero() && now.Sub(c.Created) > p.table.Window() {
		return &claim.RefusedError{
			Status: http.StatusConflict, Outcome: outcome.Unknown,
			Reason: fmt.Sprintf("the key is older than %v, for which calls are remembered", p.table.Window()),
		}
	}
	if p.table.CompleteAt(now) || c.Created.After(p.table.CompleteSince()) {
		return nil
	}
	return unavailable("the log has lost claims within the window; only keys created since are taken")
}

// readBack waits until the claim has been read back or, if the reply to the append was lost, until the claim's term
// ends. It never appends the claim a second time, since both records might reach the log.
func (p *partition) readBack(ctx context.Context, g claim.Grant, offset int64) (granted claim.Grant, err error) {
	ctx, cancel := context.WithDeadline(ctx, g.Expires)
	defer cancel()
	c := g.Claim
	for {
		p.mu.Lock()
		s, result := p.table.OwnershipOf(c.Account, c.Key, c.Attempt, c.Digest)
		applied := offset != unknownOffset && p.table.Next() > offset
		p.mu.Unlock()
		if s != claim.Unclaimed || applied {
			return resolve(s, result, g)
		}
		err = p.readThrough(ctx, offset)
		if err != nil || offset == unknownOffset {
			p.waitReadBackDelay(ctx)
		}
		if ctx.Err() != nil {
			return g, p.abandon(c)
		}
	}
}

const readBackDelay = 50 * time.Millisecond

func (p *partition) waitReadBackDelay(ctx context.Context) {
	select {
	case <-time.After(readBackDelay):
	case <-ctx.Done():
	}
}

// abandon gives up a claim that could not be read back. The request was not sent and never will be, so the outcome
// notRun is correct; if the claim reaches the log later, its key is released.
func (p *partition) abandon(c claim.Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned[c.Attempt] = c
	return unavailable("the claim could not be read back from the log")
}

func unavailable(reason string) error {
	return &claim.RefusedError{
		Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun, Reason: reason,
		RetryAfter: retryAfter + rand.N(retryAfter),
	}
}

func resolve(s claim.Ownership, result claim.Record, g claim.Grant) (granted claim.Grant, err error) {
	switch s {
	case claim.Owner:
		return g, nil
	case claim.Settled:
		return resolveSettled(result, g)
	case claim.Mismatch:
		return g, &claim.RefusedError{
			Status: http.StatusUnprocessableEntity, Outcome: outcome.NotRun,
			Reason: "the key was used for another request",
		}
	}
	return g, &claim.RefusedError{
		Status: http.StatusConflict, Outcome: outcome.Unknown, RetryAfter: retryAfter,
		Reason: "a call with this key was claimed; whether it has run is not known yet",
	}
}

func resolveSettled(result claim.Record, g claim.Grant) (granted claim.Grant, err error) {
	if result.Outcome != outcome.Ran {
		return g, &claim.RefusedError{
			Status: http.StatusConflict, Outcome: outcome.Unknown,
			Reason: "a call with this key was sent; whether it has run is not known",
		}
	}
	g.Recorded = &claim.Result{
		Outcome: result.Outcome, Status: result.Status, ContentType: result.ContentType, Body: result.Body,
	}
	return g, nil
}

// settle appends the outcome of a claimed request. It may be appended twice, because only the first outcome counts.
func (p *partition) settle(ctx context.Context, g claim.Grant, result claim.Result) {
	record := claim.Record{
		Kind: claim.KindOutcome, Account: g.Claim.Account, Key: g.Claim.Key, Attempt: g.Claim.Attempt,
		Outcome: result.Outcome, Status: result.Status, ContentType: result.ContentType, Body: result.Body,
	}
	_, err := p.batch.append(ctx, record)
	if err != nil {
		_ = p.logger.Log("event", "outcomeLate", "key", g.Claim.Key, "err", err)
		p.running.Go(func() { p.retrySettle(record) })
	}
}

func (p *partition) retrySettle(record claim.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), settleRetryTimeout)
	defer cancel()
	_, err := backoff.Retry(ctx, func() (int64, error) {
		offset, err := p.batch.append(ctx, record)
		if errors.Is(err, errStopped) {
			return 0, backoff.Permanent(err)
		}
		return offset, err
	})
	if err != nil {
		_ = p.logger.Log("event", "outcomeLost", "key", record.Key, "err", err)
	}
}

func (p *partition) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len()
}

func (p *partition) idleSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUsed
}
