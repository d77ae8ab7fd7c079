package health

import (
	"cmp"
	"sync"
	"time"
)

// Table keeps the health of every endpoint in force; the zero value knows none.
type Table struct {
	mu sync.Mutex
	by map[string]*health
}

// health is what is known of one endpoint.
type health struct {
	incarnation string
	heardAt     time.Time
	upSince     time.Time
	bornAt      time.Time
	added       bool
	failures    int
	failedAt    time.Time
	down        bool
	flaps       int
	dampedUntil time.Time
	// leaving holds incarnations that are leaving. A mark is never taken back: an older "live" that arrives late
	// would send new work to an endpoint that is about to stop. Only a new incarnation is free of it.
	leaving map[string]bool
	listed  bool
	// unsure is set while the list shows a leaving mark that was there before any incarnation was heard: it may be of
	// the one that is up or of its predecessor. It counts, but only as long as the list shows it.
	unsure bool
}

// State is whether an endpoint may take new work.
type State string

// The states of an endpoint.
const (
	Up      State = "up"
	Down    State = "down"
	Damped  State = "damped"
	Leaving State = "leaving"
)

const (
	// softFailures in a row take an endpoint out of use; one alone may be the fault of the request.
	softFailures = 3
	// dampStep is the wait after the second return; each further flap doubles it up to dampMax.
	dampStep = 2 * time.Second
	dampMax  = time.Minute
	// calm is how long an endpoint must stay up until its flaps are forgotten.
	calm = 2 * time.Minute
)

// Configure takes the names of the endpoints in force.
func (t *Table) Configure(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// An endpoint of the first configuration that this router sees may have been up for long; a later one has just come.
	old := t.by
	t.by = map[string]*health{}
	for _, name := range names {
		t.by[name] = old[name]
		if t.by[name] == nil {
			t.by[name] = &health{leaving: map[string]bool{}, added: len(old) > 0}
		}
	}
}

// Heard says that an endpoint has answered what it was asked then, under which incarnation, and whether it said that it
// is leaving. It returns whether this is another incarnation than before, whose cache is empty.
func (t *Table) Heard(name, incarnation string, leaving bool, asked time.Time) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	if h == nil {
		return false
	}
	restarted = h.incarnation != "" && incarnation != "" && h.incarnation != incarnation
	if leaving {
		h.leaving[cmp.Or(incarnation, h.incarnation)] = true
	}
	if h.down && !restarted && asked.Before(h.failedAt) {
		return false
	}
	if restarted || h.down {
		h.returned(asked)
	}
	if restarted || h.incarnation == "" && incarnation != "" && h.added {
		h.bornAt = asked
	}
	if incarnation != "" {
		h.incarnation = incarnation
	}
	h.heardAt, h.down, h.failures = asked, false, 0
	return restarted
}

// returned damps an endpoint that comes back again and again: each return with an empty cache pulls chats away
// from where they are warm, and the next fall loses them once more.
func (h *health) returned(now time.Time) {
	if now.Sub(h.upSince) > calm {
		h.flaps = 0
	}
	h.flaps++
	h.upSince = now
	if h.flaps < 2 {
		return
	}
	wait := min(dampStep<<min(h.flaps-2, 10), dampMax)
	h.dampedUntil = now.Add(wait)
}

// Failed says that an attempt or a probe failed; a hard failure, such as a refused connection, counts at once. What the
// endpoint answers to something that it was asked before does not bring it back: the answer may be older than the failure,
// and a router that sends nothing there would believe for good that a dead endpoint lives.
func (t *Table) Failed(name string, hard bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	if h == nil {
		return
	}
	h.failures++
	h.failedAt = now
	if hard || h.failures >= softFailures {
		h.down = true
	}
}

// MarkLeaving says that an incarnation is leaving; an empty one means the one known now. It returns whether that
// was news.
func (t *Table) MarkLeaving(name, incarnation string) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	if h == nil {
		return false
	}
	if incarnation == "" {
		incarnation = h.incarnation
	}
	news = !h.leaving[incarnation]
	h.leaving[incarnation] = true
	return news
}

// Listed says whether the VM list shows the endpoint as leaving. Only the change to leaving counts: the list lags,
// and may go on showing the mark after a new incarnation has come.
func (t *Table) Listed(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	if h == nil {
		return
	}
	switch {
	case leaving && h.incarnation == "":
		h.unsure = true
	case leaving && !h.listed:
		h.leaving[h.incarnation] = true
	case !leaving:
		h.unsure = false
	}
	h.listed = leaving
}

// State tells whether the endpoint may take new work.
func (t *Table) State(name string, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	if h == nil {
		return Down
	}
	return h.state(now)
}

func (h *health) state(now time.Time) State {
	switch {
	case h.leaving[h.incarnation] || h.unsure:
		return Leaving
	case h.down:
		return Down
	case now.Before(h.dampedUntil):
		return Damped
	}
	return Up
}

// Young tells whether the endpoint has come within the time before now, with an empty cache.
func (t *Table) Young(name string, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	return h != nil && !h.bornAt.IsZero() && now.Sub(h.bornAt) < within
}

// Incarnation is the one that answered last, or empty.
func (t *Table) Incarnation(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.by[name]; h != nil {
		return h.incarnation
	}
	return ""
}

// HeardAt is when the endpoint answered last.
func (t *Table) HeardAt(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.by[name]; h != nil {
		return h.heardAt
	}
	return time.Time{}
}

// Marked tells whether it is sure that the incarnation known now is leaving, so that others may be told.
func (t *Table) Marked(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[name]
	return h != nil && h.leaving[h.incarnation]
}
