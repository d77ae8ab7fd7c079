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
	pageRecords   = 1000
	readTimeout   = 10 * time.Second
	appendTimeout = 2 * time.Second
	settleRetries = time.Minute
	comeBack      = 2 * time.Second
)

// Log is what a keeper needs of the log service.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p platformlog.Page, err error)
}

// keeper claims calls on one partition of the keys. The order of the log decides who owns a key; the keeper only
// appends and reads back. It reads no more than it must: after an append it knows where its record stands, and only
// what lies between that and what it has read is fetched.
type keeper struct {
	log       Log
	stream    string
	logger    log.Logger
	term      time.Duration
	mu        sync.Mutex
	reading   sync.Mutex
	book      *claim.Book
	changed   chan struct{}
	healthy   bool
	tried     bool
	abandoned map[string]claim.Request
	used      time.Time
	batch     *batcher
	cancel    context.CancelFunc
	running   background.Group
}

func newKeeper(l Log, stream string, window, term time.Duration, logger log.Logger) *keeper {
	k := &keeper{
		log: l, stream: stream, logger: log.With(logger, "stream", stream), term: term, book: claim.NewBook(window),
		changed: make(chan struct{}), abandoned: map[string]claim.Request{}, used: time.Now(),
	}
	k.batch = newBatcher(l, stream, k.appended)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.running.Go(func() { k.begin(ctx) })
	k.running.Go(func() { k.batch.run(ctx) })
	return k
}

func (k *keeper) stop() {
	k.cancel()
	k.running.Stop()
}

// begin reads the stream before the first caller needs it. After that it is read only when a claim asks for it: a
// read a second for each partition, to know of outages sooner, was the largest part of all control traffic.
func (k *keeper) begin(ctx context.Context) {
	err := k.catchUp(ctx, unknownOffset)
	if err != nil && ctx.Err() == nil {
		_ = k.logger.Log("event", "claimsUnread", "err", err)
	}
	k.setTried()
}

// catchUp reads until the end of the stream, unless the offset was read while this waited for its turn. It never
// waits for a record to come: those that queue behind it would all wait in turn.
func (k *keeper) catchUp(ctx context.Context, offset int64) (err error) {
	k.reading.Lock()
	defer k.reading.Unlock()
	for {
		k.mu.Lock()
		next := k.book.Next()
		k.mu.Unlock()
		if offset != unknownOffset && next > offset {
			return nil
		}
		p, err := k.read(ctx, next)
		if err != nil {
			k.setHealthy(false)
			return err
		}
		if k.apply(p) {
			return nil
		}
	}
}

func (k *keeper) read(ctx context.Context, next int64) (p platformlog.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err = k.log.Read(ctx, k.stream, next, pageRecords, 0)
	var trimmed platformlog.TrimmedError
	if !errors.As(err, &trimmed) {
		return p, err
	}
	return p, k.skip(ctx, trimmed.First)
}

// skip goes on behind records that the log has trimmed, and notes from when on the claims are whole.
func (k *keeper) skip(ctx context.Context, first int64) (err error) {
	p, err := k.log.Read(ctx, k.stream, first, 1, 0)
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

// apply returns whether the end of the stream was reached.
func (k *keeper) apply(p platformlog.Page) (end bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range p.Records {
		k.book.Apply(r.Offset, r.At, r.Data)
	}
	k.healthy = k.book.Next() >= p.Next
	k.progress()
	return k.healthy
}

// appended takes a record whose offset the log has answered. When nothing lies between it and what was read, it needs
// no reading back: what it says and where it stands are both known.
func (k *keeper) appended(offset int64, data []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if offset == k.book.Next() {
		k.book.Apply(offset, time.Now(), data)
		k.progress()
	}
}

// progress wakes those that wait for a record, and frees keys whose claim landed after its caller had been told that
// the call would not run.
func (k *keeper) progress() {
	close(k.changed)
	k.changed = make(chan struct{})
	for attempt, c := range k.abandoned {
		s, _ := k.book.Stand(c.Account, c.Key, attempt, c.Digest)
		if s != claim.Owner {
			continue
		}
		delete(k.abandoned, attempt)
		k.running.Go(func() {
			k.settle(context.Background(), claim.Grant{Claim: c}, claim.Result{Outcome: outcome.NotRun})
		})
	}
}

func (k *keeper) setHealthy(healthy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healthy = healthy
}

// setTried notes that the stream was read, or could not be.
func (k *keeper) setTried() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.tried {
		k.tried = true
		k.progress()
	}
}

