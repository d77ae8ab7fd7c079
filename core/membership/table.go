package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the assumed state of a member. Within one incarnation, a higher state overrides a lower one.
type State uint8

// The states of a member, in increasing precedence.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "leaving"}[min(s, Leaving)]
}

// Update is a gossip update about one member.
type Update struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   uint64
	State         State
}

// Table holds one router's view of the members; create one with New.
type Table struct {
	mu               sync.Mutex
	self             Update
	suspicionTimeout time.Duration
	members          map[string]*member
	retransmits      map[string]int
}

type member struct {
	Update
	lastHeard  time.Time
	stateSince time.Time
	listed     bool
}

const (
	// unlistedTTL is how long a member is kept that is neither on the VM list nor in contact.
	unlistedTTL = 10 * time.Second
	// retransmitFactor times the logarithm of the number of members is how often an update is passed on.
	retransmitFactor = 3
)

// New returns the table of the router self. A suspected member is declared dead after suspicionTimeout.
func New(self Update, suspicionTimeout time.Duration) *Table {
	t := &Table{self: self, suspicionTimeout: suspicionTimeout, members: map[string]*member{}, retransmits: map[string]int{}}
	t.retransmits[self.Name] = t.retransmitLimit()
	return t
}

// Self returns this router's own state.
func (t *Table) Self() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetAddress sets the address that this router announces, which is known only once it listens.
func (t *Table) SetAddress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Address = address
}

// Leave marks this router as leaving and gossips the update.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Leaving
	t.retransmits[t.self.Name] = t.retransmitLimit()
}

// UpdateFromVMList records the routers on the VM list. The list is delayed: a member that is missing from it is kept
// while it is in contact, and a member on it is assumed alive until direct evidence shows otherwise.
func (t *Table) UpdateFromVMList(routers []Update, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		m.listed = false
	}
	for _, r := range routers {
		if r.Name == t.self.Name {
			continue
		}
		m := t.members[r.Name]
		if m == nil {
			m = &member{Update: r, lastHeard: now, stateSince: now}
			t.members[r.Name] = m
		}
		m.listed = true
		if m.Address != r.Address {
			m.Address, m.FailureDomain = r.Address, r.FailureDomain
		}
		if r.State == Leaving && m.State != Leaving {
			t.setState(m, Leaving, now)
		}
	}
}

// RecordContact records direct contact with a member. A member that neither the VM list nor gossip has named yet has
// no known address, and is ignored until one of them names it.
func (t *Table) RecordContact(r Update, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Name == t.self.Name {
		return
	}
	m := t.members[r.Name]
	if m == nil {
		return
	}
	m.lastHeard = now
	t.merge(m, r, now)
	// A member that has made contact is alive, whatever was gossiped about this incarnation. Only its own announcement
	// that it is leaving is kept.
	if m.State == Suspect || m.State == Dead {
		t.setState(m, Alive, now)
	}
}

// RecordIndirectContact records that another router has just reached the member, although this one can't.
func (t *Table) RecordIndirectContact(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		m.lastHeard = now
		if m.State == Suspect || m.State == Dead {
			t.setState(m, Alive, now)
		}
	}
}

// RecordMiss records that the member answered neither this router nor the routers asked to probe it.
func (t *Table) RecordMiss(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil && m.State == Alive {
		t.setState(m, Suspect, now)
	}
}

// Rumours merges the updates of a peer. If one says that this router isn't alive, this router refutes it with a higher
// incarnation, which overrides the update everywhere.
func (t *Table) Rumours(updates []Update, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range updates {
		if r.Name == t.self.Name {
			t.refute(r)
			continue
		}
		m := t.members[r.Name]
		if m == nil {
			if r.State == Alive {
				t.members[r.Name] = &member{Update: r, lastHeard: now, stateSince: now}
				t.retransmits[r.Name] = t.retransmitLimit()
			}
			continue
		}
		t.merge(m, r, now)
	}
}

func (t *Table) refute(r Update) {
	if r.Incarnation < t.self.Incarnation || r.State == Alive || t.self.State == Leaving {
		return
	}
	t.self.Incarnation = r.Incarnation + 1
	t.retransmits[t.self.Name] = t.retransmitLimit()
}

