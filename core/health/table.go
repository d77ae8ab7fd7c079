package health

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Table holds the health of every configured endpoint; the zero value has none.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*endpointHealth
	// listed holds the names that the VM list shows as leaving, including those of endpoints that are not configured.
	listed map[string]bool
	// listReadAt is when this router asked for the VM list that it applied last.
	listReadAt time.Time
}

// endpointHealth is the state kept for one endpoint.
type endpointHealth struct {
	incarnation string
	// firstAnsweredAt is when the request was sent that the current incarnation answered first. predecessor is the
	// incarnation before it, or empty if this router knows none.
	firstAnsweredAt time.Time
	predecessor     string
	answeredAt      time.Time
	upSince         time.Time
	startedAt       time.Time
	addedLater      bool
	failures        int
	failedAt        time.Time
	down            bool
	flaps           int
	dampedUntil     time.Time
	// pausedUntil is until when the incarnation has asked for no requests.
	pausedUntil time.Time
	// leaving is the set of incarnations that are leaving. A mark is never taken back, because a delayed older "live"
	// would send new requests to an endpoint that is about to stop. Only a new incarnation starts without the mark.
	leaving map[string]bool
	// listedIncarnation is the incarnation to which the latest mark of the VM list was attributed.
	listedIncarnation string
	// unattributedMark is set while the VM list shows a leaving mark that may belong to the running incarnation or to its
	// predecessor. It counts only while the list shows it.
	unattributedMark bool
}

// State determines whether an endpoint may receive new requests.
type State string

// The states of an endpoint.
const (
	Up      State = "up"
	Down    State = "down"
	Damped  State = "damped"
	Leaving State = "leaving"
	Paused  State = "paused"
)

const (
	// maxSoftFailures is how many consecutive soft failures mark an endpoint as down; a single one may be the fault of
	// the request.
	maxSoftFailures = 3
	// dampStep is the hold-down time after the second return; each further flap doubles it, up to dampMax.
	dampStep = 2 * time.Second
	dampMax  = time.Minute
	// flapReset is how long an endpoint must stay up before its flaps are forgotten.
	flapReset = 2 * time.Minute
	// listLag is the maximum time after which the VM list shows a mark.
	listLag = 30 * time.Second
)

// Configure sets the names of the configured endpoints.
func (t *Table) Configure(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Endpoints of the first configuration that this router sees may have been up for long; those added later have
	// recently started.
	previous := t.endpoints
	t.endpoints = map[string]*endpointHealth{}
	for _, name := range names {
		t.endpoints[name] = previous[name]
		if t.endpoints[name] == nil {
			t.endpoints[name] = &endpointHealth{
				leaving: map[string]bool{}, addedLater: len(previous) > 0, unattributedMark: t.listed[name],
			}
		}
	}
}

// RecordAnswer records that an endpoint answered a request sent at the time asked, with the incarnation in its answer
// and whether it said that it is leaving. It returns whether the incarnation has changed, in which case the endpoint's
// cache is empty.
func (t *Table) RecordAnswer(name, incarnation string, leaving bool, asked time.Time) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
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
		h.recordReturn(asked)
	}
	if restarted || h.incarnation == "" && incarnation != "" && h.addedLater {
		h.startedAt = asked
	}
	if restarted {
		h.pausedUntil = time.Time{}
		h.recordSuccessor()
	}
	if incarnation != "" && h.incarnation != incarnation {
		h.incarnation, h.firstAnsweredAt = incarnation, asked
		h.dropExplainedMark()
	}
	h.answeredAt, h.down, h.failures = asked, false, 0
	return restarted
}

// recordSuccessor records that the current incarnation is about to be replaced. A mark that the VM list already shows
// was not made for the successor.
func (h *endpointHealth) recordSuccessor() {
	h.predecessor = h.incarnation
	if h.unattributedMark {
		h.unattributedMark = false
		h.listedIncarnation = h.predecessor
	}
}

