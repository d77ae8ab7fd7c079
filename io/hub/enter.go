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

// enter reads who else is there, and lists this router at the store unless it stands there already: a VM that comes back has
// the same name and address, and what it started anew is heard of through its reports.
func (a *Agent) enter(ctx context.Context) {
	listed, others := false, false
	if !a.Bootstrap {
		listed = a.readOn(ctx)
		others = a.Members.Len() > 1
	}
	if others {
		close(a.entered)
	}
	for !listed && ctx.Err() == nil {
		err := a.within(ctx, func(ctx context.Context) error { return a.Listing.Enter(ctx, a.Self) })
		if err == nil {
			break
		}
		_ = a.Logger.Log(field.Event, event.NotListed, field.Err, err)
		background.Pause(ctx, storeWithin, nil)
	}
	if others {
		return
	}
	// All start at once: those that come with this one list themselves at this moment.
	background.Pause(ctx, enterTogether, nil)
	_, _ = a.read(ctx)
	close(a.entered)
}

func (a *Agent) within(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	return do(ctx)
}

// readOn reads the list until that succeeds. Nothing is written before: where the list cannot be read nothing can be.
func (a *Agent) readOn(ctx context.Context) (listed bool) {
	for pause := storeWithin / 2; ctx.Err() == nil; pause = min(2*pause, listPause) {
		listed, err := a.read(ctx)
		if err == nil {
			return listed
		}
		background.Pause(ctx, pause/2+rand.N(pause), nil)
	}
	return false
}

// read takes the list of routers off the store, and tells whether this router stands there as it is.
func (a *Agent) read(ctx context.Context) (listed bool, err error) {
	var all []members.Member
	err = a.within(ctx, func(ctx context.Context) (err error) {
		all, err = a.Listing.List(ctx)
		return err
	})
	if err != nil {
		_ = a.Logger.Log(field.Event, event.RoutersUnknown, field.Err, err)
		return false, err
	}
	for _, m := range all {
		listed = listed || m.Name == a.Self.Name && a.Members.Has(m)
	}
	a.learn(all)
	return listed, nil
}

// learn takes routers that were heard of, and returns those that were not known so.
func (a *Agent) learn(all []members.Member) (news []members.Member) {
	others := make([]members.Member, 0, len(all))
	for _, m := range all {
		if m.Name != a.Self.Name && m.Name != "" && m.Address != "" {
			others = append(others, m)
		}
	}
	news = a.Members.Put(others...)
	a.Counted(a.Members.Hashes())
	return news
}

// relistDue tells whether the list of routers is to be read again, and sets the next time.
func (a *Agent) relistDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.relistAt) {
		return false
	}
	a.relistAt = now.Add(relist)
	if a.Members.Len() == 1 {
		a.relistAt = now.Add(relistFirst)
	}
	return true
}
