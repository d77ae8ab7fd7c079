package origins

import (
	"context"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/origin"
	"savoryfall/core/origintable"
)

// Source is how the origin of a stream became known.
type Source string

// The sources of an origin.
const (
	// Own means that this router had the record, Router that another one did.
	Own    Source = "own"
	Router Source = "router"
	// OnlyVersion means that the service has had endpoints of one version only, by the lists that this router has had itself.
	OnlyVersion Source = "onlyVersion"
	// OnlyVersionByRecord means the same, but for the time before this router's first list by the record in the store.
	OnlyVersionByRecord Source = "onlyVersionByRecord"
	// OnlyVersionByRouter means the same, but for the time before this router's first list by what another router answered.
	OnlyVersionByRouter Source = "onlyVersionByRouter"
	// Store means that the log in the store had the record.
	Store Source = "store"
)

// Query asks where a stream began.
type Query struct {
	// Key identifies the stream. It is valid only if HasKey is set.
	Key    uint64
	HasKey bool
	// Service is the service that the request is for, and Window how long ago the stream may have begun.
	Service string
	Window  time.Duration
}

// Find returns where the stream began. ok is false if this is not known.
func (k *Keeper) Find(q Query) (o origin.Origin, from Source, ok bool) {
	if r, ok := k.table.Find(q.Key, time.Now()); ok && q.HasKey {
		return r.Origin, Own, true
	}
	patience := askTimeout
	if _, known := k.History.Only(q.Service, q.Window, time.Now()); known {
		patience = callTimeout
	}
	r, only, answered, ok := k.ask(q, patience)
	if ok {
		k.table.Put(r, time.Now())
		return r.Origin, Router, true
	}
	k.awaitList()
	inTouch := k.inTouch(q.Window, answered)
	from = k.only(q.Window)
	version, ok := k.History.Only(q.Service, q.Window, time.Now())
	ok = ok && inTouch
	if !ok || from != OnlyVersion {
		var maxAge time.Duration
		if ok {
			maxAge = logMaxAge
		}
		o, found, conflict := k.findInLog(q, maxAge)
		if found || conflict {
			return o, Store, found
		}
	}
	now := time.Now()
	if !ok {
		// A router that has just started may learn the rest of the window from another one.
		version, ok = k.History.OnlySeen(q.Service, q.Window, now)
		ok, from = ok && inTouch && version == only, OnlyVersionByRouter
	}
	if !ok {
		return origin.Origin{}, "", false
	}
	return origin.Origin{Service: q.Service, Version: version}, from, true
}

// logMaxAge is how old a read of the log may be where the record of versions has one version only, so that no stream can have
// begun at another.
const logMaxAge = 5 * time.Second

// findInLog looks the stream up in the log. What it says goes before a conclusion from the versions that others have seen: it is
// what began this stream. The lists that this router has had for as long as the stream may have run need no call.
func (k *Keeper) findInLog(q Query, maxAge time.Duration) (o origin.Origin, ok, conflict bool) {
	if k.Log == nil || !q.HasKey {
		return origin.Origin{}, false, false
	}
	return k.Log.Find(q.Key, maxAge)
}

// only returns what this router's knowledge of the versions within the window rests on.
func (k *Keeper) only(window time.Duration) Source {
	if k.History.Listed(window, time.Now()) {
		return OnlyVersion
	}
	return OnlyVersionByRecord
}

// inTouch reports whether this router may conclude something from the versions that it knows: one that neither another router nor the
// store answers may be cut off, and others may have begun streams at versions that it has not heard of. The record of versions is
// read if this router does not know for itself which ones there were within the window.
func (k *Keeper) inTouch(window time.Duration, answered bool) (ok bool) {
	if k.Learn == nil || answered && k.History.Knows(window, time.Now()) {
		return true
	}
	return k.learn() || answered
}

// learn reads the record of versions, and reports whether the store has answered.
func (k *Keeper) learn() (ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return k.Learn(ctx)
}

// ask asks the routers that may have the record. If none has it, only is the version of all endpoints that the service has
// had, if one of them knows. answered is set if one has answered at all.
func (k *Keeper) ask(q Query, patience time.Duration) (r origintable.Record, only string, answered, ok bool) {
	k.awaitRouters()
	peers := k.ranked(q.Key)
	peers = peers[:min(candidates, len(peers))]
	replies := make(chan *FindReply, len(peers))
	for _, p := range peers {
		go func() {
			// A reply that comes too late is still written to, so it must not be used.
			reply := &FindReply{}
			if p.call("Find", &FindArgs{Key: q.Key, Service: q.Service, Window: q.Window}, reply, patience) != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	var late <-chan time.Time
	for range peers {
		select {
		case reply := <-replies:
			if reply == nil {
				continue
			}
			answered = true
			if reply.Proven {
				only = reply.Only
			}
			if !reply.Found || !q.HasKey {
				continue
			}
			if !ok || reply.Record.Attempt > r.Attempt {
				r, ok = reply.Record, true
			}
			if late == nil {
				late = time.After(moreReplies)
			}
		case <-late:
			return r, "", true, true
		}
	}
	return r, only, answered, ok
}

const (
	// askTimeout is for how long other routers are asked if the stream is refused otherwise. It is more than a call takes on a
	// busy VM, and less than a client waits for an event.
	askTimeout = 600 * time.Millisecond
	// startupPeriod is how long after its start a router may know neither the others nor the endpoints yet, maxStartupWait and
	// maxListWait how long a request waits for them, and startupPollPeriod how often it checks.
	startupPeriod     = 2 * time.Second
	maxStartupWait    = 250 * time.Millisecond
	maxListWait       = 600 * time.Millisecond
	startupPollPeriod = 5 * time.Millisecond
)

// awaitRouters waits until a router that has just started knows others. Without it, the clients of a router that was killed
// were refused by one that had just taken its place.
func (k *Keeper) awaitRouters() {
	k.awaitAtStart(maxStartupWait, func() bool { return len(k.Others()) > 0 })
}

// awaitList waits until a router that has just started has its first list of endpoints. Without it nothing can be concluded from what
// other routers know, and clients that take up their streams as soon as the router is ready were refused.
func (k *Keeper) awaitList() { k.awaitAtStart(maxListWait, k.History.Began) }

// awaitAtStart waits, on a router that has just started, until it knows something.
func (k *Keeper) awaitAtStart(atMost time.Duration, known func() bool) {
	until := time.Now().Add(atMost)
	for !known() && time.Since(k.startedAt) < startupPeriod && time.Now().Before(until) && !k.stopped.Load() {
		background.Sleep(context.Background(), startupPollPeriod, nil)
	}
}

// moreReplies is for how long further replies are waited for once a router had the record. One that was handed over may be of
// an earlier attempt.
const moreReplies = 30 * time.Millisecond