// merge prefers the higher incarnation, and within one incarnation the higher state, so that the order of arrival
// doesn't matter.
func (t *Table) merge(m *member, r Update, now time.Time) {
	if r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.State <= m.State {
		return
	}
	m.Incarnation = r.Incarnation
	if r.Address != "" {
		m.Address, m.FailureDomain = r.Address, r.FailureDomain
	}
	// A higher incarnation of an alive member is not passed on, since every router learns it from the member itself.
	// When all routers passed it on about all others, it filled the messages of a starting fleet for minutes.
	if m.State == Alive && r.State == Alive {
		return
	}
	t.setState(m, r.State, now)
}

func (t *Table) setState(m *member, s State, now time.Time) {
	m.State = s
	m.stateSince = now
	t.retransmits[m.Name] = t.retransmitLimit()
}

func (t *Table) retransmitLimit() (limit int) {
	for n := len(t.members) + 1; n > 0; n /= 2 {
		limit += retransmitFactor
	}
	return limit
}

// Sweep declares suspects dead after the suspicion timeout, and removes unlisted members that haven't made contact.
// It returns the names of the members just declared dead.
func (t *Table) Sweep(now time.Time) (died []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.State == Suspect && now.Sub(m.stateSince) >= t.suspicionTimeout {
			t.setState(m, Dead, now)
			died = append(died, name)
		}
		if !m.listed && now.Sub(m.lastHeard) > unlistedTTL {
			delete(t.members, name)
			delete(t.retransmits, name)
		}
	}
	return died
}

// Gossip returns the updates to send now, at most max; each is sent a limited number of times.
func (t *Table) Gossip(max int) (updates []Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.retransmits)) {
		if len(updates) == max {
			break
		}
		updates = append(updates, t.updateOf(name))
		t.retransmits[name]--
		if t.retransmits[name] <= 0 {
			delete(t.retransmits, name)
		}
	}
	return updates
}

func (t *Table) updateOf(name string) Update {
	if name == t.self.Name {
		return t.self
	}
	return t.members[name].Update
}

// Peer is the state of another member as used by callers and shown to operators.
type Peer struct {
	Name          string    `json:"name"`
	Address       string    `json:"address"`
	FailureDomain string    `json:"failureDomain"`
	Incarnation   uint64    `json:"incarnation"`
	State         string    `json:"state"`
	LastHeard     time.Time `json:"heard"`
}

// Peers returns all other members, sorted by name.
func (t *Table) Peers() (peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		peers = append(peers, Peer{
			Name: name, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
			State: m.State.String(), LastHeard: m.lastHeard,
		})
	}
	return peers
}

// Assignee returns the member assigned to a duty, so that not all members perform it. Two members may both consider
// themselves assigned while their views differ.
func (t *Table) Assignee(duty string) (name string) {
	assignees := t.Assignees(duty, 1)
	return assignees[0]
}

// Assignees returns the n members that share a duty, by rendezvous hashing over the alive and suspect members. This
// router counts itself unless it is leaving, and also if no other member is left.
func (t *Table) Assignees(duty string, n int) (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type ranked struct {
		name string
		rank uint64
	}
	var all []ranked
	add := func(name string, s State) {
		if s == Alive || s == Suspect {
			all = append(all, ranked{name: name, rank: xxhash.Sum64String(name + "\x00" + duty)})
		}
	}
	add(t.self.Name, t.self.State)
	for name, m := range t.members {
		add(name, m.State)
	}
	if len(all) == 0 {
		return []string{t.self.Name}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank > b.rank || a.rank == b.rank && a.name < b.name {
			return -1
		}
		return 1
	})
	for _, r := range all[:min(n, len(all))] {
		names = append(names, r.name)
	}
	return names
}

// Assigned reports whether this router is among the n members assigned to the duty.
func (t *Table) Assigned(duty string, n int) bool {
	return slices.Contains(t.Assignees(duty, n), t.Self().Name)
}

// Count returns the number of serving members, including this router.
func (t *Table) Count() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n = 1
	for _, m := range t.members {
		if m.State == Alive || m.State == Suspect {
			n++
		}
	}
	return n
}
