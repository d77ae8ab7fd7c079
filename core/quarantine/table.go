package quarantine

import (
	"maps"
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
	// ended are the processes whose crashes count.
	ended map[uint64]bool
}

// maxRecords limits the records: no client can fill the memory of routers by parts of its own. Those that changed longest ago
// are dropped, quarantined ones last.
const maxRecords = 1024

// keptRecords is how many are kept when there are more than maxRecords, so that they need to be sorted seldom.
const keptRecords = maxRecords * 7 / 8

// Status is a part that is quarantined.
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
}

// SetFleet sets the routers, which begin trials one after the other.
func (t *Table) SetFleet(f coldlimit.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
}

// Crashed records that the process of an endpoint crashed while it had not answered the request, or had just begun to. The
// request was sent to it at the given time.
func (t *Table) Crashed(s Subject, p Process, sent, now time.Time) {
	keys := s.keys()
	if len(keys) == 0 {
		return
	}
	t.change(now, func() {
		for _, k := range keys {
			r := t.records[k]
			if r == nil {
				r = &record{}
				t.records[k] = r
			}
			if r.crashes.add(crash{process: p.hash(), account: s.account(), at: now, sent: sent}) {
				r.trial.schedule(now)
				t.touch(r, now)
			}
		}
	})
}

// Answered records that an endpoint has answered the request well, from the given time on.
func (t *Table) Answered(s Subject, began, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.change(now, func() {
		for _, k := range s.keys() {
			if r := t.records[k]; r != nil && r.clear(began) {
				t.touch(r, now)
			}
		}
	})
}

// Responded records that a process has responded to a request that was sent to it at the given time. It did not crash before: the
// router that reported that had lost its connections only.
func (t *Table) Responded(p Process, sent, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	process := p.hash()
	t.mu.Lock()
	ended := t.ended[process]
	t.mu.Unlock()
	if !ended {
		return
	}
	t.change(now, func() {
		for _, r := range t.records {
			if r.clearProcess(process, sent) {
				t.touch(r, now)
			}
		}
	})
}

// Decide decides on a request that is about to be sent for the first time.
func (t *Table) Decide(s Subject, now time.Time) (d Decision) {
	if t.size.Load() == 0 {
		return Decision{}
	}
	t.change(now, func() {
		blocking := t.blocking(s, quarantineEvents)
		if len(blocking) == 0 {
			return
		}
		d.Trial = !slices.ContainsFunc(blocking, func(k Key) bool { return !t.mayTry(k, now) })
		d.Refused = !d.Trial
		d.Part = t.records[blocking[0]].status(blocking[0], now)
		if d.Trial {
			for _, k := range blocking {
				t.records[k].trial.begin(now)
				t.touch(t.records[k], now)
			}
		}
	})
	return d
}

// MayRetry reports whether a request may be sent to another endpoint. atCrash is set if it was at a crash itself.
func (t *Table) MayRetry(s Subject, atCrash bool) bool {
	if t.size.Load() == 0 {
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

// EndTrial ends a trial. One that showed nothing is repeated soon.
func (t *Table) EndTrial(s Subject, conclusive bool, now time.Time) {
	if conclusive {
		return
	}
	t.change(now, func() {
		for _, k := range t.blocking(s, quarantineEvents) {
			t.records[k].trial.takeBack(now)
			t.touch(t.records[k], now)
		}
	})
}

// blocking returns the parts of the request that were at this many crashes or more which nothing else explains.
func (t *Table) blocking(s Subject, events int) (keys []Key) {
	own := s.keys()
	var others []*record
	for _, k := range own {
		r := t.records[k]
		if r == nil || r.crashes.counted().events() < events {
			continue
		}
		if others == nil {
			others = t.quarantinedBeside(own)
		}
		if c := r.unexplained(others); c.events() >= events && c.concern(s.account()) {
			keys = append(keys, k)
		}
	}
	return keys
}

// quarantinedBeside returns the quarantined parts that are not among the keys.
func (t *Table) quarantinedBeside(keys []Key) (others []*record) {
	for k, r := range t.records {
		if r.quarantined() && !slices.Contains(keys, k) {
			others = append(others, r)
		}
	}
	return others
}

// mayTry reports whether this router may begin a trial of the part now.
func (t *Table) mayTry(k Key, now time.Time) bool {
	due := t.records[k].trial.due.Add(time.Duration(t.fleet.Rank(k.Part)) * trialStagger)
	return !now.Before(due)
}

func (t *Table) touch(r *record, now time.Time) {
	t.version++
	r.version, r.changedAt = t.version, now
}

// change makes a change and reports what follows from it.
func (t *Table) change(now time.Time, apply func()) {
	t.mu.Lock()
	if t.records == nil {
		t.records = map[Key]*record{}
	}
	before := t.version
	apply()
	changed := t.version != before
	var quarantined, released []Status
	if changed {
		t.drop(now)
		quarantined, released = t.announce(now)
		t.ended = t.endedProcesses()
	}
	t.size.Store(int64(len(t.records)))
	t.mu.Unlock()
	if changed && t.OnChange != nil {
		t.OnChange(quarantined, released)
	}
}

func (t *Table) endedProcesses() (ended map[uint64]bool) {
	ended = map[uint64]bool{}
	for _, r := range t.records {
		for _, c := range r.crashes.counted() {
			ended[c.process] = true
		}
	}
	return ended
}

// announce returns the parts that have been quarantined or released since the last call.
func (t *Table) announce(now time.Time) (quarantined, released []Status) {
	for k, r := range t.records {
		is := r.quarantined()
		if is == r.announced {
			continue
		}
		r.announced = is
		if is {
			quarantined = append(quarantined, r.status(k, now))
		} else {
			released = append(released, r.status(k, now))
		}
	}
	return quarantined, released
}

func (r *record) status(k Key, now time.Time) Status {
	return Status{Key: k, Crashes: r.crashes.counted().events(), Processes: len(r.crashes.counted()), Trials: r.trial.count, TrialIn: max(r.trial.due.Sub(now), 0)}
}

// drop removes records that have expired and those beyond the limit.
func (t *Table) drop(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Key, r *record) bool { return r.expired(now) })
	if len(t.records) <= maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int {
		ra, rb := t.records[a], t.records[b]
		if ra.quarantined() != rb.quarantined() {
			if rb.quarantined() {
				return -1
			}
			return 1
		}
		return ra.changedAt.Compare(rb.changedAt)
	})
	for _, k := range keys[:len(keys)-keptRecords] {
		delete(t.records, k)
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
	r := t.records[reported.Key]
	if r == nil {
		t.version++
		other.version = t.version
		t.records[reported.Key] = &other
		return
	}
	if r.merge(other) {
		t.version++
		r.version = t.version
	}
}

// Counts returns the number of parts that are suspected, and that are quarantined.
func (t *Table) Counts() (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		switch {
		case r.quarantined():
			quarantined++
		case len(r.crashes.counted()) > 0:
			suspected++
		}
	}
	return suspected, quarantined
}