// awaitStart waits until a keeper that has just started has read its stream, or could not.
func (k *keeper) awaitStart(ctx context.Context) {
	for {
		k.mu.Lock()
		done, changed := k.healthy || k.tried, k.changed
		k.mu.Unlock()
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

// claim gets the right to send a call, or says why there is none. The term runs from before the append, so that the
// holder's own clock gives the right up first.
func (k *keeper) claim(ctx context.Context, c claim.Request) (g claim.Grant, err error) {
	if k.mustLook(c) {
		_ = k.catchUp(ctx, unknownOffset)
	}
	g, known, err := k.known(c)
	if known || err != nil {
		return g, err
	}
	began := time.Now()
	record := claim.Record{Kind: claim.KindClaim, Account: c.Account, Key: c.Key, Attempt: c.Attempt, Digest: c.Digest}
	offset, err := k.batch.append(ctx, record)
	var refused platformlog.StatusError
	if errors.As(err, &refused) {
		k.setHealthy(false)
		return g, notNow("the log refused the claim: " + refused.Error())
	}
	g = claim.Grant{Claim: c, Offset: offset, Expires: began.Add(k.term)}
	if err != nil {
		offset = unknownOffset
	}
	return k.readBack(ctx, g, offset)
}

const unknownOffset = -1

// mustLook tells whether the stream is to be read before the claim is judged: after a failure it may be there again,
// and an open claim may have been settled through another router, which kept the partition by its own view.
func (k *keeper) mustLook(c claim.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, _ := k.book.Stand(c.Account, c.Key, c.Attempt, c.Digest)
	return !k.healthy || s == claim.Open
}

// known answers from what was read already, and refuses at once what cannot be promised now.
func (k *keeper) known(c claim.Request) (g claim.Grant, known bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = time.Now()
	s, result := k.book.Stand(c.Account, c.Key, c.Attempt, c.Digest)
	if s != claim.Free {
		g, err = verdict(s, result, claim.Grant{Claim: c, Expires: time.Now().Add(k.term)})
		return g, true, err
	}
	if !k.healthy {
		return g, false, notNow("the log that keeps calls from running twice cannot be read")
	}
	return g, false, k.checkWindow(c)
}

// checkWindow refuses keys that may have been claimed before the oldest claim that is still known.
func (k *keeper) checkWindow(c claim.Request) error {
	now := time.Now()
	if !c.Created.IsZero() && now.Sub(c.Created) > k.book.Window() {
		return &claim.RefusedError{
			Status: http.StatusConflict, Outcome: outcome.Unknown,
			Reason: fmt.Sprintf("the key is older than %v, for which calls are remembered", k.book.Window()),
		}
	}
	if k.book.Covers(now) || c.Created.After(k.book.From()) {
		return nil
	}
	return notNow("the log has lost claims within the window; only keys created since are taken")
}

// readBack waits until the book has read the claim, or, when the answer of the append was lost, until it is clear
// that it cannot be waited for any longer. It never appends a second time: both might land.
func (k *keeper) readBack(ctx context.Context, g claim.Grant, offset int64) (granted claim.Grant, err error) {
	ctx, cancel := context.WithDeadline(ctx, g.Expires)
	defer cancel()
	c := g.Claim
	for {
		k.mu.Lock()
		s, result := k.book.Stand(c.Account, c.Key, c.Attempt, c.Digest)
		read := offset != unknownOffset && k.book.Next() > offset
		k.mu.Unlock()
		if s != claim.Free || read {
			return verdict(s, result, g)
		}
		err = k.catchUp(ctx, offset)
		if err != nil || offset == unknownOffset {
			k.pause(ctx)
		}
		if ctx.Err() != nil {
			return g, k.abandon(c)
		}
	}
}

const readBackPause = 50 * time.Millisecond

func (k *keeper) pause(ctx context.Context) {
	select {
	case <-time.After(readBackPause):
	case <-ctx.Done():
	}
}

// abandon gives a claim up that could not be read back. The call was not sent and never will be, so notRun is true;
// should the claim land later, its key is given back.
func (k *keeper) abandon(c claim.Request) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abandoned[c.Attempt] = c
	return notNow("the claim could not be read back from the log")
}

func notNow(reason string) error {
	return &claim.RefusedError{
		Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun, Reason: reason,
		RetryAfter: comeBack + rand.N(comeBack),
	}
}

func verdict(s claim.Standing, result claim.Record, g claim.Grant) (granted claim.Grant, err error) {
	switch s {
	case claim.Owner:
		return g, nil
	case claim.Settled:
		return recorded(result, g)
	case claim.Mismatch:
		return g, &claim.RefusedError{
			Status: http.StatusUnprocessableEntity, Outcome: outcome.NotRun,
			Reason: "the key was used for another request",
		}
	}
	return g, &claim.RefusedError{
		Status: http.StatusConflict, Outcome: outcome.Unknown, RetryAfter: comeBack,
		Reason: "a call with this key was claimed; whether it has run is not known yet",
	}
}

func recorded(result claim.Record, g claim.Grant) (granted claim.Grant, err error) {
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

// settle puts the outcome of a granted call on the log. It may be appended twice, because the first one counts.
func (k *keeper) settle(ctx context.Context, g claim.Grant, result claim.Result) {
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

func (k *keeper) settleLater(record claim.Record) {
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

func (k *keeper) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Len()
}

func (k *keeper) idleSince() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used
}
