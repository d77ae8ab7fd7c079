package members

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a router as it lists itself.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Started is when its process started, in Unix milliseconds; it only tells two processes of a name apart.
	Started int64 `json:"started"`
	// Cores is how much processor time the VM has; a larger one is the better hub.
	Cores float64 `json:"cores"`
}

// List is the routers known, with which of them did not answer lately; the zero value is empty.
type List struct {
	mu    sync.Mutex
	by    map[string]Member
	order []Member
	avoid map[string]time.Time
}

// avoidFor is how long a router that did not answer is passed over as hub: longer than the restart of a process, short
// enough that the fleet is soon together again.
const avoidFor = 4 * time.Second

// Put adds a router, or replaces what was known of it, and tells whether that is news.
func (l *List) Put(m Member) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[string]Member{}
	}
	if l.by[m.Name] == m {
		return false
	}
	if l.by[m.Name].Started != m.Started {
		delete(l.avoid, m.Name)
	}
	l.by[m.Name] = m
	l.sort()
	return true
}

// sort puts the VMs with most processor time first; among equals a hash decides, which all routers compute alike.
func (l *List) sort() {
	l.order = l.order[:0]
	for _, m := range l.by {
		l.order = append(l.order, m)
	}
	sort.Slice(l.order, func(i, j int) bool {
		a, b := l.order[i], l.order[j]
		if a.Cores != b.Cores {
			return a.Cores > b.Cores
		}
		return xxhash.Sum64String(a.Name) > xxhash.Sum64String(b.Name)
	})
}

// Len is how many routers are known.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.by)
}

// All are the routers in their order as hubs.
func (l *List) All() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Member(nil), l.order...)
}

// Hub is the first in order that has not failed to answer lately; ok is false when that is the router itself, or when
// no other is known.
func (l *List) Hub(self string, now time.Time) (m Member, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.order {
		if m.Name == self {
			return m, false
		}
		if !now.Before(l.avoid[m.Name]) {
			return m, true
		}
	}
	return Member{}, false
}

// Failed notes that a router did not answer.
func (l *List) Failed(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoid == nil {
		l.avoid = map[string]time.Time{}
	}
	l.avoid[name] = now.Add(avoidFor)
}
