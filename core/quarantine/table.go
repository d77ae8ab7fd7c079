package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/coldlimit"
)

// Table is what a router knows of parts. The zero value is empty and ready to use.
type Table struct {
	// OnChange is called after the records have changed, with the parts that were quarantined and those that were released. It may
	// be nil.
	OnChange func(quarantined, released []Status)

	mu      sync.Mutex
	records map[Key]*record
	version int64
	fleet   coldlimit.Fleet
	// size is the number of records, so that requests need no lock while there are none.
	size atomic.Int64
	// touched are the keys whose records the current change has changed.
	touched []Key
	// quarantined are the keys of quarantined records.
	quarantined map[Key]bool
	// ended are the processes whose crashes count, with the keys of their records. It may hold more until the next expiry.
	ended map[uint64]map[Key]bool
	// nextExpiry is when to look for expired records again.
	nextExpiry time.Time
}

// maxRecords limits the records of parts, and those of requests: no client can fill the memory of routers by parts and requests of
// its own.
const maxRecords = 1024

// keptRecords is how many are kept when there are more than maxRecords, so that they need to be sorted seldom.
const keptRecords = maxRecords * 7 / 8

// Status is a part or request that is quarantined.
type Status struct {
	Key Key
	// Crashes is the number of crashes, and Processes the number of processes that ended in them.
	Crashes   int
	Processes int
	Trials    int
	// TrialIn is the time until the next trial.
	TrialIn time.Duration
}

// Decision is what to do with a request.
type Decision struct {
	// Refused means that the request must not be sent, for what is known of Part.
	Refused bool
	Part    Status
	// Trial means that the request is sent to learn whether its quarantined parts still crash endpoints. EndTrial must be called
	// at its end.
	Trial bool
	// Wait is how long to wait before a trial is sent.
	Wait time.Duration
}

// SetFleet sets the routers, which begin trials one after the other.
func (t *Table) SetFleet(f coldlimit.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
}

// Crash is the end of an endpoint's process before it had answered a request completely.
type Crash struct {
	Process Process
	// Sent is when the request was sent to the endpoint, and At when the process ended.
	Sent time.Time
	At   time.Time
	// Answered is set if the answer had gone well for so long that no part of the prompt crashed the endpoint.
	Answered bool
	// Silent is set if all that shows the end is that nothing came from the process any more.
	Silent bool
}

// Crashed records that the process of an endpoint crashed under the request. Parts are suspected only if the answer had not begun
// or just had, and if it is known that the process ended.
func (t *Table) Crashed(s Subject, c Crash, now time.Time) {
	keys := s.keys()
	if c.Answered || c.Silent {
		keys = slices.DeleteFunc(keys, func(k Key) bool { return !k.Request })
	}
	if len(keys) == 0 {
		return
	}
	t.change(now, func() {
		for _, k := range keys {
			r := t.records[k]
			if r == nil {
				r = &record{request: k.Request}
				t.records[k] = r
			}
			if r.crashes.add(crash{process: c.Process.hash(), account: s.account(), request: s.Request, at: c.At, sent: c.Sent, silent: c.Silent}) {
				r.trial.schedule(now)
				t.touch(k, now)
			}
		}
	})
}

// Answered records that an endpoint answers the request well, from the given time on. It may still crash under what the request
// has of its own.
func (t *Table) Answered(s Subject, began, now time.Time) { t.clear(s.parts(), began, now) }

// Completed records that an endpoint has answered the request completely, from the given time on.
func (t *Table) Completed(s Subject, began, now time.Time) { t.clear(s.keys(), began, now) }

func (t *Table) clear(keys []Key, began, now time.Time) {
	if t.Empty() {
		return
	}
	t.change(now, func() {
		for _, k := range keys {
			if r := t.records[k]; r != nil && r.clear(began) {
				t.touch(k, now)
			}
		}
	})
}

// Responded records that a process has responded to a request that was sent to it at the given time. It did not crash before: the
// router that reported that had lost its connections only.
func (t *Table) Responded(p Process, sent, now time.Time) {
	if t.Empty() {
		return
	}
	process := p.hash()
	t.mu.Lock()
	ended := len(t.ended[process]) > 0
	t.mu.Unlock()
	if !ended {
		return
	}
	t.change(now, func() {
		for k := range t.ended[process] {
			if r := t.records[k]; r != nil && r.clearProcess(process, sent) {
				t.touch(k, now)
			}
		}
	})
}

