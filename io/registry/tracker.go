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
	"savoryfall/core/versionhistory"
)

// Decoder decodes the entry of an endpoint from a record.
type Decoder interface {
	Decode(r compactedlog.Record) (e directory.Entry, err error)
}

// Tracker updates the directory and reports its changes.
type Tracker struct {
	decoder Decoder
	changes fleetload.ChangeLog
	// versions has the software versions that the entries have named.
	versions versionhistory.History
	changed  func(usable []directory.Entry)
	logger   log.Logger
	// recordFirst and onWaiting are set by RecordFirst.
	recordFirst func(service string) bool
	onWaiting   func()

	mu        sync.Mutex
	directory directory.Directory
	// published are the listed endpoints as passed on to other routers.
	published map[string]fleetload.Change
	// unrecorded is set while the version of a listed endpoint is not recorded, as far as this router knows.
	unrecorded bool
	// readAt is when a read of the registry, by this router or another, last showed that nothing is missing here.
	readAt time.Time
	// outage is what shows whether the store may have been away for endpoints.
	outage outage
	// coldUnknown holds, for each endpoint whose entry does not say how long it is cold, the start time of the
	// process for which that was logged.
	coldUnknown map[string]int64
}

// New returns a tracker that calls changed with the usable endpoints whenever they change.
func New(d Decoder, changed func(usable []directory.Entry), logger log.Logger) *Tracker {
	return &Tracker{decoder: d, changed: changed, logger: logger}
}

// RecordFirst has endpoints of the services for which required returns true wait, out of use, until their software version is
// in the record of versions. onWaiting is called when one waits that this router has read itself: a hub that passes one on
// reports it as recorded soon. It must be called before any other method.
func (t *Tracker) RecordFirst(required func(service string) bool, onWaiting func()) {
	t.recordFirst, t.onWaiting = required, onWaiting
}

// Recheck passes on the endpoints whose versions have been recorded since.
func (t *Tracker) Recheck() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(t.unrecorded, sourceRecord)
}

// Changes returns the changes to send to routers that follow the endpoints through this one.
func (t *Tracker) Changes() *fleetload.ChangeLog { return &t.changes }

// Versions returns the history of the endpoints' software versions.
func (t *Tracker) Versions() *versionhistory.History { return &t.versions }

// ApplyChanges applies changes received from another router; complete is set if they are the complete list.
func (t *Tracker) ApplyChanges(changes []fleetload.Change, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if complete {
		t.noteGap(now)
	}
	changed := complete && t.directory.Replace(usableEntries(changes), now)
	for _, c := range changes {
		t.versions.Saw(c.Entry, now)
		switch {
		case !c.Usable:
			changed = t.directory.RemoveProcess(c.Entry, now) || changed
		case !complete:
			changed = t.directory.Put(c.Entry) || changed
		}
	}
	if changed {
		t.versions.SetListed(t.directory.Usable(), now)
	}
	for _, c := range changes {
		if c.Usable && c.Recorded {
			t.versions.Offer(c.Entry.Service, c.Entry.Version)
		}
	}
	t.publish(changed || t.unrecorded, sourceHub)
}

// unseenLimit is after how long without a read a complete list does not show what came and went in between. Lists of routers
// that are in touch with the store differ by less.
const unseenLimit = 5 * time.Second

// noteGap is called when a complete list has arrived, in place of what has changed.
func (t *Tracker) noteGap(now time.Time) {
	if !t.readAt.IsZero() && now.Sub(t.readAt) > unseenLimit {
		t.versions.Missed(now)
	}
}

