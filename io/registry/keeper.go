package registry

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/board"
	"savoryfall/core/directory"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/keyed"
)

// Decoder reads the entry of an endpoint out of a record.
type Decoder interface {
	Decode(r keyed.Record) (e directory.Entry, err error)
}

// Keeper fills the directory and tells when it changes.
type Keeper struct {
	decoder Decoder
	changes board.Changes
	changed func(usable []directory.Entry)
	logger  log.Logger

	mu        sync.Mutex
	directory directory.Directory
	last      map[string]directory.Entry
	// unclear is when the process of each endpoint started that does not say how long it is cold.
	unclear map[string]int64
}

// New makes a keeper that calls changed with the usable endpoints each time that they change.
func New(d Decoder, changed func(usable []directory.Entry), logger log.Logger) *Keeper {
	return &Keeper{decoder: d, changed: changed, logger: logger}
}

// Changes are what routers are told that follow the endpoints through this one.
func (k *Keeper) Changes() *board.Changes { return &k.changes }

// Feed takes what another router tells; whole tells that it is all there is.
func (k *Keeper) Feed(changes []board.Change, whole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	changed := whole && k.directory.Replace(usable(changes), now)
	for _, c := range changes {
		switch {
		case !c.Usable:
			changed = k.directory.RemoveProcess(c.Entry, now) || changed
		case !whole:
			changed = k.directory.Put(c.Entry) || changed
		}
	}
	k.tell(changed)
}

func usable(changes []board.Change) (entries []directory.Entry) {
	for _, c := range changes {
		if c.Usable {
			entries = append(entries, c.Entry)
		}
	}
	return entries
}

// Replace takes the whole list.
func (k *Keeper) Replace(records []keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var entries []directory.Entry
	for _, r := range records {
		e, err := k.decoder.Decode(r)
		if err != nil {
			k.unreadable(r, err)
			continue
		}
		k.checkCold(r, e)
		entries = append(entries, e)
	}
	k.tell(k.directory.Replace(entries, time.Now()))
}

// Apply takes what endpoints wrote since.
func (k *Keeper) Apply(records []keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = k.apply(r) || changed
	}
	k.tell(changed)
}

func (k *Keeper) apply(r keyed.Record) (changed bool) {
	now := time.Now()
	if r.Removed {
		return k.directory.Remove(r.Key, now)
	}
	e, err := k.decoder.Decode(r)
	if err != nil {
		// The newest word under this name cannot be read, so nothing is known to be there.
		k.unreadable(r, err)
		return k.directory.Remove(r.Key, now)
	}
	k.checkCold(r, e)
	return k.directory.Put(e)
}

// checkCold logs, once for each process, that an entry does not say for how long its endpoint is cold.
func (k *Keeper) checkCold(r keyed.Record, e directory.Entry) {
	born, known := k.unclear[e.ID]
	if !e.ColdUnknown || known && born == e.Born {
		return
	}
	if k.unclear == nil {
		k.unclear = map[string]int64{}
	}
	k.unclear[e.ID] = e.Born
	_ = k.logger.Log(field.Event, event.EntryColdUnreadable, field.Endpoint, e.ID, field.Born, e.Born, field.Offset, r.Offset)
}

func (k *Keeper) unreadable(r keyed.Record, err error) {
	_ = k.logger.Log(field.Event, event.EntryUnreadable, field.Endpoint, r.Key, field.Offset, r.Offset, field.Err, err)
}

// Read gives up entries that have not come back after an outage.
func (k *Keeper) Read(time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tell(k.directory.ExpireVanished(time.Now()))
}

// Failed keeps vanished entries for a while, since endpoints could not renew them.
func (k *Keeper) Failed(error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.directory.ReadFailed(time.Now())
}

// tell hands on the usable endpoints, and notes and logs those that came and went.
func (k *Keeper) tell(changed bool) {
	if !changed {
		return
	}
	usable := k.directory.Usable()
	now := map[string]directory.Entry{}
	for _, e := range usable {
		now[e.ID] = e
		old, known := k.last[e.ID]
		old.Sequence = e.Sequence
		if known && old == e {
			continue
		}
		k.changes.Put(board.Change{Entry: e, Usable: true})
		if !known {
			_ = k.logger.Log(field.Event, event.EndpointUsable, field.Endpoint, e.ID, field.Service, e.Service, field.Address, e.Address, field.Born, e.Born)
		}
	}
	for id, e := range k.last {
		if _, still := now[id]; still {
			continue
		}
		e.Leaving = k.directory.Leaving(id)
		k.changes.Put(board.Change{Entry: e})
		_ = k.logger.Log(field.Event, event.EndpointGone, field.Endpoint, id, field.Service, e.Service, field.Address, e.Address)
	}
	k.last = now
	k.changed(usable)
}