// Empty reports whether nothing is known of any part or request.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Crashes returns how many endpoints crashed under the request.
func (t *Table) Crashes(s Subject) int {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[s.request()]; r != nil {
		return r.events()
	}
	return 0
}

// Decide decides on a request that is about to be sent for the first time.
func (t *Table) Decide(s Subject, now time.Time) (d Decision) {
	if t.Empty() {
		return Decision{}
	}
	t.change(now, func() {
		blocking := t.blocking(s, quarantineEvents)
		if len(blocking) == 0 {
			return
		}
		d.Trial = !slices.ContainsFunc(blocking, func(k Key) bool { return !t.mayTry(k, len(blocking)-1, now) })
		d.Part = t.records[blocking[0]].status(blocking[0], now)
		d.Refused = !d.Trial
		if d.Trial {
			for _, k := range blocking {
				t.records[k].trial.begin(now)
				t.touch(k, now)
				if k.Request {
					d.Wait = announceTime
				}
			}
		}
	})
	return d
}

// mayTry reports whether this router may begin a trial of the part or request now. Requests that are refused for less go first: the
// others may crash endpoints for something else that they have.
func (t *Table) mayTry(k Key, others int, now time.Time) bool {
	due := t.records[k].trial.due.Add(time.Duration(others) * trialStagger)
	if !k.Request {
		due = due.Add(time.Duration(t.fleet.Rank(k.Part)) * trialStagger)
	}
	return !now.Before(due)
}

// MayRetry reports whether a request may be sent to another endpoint. atCrash is set if it was at a crash itself.
func (t *Table) MayRetry(s Subject, atCrash bool) bool {
	if t.Empty() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	events := quarantineEvents
	if atCrash {
		events = retryEvents
	}
	return len(t.blocking(s, events)) == 0
}

// EndTrial ends a trial. One that showed nothing is repeated soon: its request did not run or, for a part, crashed an endpoint and has
// another suspected part that was not tried with it.
func (t *Table) EndTrial(s Subject, conclusive bool, now time.Time) {
	t.change(now, func() {
		ambiguous := slices.ContainsFunc(s.parts(), t.untried)
		for _, k := range t.blocking(s, quarantineEvents) {
			showed := conclusive && (k.Request || !ambiguous)
			if r := t.records[k]; !showed && r.trial.count > 0 {
				r.trial.takeBack(now)
				t.touch(k, now)
			}
		}
	})
}

// untried reports whether the part is suspected and was not tried.
func (t *Table) untried(k Key) bool {
	r := t.records[k]
	return r != nil && r.trial.count == 0 && r.events() >= retryEvents
}

// blocking returns the request's own key if it is quarantined, and its parts that were at this many crashes or more which nothing
// else explains.
func (t *Table) blocking(s Subject, events int) (keys []Key) {
	if r := t.records[s.request()]; r != nil && r.quarantined() {
		keys = append(keys, s.request())
	}
	var others []*record
	for _, k := range s.parts() {
		r := t.records[k]
		if r == nil || r.events() < events {
			continue
		}
		if others == nil {
			others = t.quarantinedBeside(s.keys())
		}
		if c := r.unexplained(others); c.events() >= events && c.concern(s.account()) {
			keys = append(keys, k)
		}
	}
	return keys
}

// quarantinedBeside returns what is quarantined and not among the keys.
func (t *Table) quarantinedBeside(keys []Key) (others []*record) {
	for k := range t.quarantined {
		if !slices.Contains(keys, k) {
			others = append(others, t.records[k])
		}
	}
	return others
}

// touch records that the record with the key has changed now.
func (t *Table) touch(k Key, now time.Time) {
	t.records[k].changedAt = now
	t.revise(k)
}

// revise gives the record with the key a version, by which other routers get it.
func (t *Table) revise(k Key) {
	t.version++
	t.records[k].version = t.version
	t.touched = append(t.touched, k)
}