// MarkLeaving records that a process has answered that it is leaving. Its entry may show that much later, and not at
// all while the store is away.
func (t *Tracker) MarkLeaving(e directory.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(t.directory.MarkLeaving(e, time.Now()), sourceAnswer)
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
func (t *Tracker) Replace(records []compactedlog.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteGap(time.Now())
	t.keepLapsed(time.Now())
	var entries []directory.Entry
	for _, r := range records {
		e, err := t.decoder.Decode(r)
		if err != nil {
			t.logUnreadable(r, err)
			continue
		}
		t.logColdUnknown(r, e)
		t.versions.Saw(e, time.Now())
		entries = append(entries, e)
	}
	t.publish(t.directory.Replace(entries, time.Now()), sourceRegistry)
}

// Apply applies the records that endpoints have written since the last read.
func (t *Tracker) Apply(records []compactedlog.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keepLapsed(time.Now())
	changed := false
	for _, r := range records {
		changed = t.apply(r) || changed
	}
	t.publish(changed, sourceRegistry)
}

func (t *Tracker) apply(r compactedlog.Record) (changed bool) {
	now := time.Now()
	if r.Removed {
		return t.directory.Remove(r.Key, now)
	}
	e, err := t.decoder.Decode(r)
	if err != nil {
		// The newest entry of this endpoint cannot be read, so treat the endpoint as absent.
		t.logUnreadable(r, err)
		return t.directory.Remove(r.Key, now)
	}
	t.logColdUnknown(r, e)
	t.versions.Saw(e, now)
	return t.directory.Put(e)
}

// logColdUnknown logs, once per process, that an entry does not say how long its endpoint is cold.
func (t *Tracker) logColdUnknown(r compactedlog.Record, e directory.Entry) {
	born, known := t.coldUnknown[e.ID]
	if !e.ColdUnknown || known && born == e.Born {
		return
	}
	if t.coldUnknown == nil {
		t.coldUnknown = map[string]int64{}
	}
	t.coldUnknown[e.ID] = e.Born
	_ = t.logger.Log(field.Event, event.EntryColdUnreadable, field.Endpoint, e.ID, field.Born, e.Born, field.Offset, r.Offset)
}

func (t *Tracker) logUnreadable(r compactedlog.Record, err error) {
	_ = t.logger.Log(field.Event, event.EntryUnreadable, field.Endpoint, r.Key, field.Offset, r.Offset, field.Err, err)
}

// Read removes the entries that have not come back after an outage.
func (t *Tracker) Read(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = time.Now()
	t.outage.recordRead(sent, t.readAt)
	t.versions.Confirm(t.readAt)
	t.publish(t.directory.ExpireVanished(time.Now()), sourceRegistry)
}

// Restored keeps vanished entries for a while: those that the store's copy lacks come back with the next heartbeats.
func (t *Tracker) Restored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directory.ReadFailed(time.Now())
}

// SetHeartbeat sets about how often endpoints write their entries. It must be called before any other method.
func (t *Tracker) SetHeartbeat(d time.Duration) { t.outage.heartbeat = d }

// Failed keeps vanished entries for a while if the store may be away for endpoints too: they cannot renew them then. If the store
// serves other routers, an entry that vanishes is that of an endpoint that leaves.
func (t *Tracker) Failed(error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage.recordFailure()
	t.keepLapsed(time.Now())
}

// keepLapsed keeps entries that vanish in use for a while if they may have lapsed in an outage of the store.
func (t *Tracker) keepLapsed(now time.Time) {
	if t.outage.mayHaveLapsed(now) {
		t.directory.ReadFailed(now)
	}
}

// source is where a change of the endpoints was learned from.
type source string

// The sources of changes.
const (
	sourceRegistry source = "registry"
	sourceHub      source = "hub"
	sourceAnswer   source = "answer"
	sourceRecord   source = "record"
)

// publish passes on the usable endpoints, and records and logs those that were added, changed or removed.
func (t *Tracker) publish(changed bool, from source) {
	if !changed {
		return
	}
	listed := t.directory.Usable()
	t.versions.SetListed(listed, time.Now())
	current := map[string]fleetload.Change{}
	for _, e := range listed {
		c := fleetload.Change{Entry: e, Usable: true, Recorded: t.recordFirst != nil && t.versions.Offered(e.Service, e.Version)}
		current[e.ID] = c
		old, known := t.published[e.ID]
		old.Entry.Sequence = e.Sequence
		if known && old == c {
			continue
		}
		t.changes.Add(c)
		if !known {
			_ = t.logger.Log(field.Event, event.EndpointUsable, field.Endpoint, e.ID, field.Service, e.Service, field.Address, e.Address, field.Born, e.Born,
				field.Software, e.Version)
		}
	}
	for id, c := range t.published {
		if _, still := current[id]; still {
			continue
		}
		e := c.Entry
		e.Leaving = t.directory.Leaving(id)
		t.changes.Add(fleetload.Change{Entry: e})
		_ = t.logger.Log(field.Event, event.EndpointGone, field.Endpoint, id, field.Service, e.Service, field.Address, e.Address, field.Born, e.Born,
			field.Software, e.Version, field.Leaving, e.Leaving, field.Source, from)
	}
	t.published = current
	t.changed(t.recorded(listed, from))
}

// recorded returns the endpoints that need not wait for their version to be recorded.
func (t *Tracker) recorded(listed []directory.Entry, from source) (usable []directory.Entry) {
	if t.recordFirst == nil {
		return listed
	}
	t.unrecorded = false
	for _, e := range listed {
		offered := t.versions.Offered(e.Service, e.Version)
		t.unrecorded = t.unrecorded || !offered
		if offered || !t.recordFirst(e.Service) {
			usable = append(usable, e)
		}
	}
	if len(usable) < len(listed) && from != sourceHub {
		t.onWaiting()
	}
	return usable
}
