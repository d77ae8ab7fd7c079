package members

import (
	"sort"
	"sync"
	"time"
)

// List is the routers known, with which of them did not answer lately; the zero value is empty.
type List struct {
	mu     sync.Mutex
	by     map[string]*known
	order  []*known
	number int64
	digest uint64
}

// known is a router with what this one has met of it.
type known struct {
	member Member
	hash   uint64
	// number is that of the change that brought what is known.
	number int64
	digest uint64
	// suspect tells that it did not answer, or was no use as hub, and has not been reached since; retryAt is when to try,
	// misses how often it failed in a row.
	suspect bool
	retryAt time.Time
	misses  int
}

// retryFirst and retryMost bound the time after which a router that failed is tried again. It doubles: a process that restarts
// is found again soon, a VM that is gone for good is not tried over and over. One that comes back with a new process is heard
// of by its reports.
const (
	retryFirst = 500 * time.Millisecond
	retryMost  = 16 * time.Second
)

// Put adds routers, or replaces what was known of them, and tells which of them are news.
func (l *List) Put(all ...Member) (news []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[string]*known{}
	}
	for _, m := range all {
		if l.put(m) {
			news = append(news, m)
		}
	}
	if len(news) > 0 {
		l.sort()
	}
	return news
}

// put takes one router. What an earlier process of that VM wrote is old: the store keeps a router's first entry.
func (l *List) put(m Member) (changed bool) {
	k := l.by[m.Name]
	if k == nil {
		k = &known{hash: Hash(m.Name)}
		l.by[m.Name] = k
		l.order = append(l.order, k)
	} else if k.member == m || m.Started < k.member.Started {
		return false
	}
	if k.member.Started != m.Started {
		k.suspect, k.misses = false, 0
	}
	l.number++
	l.digest -= k.digest
	k.member, k.number, k.digest = m, l.number, m.digest()
	l.digest += k.digest
	return true
}

// sort puts the VMs that can serve most as hub first; among equals a hash decides, which all routers compute alike.
func (l *List) sort() {
	sort.Slice(l.order, func(i, j int) bool {
		a, b := l.order[i], l.order[j]
		if a.member.Bears != b.member.Bears {
			return a.member.Bears > b.member.Bears
		}
		return a.hash > b.hash
	})
}

// Len is how many routers are known.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.by)
}

// Hashes are those of the names of all routers known.
func (l *List) Hashes() (hashes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.order {
		hashes = append(hashes, k.hash)
	}
	return hashes
}

// Has tells whether the router is known as it is, but for when its process started.
func (l *List) Has(m Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.by[m.Name]
	if k == nil {
		return false
	}
	m.Started = k.member.Started
	return k.member == m
}

// Since are the routers that changed after the number, and the number to go on from; none for who has a list of that digest.
func (l *List) Since(n int64, digest uint64) (changed []Member, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if digest == l.digest {
		return nil, l.number
	}
	for _, k := range l.order {
		if k.number > n {
			changed = append(changed, k.member)
		}
	}
	return changed, l.number
}

// Digest is the same for two lists of the same routers, in whatever order they were heard of.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Failed notes that a router did not answer, or was no use as hub.
func (l *List) Failed(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.by[name]
	if k == nil {
		return
	}
	k.suspect, k.retryAt = true, now.Add(min(retryFirst<<min(k.misses, 16), retryMost))
	k.misses++
}

// Reached notes that a connection to the router can be made. How often it failed is kept until it has served as hub.
func (l *List) Reached(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.by[name]; k != nil {
		k.suspect = false
	}
}

// Answered notes that a router served as hub.
func (l *List) Answered(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.by[name]; k != nil {
		k.suspect, k.misses = false, 0
	}
}
