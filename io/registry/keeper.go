package registry

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/compactedlog"
	"savoryfall/core/directory"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/fleetload"
)

// Decoder decodes the entry of an endpoint from a record.
type Decoder interface {
	Decode(r compactedlog.Record) (e directory.Entry, err error)
}

// Tracker updates the directory and reports its changes.
type Tracker struct {
	decoder Decoder
	changes fleetload.ChangeLog
	changed func(usable []directory.Entry)
	logger  log.Logger

	mu        sync.Mutex
	directory directory.Directory
	published map[string]directory.Entry
	// coldUnknown holds, for each endpoint whose entry does not say how long it is cold, the start time of the
	// process for which that was logged.
	coldUnknown map[string]int64
}

// New returns a keeper that calls changed with the usable endpoints whenever they change.
func New(d Decoder, changed func(usable []directory.Entry), logger log.Logger) *Tracker {
	return &Tracker{decoder: d, changed: changed, logger: logger}
}

// Changes returns the changes to send to routers that follow the endpoints through this one.
func (k *Tracker) Changes() *fleetload.ChangeLog { return &k.changes }

// ApplyChanges applies changes received from another router; complete is set if they are the complete list.
func (k *Tracker) ApplyChanges(changes []fleetload.Change, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	changed := complete && k.directory.Replace(usableEntries(changes), now)
	for _, c := range changes {
		switch {
		case !c.Usable:
			changed = k.directory.RemoveProcess(c.Entry, now) || changed
		case !complete:
			changed = k.directory.Put(c.Entry) || changed
		}
	}
	k.publish(changed)
}

func usableEntries(changes []fleetload.Change) (entries []directory.Entry) {
	for _, c := range changes {
		if c.Usable {
			entries = append(entries, c.Entry)
		}
	}
	return entries
}

// Replace applies the complete list of entries.
func (k *Tracker) Replace(records []compactedlog.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var entries []directory.Entry
	for _, r := range records {
		e, err := k.decoder.Decode(r)
		if err != nil {
			k.logUnreadable(r, err)
			continue
		}
		k.logColdUnknown(r, e)
		entries = append(entries, e)
	}
	k.publish(k.directory.Replace(entries, time.Now()))
}

// Apply applies the records that endpoints have written since the last read.
func (k *Tracker) Apply(records []compactedlog.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = k.apply(r) || changed
	}
	k.publish(changed)
}

func (k *Tracker) apply(r compactedlog.Record) (changed bool) {
	now := time.Now()
	if r.Removed {
		return k.directory.Remove(r.Key, now)
	}
	e, err := k.decoder.Decode(r)
	if err != nil {
		// The newest entry of this endpoint cannot be read, so treat the endpoint as absent.
		k.logUnreadable(r, err)
		return k.directory.Remove(r.Key, now)
	}
	k.logColdUnknown(r, e)
	return k.directory.Put(e)
}

// logColdUnknown logs, once per process, that an entry does not say how long its endpoint is cold.
func (k *Tracker) logColdUnknown(r compactedlog.Record, e directory.Entry) {
	born, known := k.coldUnknown[e.ID]
	if !e.ColdUnknown || known && born == e.Born {
		return
	}
	if k.coldUnknown == nil {
		k.coldUnknown = map[string]int64{}
	}
	k.coldUnknown[e.ID] = e.Born
	_ = k.logger.Log(field.Event, event.EntryColdUnreadable, field.Endpoint, e.ID, field.Born, e.Born, field.Offset, r.Offset)
}

func (k *Tracker) logUnreadable(r compactedlog.Record, err error) {
	_ = k.logger.Log(field.Event, event.EntryUnreadable, field.Endpoint, r.Key, field.Offset, r.Offset, field.Err, err)
}

// Read removes the entries that have not come back after an outage.
func (k *Tracker) Read(time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.publish(k.directory.ExpireVanished(time.Now()))
}

// Failed keeps vanished entries for a while, since endpoints cannot renew them during an outage.
func (k *Tracker) Failed(error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.directory.ReadFailed(time.Now())
}

// publish passes on the usable endpoints, and records and logs those that were added, changed or removed.
func (k *Tracker) publish(changed bool) {
	if !changed {
		return
	}
	usable := k.directory.Usable()
	current := map[string]directory.Entry{}
	for _, e := range usable {
		current[e.ID] = e
		old, known := k.published[e.ID]
		old.Sequence = e.Sequence
		if known && old == e {
			continue
		}
		k.changes.Add(fleetload.Change{Entry: e, Usable: true})
		if !known {
			_ = k.logger.Log(field.Event, event.EndpointUsable, field.Endpoint, e.ID, field.Service, e.Service, field.Address, e.Address, field.Born, e.Born)
		}
	}
	for id, e := range k.published {
		if _, still := current[id]; still {
			continue
		}
		e.Leaving = k.directory.Leaving(id)
		k.changes.Add(fleetload.Change{Entry: e})
		_ = k.logger.Log(field.Event, event.EndpointGone, field.Endpoint, id, field.Service, e.Service, field.Address, e.Address)
	}
	k.published = current
	k.changed(usable)
}
