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
	"savoryfall/io/caller"
	"savoryfall/io/platformlog"
)

// Stream is the stream of the log that carries the claims.
const Stream = "claims"

const (
	pageRecords   = 1000
	longPoll      = 20 * time.Second
	readTimeout   = 30 * time.Second
	appendTimeout = 2 * time.Second
	maxRetry      = time.Second
	settleRetries = time.Minute
	comeBack      = 2 * time.Second
)

// Log is what the keeper needs of the log service.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// Keeper claims calls on behalf of one router. The order of the log decides who owns a key; the keeper only appends
// and reads back.
type Keeper struct {
	log       Log
	logger    log.Logger
	term      time.Duration
	mu        sync.Mutex
	book      *claim.Book
	changed   chan struct{}
	healthy   bool
	abandoned map[string]caller.ClaimRequest
	batch     *batcher
	cancel    context.CancelFunc
	running   background.Group
}

// New makes a keeper; a key is remembered for the window, and a claim may be acted on for the term.
func New(l Log, window, term time.Duration, logger log.Logger) *Keeper {
	k := &Keeper{
		log: l, logger: logger, term: term, book: claim.NewBook(window),
		changed: make(chan struct{}), abandoned: map[string]caller.ClaimRequest{},
	}
	k.batch = newBatcher(l)
	return k
}

// Start reads the stream in the background until Stop.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.running.Go(func() { k.tail(ctx) })
	k.running.Go(func() { k.batch.run(ctx) })
	return nil
}

// Stop ends the reading; requests in flight must have ended before.
func (k *Keeper) Stop(context.Context) error {
	k.cancel()
	k.running.Stop()
	return nil
}

