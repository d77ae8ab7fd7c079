package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member; for one incarnation a later state outranks an earlier one.
type State uint8

// The states of a member, in rising rank.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "leaving"}[min(s, Leaving)]
}

// Rumour is what routers tell each other of a member.
type Rumour struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   uint64
	State         State
}

// Table keeps the members as one router sees them; make one with New.
type Table struct {
	mu        sync.Mutex
	self      Rumour
	suspicion time.Duration
	members   map[string]*member
	fresh     map[string]int
}

type member struct {
	Rumour
	heard  time.Time
	since  time.Time
	listed bool
}

const (
	// unlistedLife is how long a member counts that the VM list does not show and nobody hears.
	unlistedLife = 10 * time.Second
	// spreadFactor times the logarithm of the fleet is how often a rumour is passed on.
	spreadFactor = 3
)

// New makes the table of the router self; a suspected member is taken for dead after suspicion.
func New(self Rumour, suspicion time.Duration) *Table {
	t := &Table{self: self, suspicion: suspicion, members: map[string]*member{}, fresh: map[string]int{}}
	t.fresh[self.Name] = t.spread()
	return t
}

// Self is what this router says of itself.
func (t *Table) Self() Rumour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// ListensOn sets the address that this router tells others, which is known only once it listens.
func (t *Table) ListensOn(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Address = address
}

// Leave marks this router itself as leaving, and has the rumour spread.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Leaving
	t.fresh[t.self.Name] = t.spread()
}

// Listed takes the routers on the VM list. The list lags: a member that it lacks stays while it is heard, and one
// that it shows is believed until direct evidence speaks against it.
func (t *Table) Listed(routers []Rumour, now time.Time) {
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
			m = &member{Rumour: r, heard: now, since: now}
			t.members[r.Name] = m
		}
		m.listed = true
		if m.Address != r.Address {
			m.Address, m.FailureDomain = r.Address, r.FailureDomain
		}
		if r.State == Leaving && m.State != Leaving {
			t.set(m, Leaving, now)
		}
	}
}

// Heard takes what a member itself has said; a member that neither the VM list nor a rumour has named yet has no
// known address, and is left for them to name.
func (t *Table) Heard(r Rumour, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Name == t.self.Name {
		return
	}
	m := t.members[r.Name]
	if m == nil {
		return
	}
	m.heard = now
	t.merge(m, r, now)
	// A member that is heard lives, whatever was rumoured of this incarnation; only its own word that it is leaving
	// stands.
	if m.State == Suspect || m.State == Dead {
		t.set(m, Alive, now)
	}
}

// Vouched takes that another router has just heard the member, which this one cannot reach.
func (t *Table) Vouched(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		m.heard = now
		if m.State == Suspect || m.State == Dead {
			t.set(m, Alive, now)
		}
	}
}

// Missed takes that the member answered neither this router nor those that were asked to try.
func (t *Table) Missed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil && m.State == Alive {
		t.set(m, Suspect, now)
	}
}

// Rumours merges what a peer believes. A rumour that this router itself is gone is refuted by a higher incarnation,
// which outranks it everywhere.
func (t *Table) Rumours(rumours []Rumour, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rumours {
		if r.Name == t.self.Name {
			t.refute(r)
			continue
		}
		m := t.members[r.Name]
		if m == nil {
			if r.State == Alive {
				t.members[r.Name] = &member{Rumour: r, heard: now, since: now}
				t.fresh[r.Name] = t.spread()
			}
			continue
		}
		t.merge(m, r, now)
	}
}

func (t *Table) refute(r Rumour) {
	if r.Incarnation < t.self.Incarnation || r.State == Alive || t.self.State == Leaving {
		return
	}
	t.self.Incarnation = r.Incarnation + 1
	t.fresh[t.self.Name] = t.spread()
}

// merge lets a higher incarnation win, and within one the higher rank, so that the order of arrival does not matter.
func (t *Table) merge(m *member, r Rumour, now time.Time) {
	if r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.State <= m.State {
		return
	}
	m.Incarnation = r.Incarnation
	if r.Address != "" {
		m.Address, m.FailureDomain = r.Address, r.FailureDomain
	}
	// That a member which is alive has a higher incarnation is no news worth spreading: each hears it from the member
	// itself. Passed on by all about all, it filled the messages of a starting fleet for minutes.
	if m.State == Alive && r.State == Alive {
		return
	}
	t.set(m, r.State, now)
}

func (t *Table) set(m *member, s State, now time.Time) {
	m.State = s
	m.since = now
	t.fresh[m.Name] = t.spread()
}

func (t *Table) spread() (times int) {
	for n := len(t.members) + 1; n > 0; n /= 2 {
		times += spreadFactor
	}
	return times
}

// Sweep turns suspects that nobody vouched for into dead ones, and forgets those that are gone for good; it returns
// the names of those that died now.
func (t *Table) Sweep(now time.Time) (died []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.State == Suspect && now.Sub(m.since) >= t.suspicion {
			t.set(m, Dead, now)
			died = append(died, name)
		}
		if !m.listed && now.Sub(m.heard) > unlistedLife {
			delete(t.members, name)
			delete(t.fresh, name)
		}
	}
	return died
}

// Gossip are the rumours to pass on now, at most max; each is passed on a few times only.
func (t *Table) Gossip(max int) (rumours []Rumour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.fresh)) {
		if len(rumours) == max {
			break
		}
		rumours = append(rumours, t.rumour(name))
		t.fresh[name]--
		if t.fresh[name] <= 0 {
			delete(t.fresh, name)
		}
	}
	return rumours
}

func (t *Table) rumour(name string) Rumour {
	if name == t.self.Name {
		return t.self
	}
	return t.members[name].Rumour
}

// Peer is a member as it is used, or as people are shown it.
type Peer struct {
	Name          string    `json:"name"`
	Address       string    `json:"address"`
	FailureDomain string    `json:"failureDomain"`
	Incarnation   uint64    `json:"incarnation"`
	State         string    `json:"state"`
	Heard         time.Time `json:"heard"`
}

// Peers are all other members, sorted by name.
func (t *Table) Peers() (peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		peers = append(peers, Peer{
			Name: name, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
			State: m.State.String(), Heard: m.heard,
		})
	}
	return peers
}

// Duty names the member that does a duty, so that all do not; two may think they do while their views differ.
func (t *Table) Duty(duty string) (name string) {
	holders := t.Holders(duty, 1)
	return holders[0]
}

// Holders names the n members that share a duty, by rendezvous hashing; this router counts as alive to itself.
func (t *Table) Holders(duty string, n int) (names []string) {
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

// Mine tells whether this router is among the n holders of the duty.
func (t *Table) Mine(duty string, n int) bool {
	return slices.Contains(t.Holders(duty, n), t.Self().Name)
}

// Count is how many members serve, this router among them.
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
