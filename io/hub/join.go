package hub

import (
	"context"
	"math/rand/v2"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/members"
)

// join reads the router list and adds this router to the store's copy unless it is already there. A VM that comes
// back has the same name and address, and its new start time reaches the others through its reports.
func (a *Agent) join(ctx context.Context) {
	alreadyListed, othersKnown := false, false
	if !a.Bootstrap {
		alreadyListed = a.retryReadList(ctx)
		othersKnown = a.Members.Len() > 1
	}
	if othersKnown {
		close(a.listLoaded)
	}
	for !alreadyListed && ctx.Err() == nil {
		err := a.withStoreTimeout(ctx, func(ctx context.Context) error { return a.RouterList.Add(ctx, a.Self) })
		if err == nil {
			break
		}
		_ = a.Logger.Log(field.Event, event.NotListed, field.Err, err)
		background.Sleep(ctx, storeTimeout, nil)
	}
	if othersKnown {
		return
	}
	// Routers that start together with this one are adding themselves to the list now.
	background.Sleep(ctx, joinSettleTime, nil)
	_, _ = a.readList(ctx)
	close(a.listLoaded)
}

func (a *Agent) withStoreTimeout(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return do(ctx)
}

// retryReadList reads the router list until it succeeds. Nothing is written before: if the list cannot be read, it
// cannot be written either.
func (a *Agent) retryReadList(ctx context.Context) (alreadyListed bool) {
	for delay := storeTimeout / 2; ctx.Err() == nil; delay = min(2*delay, maxListRetryDelay) {
		alreadyListed, err := a.readList(ctx)
		if err == nil {
			return alreadyListed
		}
		background.Sleep(ctx, delay/2+rand.N(delay), nil)
	}
	return false
}

// readList reads the router list from the store, and reports whether this router is on it with its current data.
func (a *Agent) readList(ctx context.Context) (alreadyListed bool, err error) {
	routers, err := a.listedRouters(ctx)
	if err != nil {
		return false, err
	}
	for _, m := range routers {
		alreadyListed = alreadyListed || m.Name == a.Self.Name && a.Members.Contains(m)
	}
	a.addRouters(routers)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listGeneration == 0 {
		a.listGeneration = a.RouterList.Generation()
	}
	return alreadyListed, nil
}

// listedRouters returns the routers on the list in the store.
func (a *Agent) listedRouters(ctx context.Context) (routers []members.Member, err error) {
	err = a.withStoreTimeout(ctx, func(ctx context.Context) (err error) {
		routers, err = a.RouterList.All(ctx)
		return err
	})
	if err != nil {
		_ = a.Logger.Log(field.Event, event.RoutersUnknown, field.Err, err)
	}
	return routers, err
}

// listCheckDue reports whether the store has come back from an older copy since the list was known to be complete, and
// schedules the next check in case this one fails.
func (a *Agent) listCheckDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.RouterList.Generation() <= a.listGeneration || now.Before(a.nextListCheck) {
		return false
	}
	a.nextListCheck = now.Add(firstListReadDelay)
	return true
}

// completeList adds the routers that the list in the store lacks, or has with other data, since the store came back from
// an older copy. The root does it for all: each router has written its entry only once, when it joined.
func (a *Agent) completeList(ctx context.Context) {
	generation := a.RouterList.Generation()
	routers, err := a.listedRouters(ctx)
	if err != nil {
		return
	}
	a.addRouters(routers)
	listed := map[string]members.Member{}
	for _, m := range routers {
		listed[m.Name] = m
	}
	written := 0
	for _, m := range a.Members.All() {
		if entry, ok := listed[m.Name]; ok && a.Members.Contains(entry) {
			continue
		}
		err = a.withStoreTimeout(ctx, func(ctx context.Context) error { return a.RouterList.Add(ctx, m) })
		if err != nil {
			_ = a.Logger.Log(field.Event, event.NotListed, field.Err, err)
			return
		}
		written++
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listGeneration = generation
	_ = a.Logger.Log(field.Event, event.RouterListRestored, field.Generation, generation, field.Routers, written)
}

// addRouters adds routers to the known ones, and returns those that are new or changed.
func (a *Agent) addRouters(routers []members.Member) (added []members.Member) {
	others := make([]members.Member, 0, len(routers))
	for _, m := range routers {
		if m.Name != a.Self.Name && m.Name != "" && m.Address != "" {
			others = append(others, m)
		}
	}
	added = a.Members.Put(others...)
	a.OnRoutersChanged(a.Members.NameHashes())
	return added
}

// listReadDue reports whether it is time to read the router list again, and schedules the next read.
func (a *Agent) listReadDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.nextListRead) {
		return false
	}
	a.nextListRead = now.Add(listReadInterval)
	if a.Members.Len() == 1 {
		a.nextListRead = now.Add(firstListReadDelay)
	}
	return true
}