// recordReturn damps an endpoint that keeps going down and up: each return with an empty cache draws chats away from
// the endpoints that have their prefix cached, and the next failure moves them again.
func (h *endpointHealth) recordReturn(now time.Time) {
	if now.Sub(h.upSince) > flapReset {
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

// Failed records a failed request or probe. A hard failure, such as a refused connection, marks the endpoint as down at
// once. An answer to a request sent before the failure doesn't bring the endpoint back: the answer may be older than
// the failure, and a router that sends no requests there would consider a dead endpoint up forever.
func (t *Table) Failed(name string, hard bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	if h == nil {
		return
	}
	h.failures++
	h.failedAt = now
	if hard || h.failures >= maxSoftFailures {
		h.down = true
	}
}

// Pause records that the current incarnation has refused a request and wants no further ones until the given time. The
// latest end of several pauses holds.
func (t *Table) Pause(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	if h != nil && until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// MarkLeaving marks an incarnation as leaving; an empty one stands for the current incarnation. It returns whether the
// mark is new.
func (t *Table) MarkLeaving(name, incarnation string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	if h == nil {
		return false
	}
	if incarnation == "" {
		incarnation = h.incarnation
	}
	changed = !h.leaving[incarnation]
	h.leaving[incarnation] = true
	h.dropExplainedMark()
	return changed
}

// Listed records whether the VM list shows the endpoint as leaving. Only the change to leaving counts, because the list
// is delayed and may still show the mark when a new incarnation is up.
func (t *Table) Listed(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed == nil {
		t.listed = map[string]bool{}
	}
	before := t.listed[name]
	if leaving {
		t.listed[name] = true
	} else {
		delete(t.listed, name)
	}
	h := t.endpoints[name]
	if h == nil {
		return
	}
	switch {
	case leaving && !before:
		h.attributeListedMark(t.listReadAt)
	case !leaving:
		h.unattributedMark = false
	}
}

// ListRead records that the VM list, as this router asked for it at the given time, has been applied.
func (t *Table) ListRead(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listReadAt = asked
}

// attributeListedMark attributes a mark that the VM list did not show when it was last asked for, at unmarkedAt. The
// list names no incarnation. Attributed to a successor, the late mark of its predecessor would keep the endpoint without
// requests for good, on every router.
func (h *endpointHealth) attributeListedMark(unmarkedAt time.Time) {
	mayBeOlder := unmarkedAt.Before(h.firstAnsweredAt.Add(listLag))
	switch {
	case h.incarnation == "" || mayBeOlder && h.predecessor == "":
		h.unattributedMark = true
		h.dropExplainedMark()
		return
	case mayBeOlder && h.listedIncarnation == h.predecessor:
		h.unattributedMark = true
		return
	case mayBeOlder:
		h.listedIncarnation = h.predecessor
	default:
		h.listedIncarnation = h.incarnation
	}
	h.leaving[h.listedIncarnation] = true
}

// dropExplainedMark drops an unattributed mark if an incarnation is known to be leaving: the VM list then shows that one.
func (h *endpointHealth) dropExplainedMark() {
	if h.incarnation != "" && len(h.leaving) > 0 {
		h.unattributedMark = false
	}
}

// State returns the current state of the endpoint.
func (t *Table) State(name string, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	if h == nil {
		return Down
	}
	return h.state(now)
}

func (h *endpointHealth) state(now time.Time) State {
	switch {
	case h.leaving[h.incarnation] || h.unattributedMark:
		return Leaving
	case h.down:
		return Down
	case now.Before(h.pausedUntil):
		return Paused
	case now.Before(h.dampedUntil):
		return Damped
	}
	return Up
}

// RecentlyStarted reports whether the endpoint started, with an empty cache, within the given time before now.
func (t *Table) RecentlyStarted(name string, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	return h != nil && !h.startedAt.IsZero() && now.Sub(h.startedAt) < within
}

// Incarnation returns the incarnation that answered last, or an empty string.
func (t *Table) Incarnation(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.endpoints[name]; h != nil {
		return h.incarnation
	}
	return ""
}

// LastAnsweredAt returns when the request that the endpoint answered last was sent.
func (t *Table) LastAnsweredAt(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.endpoints[name]; h != nil {
		return h.answeredAt
	}
	return time.Time{}
}

// UnattributedMarks returns the endpoints for which it is not known whose mark the VM list shows, at most max.
func (t *Table) UnattributedMarks(max int) (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.endpoints)) {
		if len(names) < max && t.endpoints[name].unattributedMark {
			names = append(names, name)
		}
	}
	return names
}

// ListedIncarnation returns the incarnation whose mark the VM list shows, or an empty string if there is none or it is
// not known.
func (t *Table) ListedIncarnation(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	if h == nil || !t.listed[name] || h.unattributedMark {
		return ""
	}
	return h.listedIncarnation
}

// KnownLeaving reports whether the current incarnation is known to be leaving, so that the mark may be passed on to
// peers.
func (t *Table) KnownLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.endpoints[name]
	return h != nil && h.leaving[h.incarnation]
}