func (k *Keeper) tail(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = maxRetry
	for ctx.Err() == nil {
		err := k.readPage(ctx)
		if err == nil {
			wait.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		k.setHealthy(false)
		_ = k.logger.Log("event", "claimsBehind", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (k *Keeper) readPage(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	k.mu.Lock()
	next, wait := k.book.Next(), longPoll
	if !k.healthy {
		wait = 0
	}
	k.mu.Unlock()
	p, err := k.log.Read(ctx, Stream, next, pageRecords, wait)
	var trimmed platformlog.TrimmedError
	if errors.As(err, &trimmed) {
		return k.skip(ctx, trimmed.First)
	}
	if err != nil {
		return err
	}
	k.apply(p)
	return nil
}

// skip goes on behind records that the log has trimmed, and notes from when on the claims are whole.
func (k *Keeper) skip(ctx context.Context, first int64) (err error) {
	p, err := k.log.Read(ctx, Stream, first, 1, 0)
	if err != nil {
		return err
	}
	from := time.Now()
	if len(p.Records) > 0 {
		from = p.Records[0].At
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.SkipTo(first, from)
	return nil
}

func (k *Keeper) apply(p platformlog.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range p.Records {
		k.book.Apply(r.Offset, r.At, r.Data)
	}
	k.healthy = k.book.Next() >= p.Next
	k.giveBack()
	close(k.changed)
	k.changed = make(chan struct{})
}

// giveBack frees keys whose claim landed after its router had told the caller that the call would not run.
func (k *Keeper) giveBack() {
	for attempt, c := range k.abandoned {
		s, _ := k.book.Stand(c.Account, c.Key, attempt, c.Digest)
		if s != claim.Owner {
			continue
		}
		delete(k.abandoned, attempt)
		k.running.Go(func() {
			k.Settle(context.Background(), caller.Grant{Claim: c}, caller.Result{Outcome: outcome.NotRun})
		})
	}
}

func (k *Keeper) setHealthy(healthy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healthy = healthy
}

// Claim gets the right to send a call, or says why there is none. The term runs from before the append, so that the
// holder's own clock gives the right up first.
func (k *Keeper) Claim(ctx context.Context, c caller.ClaimRequest) (g caller.Grant, err error) {
	g, known, err := k.known(c)
	if known || err != nil {
		return g, err
	}
	began := time.Now()
	record := claim.Record{Kind: claim.KindClaim, Account: c.Account, Key: c.Key, Attempt: c.Attempt, Digest: c.Digest}
	offset, err := k.batch.append(ctx, record)
	var refused platformlog.StatusError
	if errors.As(err, &refused) {
		return g, logDown("the log refused the claim: " + refused.Error())
	}
	g = caller.Grant{Claim: c, Offset: offset, Expires: began.Add(k.term)}
	if err != nil {
		offset = unknownOffset
	}
	return k.readBack(ctx, g, offset)
}

const unknownOffset = -1

// known answers from what was read already, and refuses at once what cannot be promised now.
func (k *Keeper) known(c caller.ClaimRequest) (g caller.Grant, known bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, result := k.book.Stand(c.Account, c.Key, c.Attempt, c.Digest)
	if s != claim.Free {
		g, err = k.verdict(s, result, caller.Grant{Claim: c})
		return g, true, err
	}
	if !k.healthy {
		return g, false, logDown("the log that keeps calls from running twice cannot be read")
	}
	return g, false, k.checkWindow(c)
}

// checkWindow refuses keys that may have been claimed before the oldest claim that is still known.
func (k *Keeper) checkWindow(c caller.ClaimRequest) error {
	now := time.Now()
	if !c.Created.IsZero() && now.Sub(c.Created) > k.book.Window() {
		return &caller.RefusedError{
			Status: http.StatusConflict, Outcome: outcome.Unknown,
			Reason: fmt.Sprintf("the key is older than %v, for which calls are remembered", k.book.Window()),
		}
	}
	if k.book.Covers(now) || c.Created.After(k.book.From()) {
		return nil
	}
	return &caller.RefusedError{
		Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun, RetryAfter: comeBack,
		Reason: "the log has lost claims within the window; only keys created since are taken",
	}
}

// readBack waits until the book has read the claim, or, when the answer of the append was lost, until it is clear
// that it cannot be waited for any longer. It never appends a second time: both might land.
func (k *Keeper) readBack(ctx context.Context, g caller.Grant, offset int64) (granted caller.Grant, err error) {
	ctx, cancel := context.WithDeadline(ctx, g.Expires)
	defer cancel()
	c := g.Claim
	for {
		k.mu.Lock()
		s, result := k.book.Stand(c.Account, c.Key, c.Attempt, c.Digest)
		read := offset != unknownOffset && k.book.Next() > offset
		changed := k.changed
		k.mu.Unlock()
		if s != claim.Free || read {
			return k.verdict(s, result, g)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return g, k.abandon(c)
		}
	}
}

// abandon gives a claim up that could not be read back. The call was not sent and never will be, so notRun is true;
// should the claim land later, its key is given back.
func (k *Keeper) abandon(c caller.ClaimRequest) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abandoned[c.Attempt] = c
	return logDown("the claim could not be read back from the log")
}

func logDown(reason string) error {
	return &caller.RefusedError{
		Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun, Reason: reason,
		RetryAfter: comeBack + rand.N(comeBack),
	}
}

func (k *Keeper) verdict(s claim.Standing, result claim.Record, g caller.Grant) (granted caller.Grant, err error) {
	switch s {
	case claim.Owner:
		return g, nil
	case claim.Settled:
		return k.recorded(result, g)
	case claim.Mismatch:
		return g, &caller.RefusedError{
			Status: http.StatusUnprocessableEntity, Outcome: outcome.NotRun,
			Reason: "the key was used for another request",
		}
	}
	return g, &caller.RefusedError{
		Status: http.StatusConflict, Outcome: outcome.Unknown, RetryAfter: comeBack,
		Reason: "a call with this key was claimed; whether it has run is not known yet",
	}
}

func (k *Keeper) recorded(result claim.Record, g caller.Grant) (granted caller.Grant, err error) {
	if result.Outcome != outcome.Ran {
		return g, &caller.RefusedError{
			Status: http.StatusConflict, Outcome: outcome.Unknown,
			Reason: "a call with this key was sent; whether it has run is not known",
		}
	}
	g.Recorded = &caller.Result{
		Outcome: result.Outcome, Status: result.Status, ContentType: result.ContentType, Body: result.Body,
	}
	return g, nil
}

// Settle puts the outcome of a granted call on the log. It may be appended twice, because the first one counts.
func (k *Keeper) Settle(ctx context.Context, g caller.Grant, result caller.Result) {
	record := claim.Record{
		Kind: claim.KindOutcome, Account: g.Claim.Account, Key: g.Claim.Key, Attempt: g.Claim.Attempt,
		Outcome: result.Outcome, Status: result.Status, ContentType: result.ContentType, Body: result.Body,
	}
	_, err := k.batch.append(ctx, record)
	if err != nil {
		_ = k.logger.Log("event", "outcomeLate", "key", g.Claim.Key, "err", err)
		k.running.Go(func() { k.settleLater(record) })
	}
}

func (k *Keeper) settleLater(record claim.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), settleRetries)
	defer cancel()
	_, err := backoff.Retry(ctx, func() (int64, error) {
		offset, err := k.batch.append(ctx, record)
		if errors.Is(err, errStopped) {
			return 0, backoff.Permanent(err)
		}
		return offset, err
	})
	if err != nil {
		_ = k.logger.Log("event", "outcomeLost", "key", record.Key, "err", err)
	}
}

// Len is how many keys are remembered.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Len()
}
