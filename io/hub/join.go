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
	var routers []members.Member
	err = a.withStoreTimeout(ctx, func(ctx context.Context) (err error) {
		routers, err = a.RouterList.All(ctx)
		return err
	})
	if err != nil {
		_ = a.Logger.Log(field.Event, event.RoutersUnknown, field.Err, err)
		return false, err
	}
	for _, m := range routers {
		alreadyListed = alreadyListed || m.Name == a.Self.Name && a.Members.Contains(m)
	}
	a.addRouters(routers)
	return alreadyListed, nil
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
