package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/coldlimit"
)

// Table is what a router knows of requests and parts. The zero value is empty and ready to use.
type Table struct {
	// OnChange is called after the records have changed, with what was quarantined and what was released. It may be nil.
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
		for _, reported := range records[:min(len(records), 2*maxRecords)] {
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

func (r *record) status(k Key, now time.Time) Status {
	return Status{Key: k, Crashes: r.events(), Processes: len(r.crashes.counted()), Trials: r.trial.count, TrialIn: max(r.trial.due.Sub(now), 0)}
}