// change makes a change and reports what follows from it.
func (t *Table) change(now time.Time, apply func()) {
	t.mu.Lock()
	if t.records == nil {
		t.records, t.quarantined, t.ended = map[Key]*record{}, map[Key]bool{}, map[uint64]map[Key]bool{}
	}
	t.expire(now)
	apply()
	changed := len(t.touched) > 0
	var quarantined, released []Status
	if changed {
		t.drop()
		quarantined, released = t.announce(now)
	}
	t.touched = t.touched[:0]
	t.size.Store(int64(len(t.records)))
	t.mu.Unlock()
	if changed && t.OnChange != nil {
		t.OnChange(quarantined, released)
	}
}

// announce takes note of the touched records, and returns what has been quarantined or released.
func (t *Table) announce(now time.Time) (quarantined, released []Status) {
	for _, k := range t.touched {
		r := t.records[k]
		if r == nil {
			continue
		}
		t.noteEnds(k)
		is := r.quarantined()
		switch {
		case is == t.quarantined[k]:
		case is:
			t.quarantined[k] = true
			quarantined = append(quarantined, r.status(k, now))
		default:
			delete(t.quarantined, k)
			released = append(released, r.status(k, now))
		}
	}
	return quarantined, released
}

// noteEnds takes note of the processes whose crashes count in the record.
func (t *Table) noteEnds(k Key) {
	for _, c := range t.records[k].crashes {
		if c.cleared {
			delete(t.ended[c.process], k)
			continue
		}
		if t.ended[c.process] == nil {
			t.ended[c.process] = map[Key]bool{}
		}
		t.ended[c.process][k] = true
	}
}

func (t *Table) remove(k Key) {
	delete(t.quarantined, k)
	delete(t.records, k)
}

func (r *record) status(k Key, now time.Time) Status {
	return Status{Key: k, Crashes: r.events(), Processes: len(r.crashes.counted()), Trials: r.trial.count, TrialIn: max(r.trial.due.Sub(now), 0)}
}

// expiryInterval is how often expired records are removed.
const expiryInterval = time.Second

// expire removes records that have expired, from time to time.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(expiryInterval)
	t.ended = map[uint64]map[Key]bool{}
	for k, r := range t.records {
		if r.expired(now) {
			t.remove(k)
			continue
		}
		t.noteEnds(k)
	}
}

// drop removes records beyond the limits.
func (t *Table) drop() {
	if len(t.records) <= maxRecords {
		return
	}
	var parts, requests []Key
	for k := range t.records {
		if k.Request {
			requests = append(requests, k)
		} else {
			parts = append(parts, k)
		}
	}
	t.dropLeast(parts)
	t.dropLeast(requests)
}

// dropLeast removes those beyond the limit that were at the fewest crashes, the oldest of them first.
func (t *Table) dropLeast(keys []Key) {
	if len(keys) <= maxRecords {
		return
	}
	events := map[Key]int{}
	for _, k := range keys {
		events[k] = min(t.records[k].events(), quarantineEvents)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(events[a], events[b]), t.records[a].changedAt.Compare(t.records[b].changedAt))
	})
	for _, k := range keys[:len(keys)-keptRecords] {
		t.remove(k)
	}
}

// Since returns the records that changed after the version, and the current version.
func (t *Table) Since(after int64, now time.Time) (records []Record, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if r.version > after {
			records = append(records, r.report(k, now))
		}
	}
	return records, t.version
}

// Version returns the version of the newest change.
func (t *Table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Merge adds what another router has reported.
func (t *Table) Merge(records []Record, now time.Time) {
	if len(records) == 0 {
		return
	}
	t.change(now, func() {
		for _, reported := range records[:min(len(records), maxRecords)] {
			t.merge(reported, now)
		}
	})
}

func (t *Table) merge(reported Record, now time.Time) {
	other := fromReport(reported, now)
	if other.expired(now) {
		return
	}
	known := t.records[reported.Key]
	if known == nil {
		t.records[reported.Key] = &other
		t.revise(reported.Key)
		return
	}
	if known.merge(other) {
		t.revise(reported.Key)
	}
}

// Counts are numbers of parts or of requests.
type Counts struct{ Suspected, Quarantined int }

// Counts returns how many parts and how many requests are suspected and quarantined.
func (t *Table) Counts() (parts, requests Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		n := &parts
		if k.Request {
			n = &requests
		}
		switch {
		case r.quarantined():
			n.Quarantined++
		case len(r.crashes.counted()) > 0:
			n.Suspected++
		}
	}
	return parts, requests
}
