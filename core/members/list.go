package members

import (
	"net"
	"sort"
	"sync"
	"time"
)

// List holds the known routers and which of them have recently failed to answer; the zero value is empty.
type List struct {
	mu      sync.Mutex
	byName  map[string]*routerEntry
	ranked  []*routerEntry
	version int64
	digest  uint64
}

// routerEntry is a router and the state that this router keeps for it.
type routerEntry struct {
	member Member
	hash   uint64
	// version is the list version of the last change to this entry.
	version int64
	digest  uint64
	// suspect is set when the router did not answer or failed as a hub, and cleared when it has been reached again.
	// retryAt is the time of the next retry; failures counts the consecutive failures.
	suspect  bool
	retryAt  time.Time
	failures int
}

// retryMin and retryMax bound the delay before a failed router is tried again. The delay doubles with each
// failure: a process that restarts is found again soon, and a VM that is gone for good is seldom tried. A router
// that restarts with a new process is noticed by its own reports.
const (
	retryMin = 500 * time.Millisecond
	retryMax = 16 * time.Second
)

// Put adds or updates routers and returns those that changed.
func (l *List) Put(routers ...Member) (changed []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string]*routerEntry{}
	}
	for _, m := range routers {
		if l.put(m) {
			changed = append(changed, m)
		}
	}
	if len(changed) > 0 {
		l.sort()
	}
	return changed
}

// put adds or updates one router. An entry from an earlier process on the same VM is ignored: the store keeps the
// first entry that a router wrote.
func (l *List) put(m Member) (changed bool) {
	k := l.byName[m.Name]
	if k == nil {
		k = &routerEntry{hash: Hash(m.Name)}
		l.byName[m.Name] = k
		l.ranked = append(l.ranked, k)
	} else if k.member == m || m.Started < k.member.Started {
		return false
	}
	if k.member.Started != m.Started {
		k.suspect, k.failures = false, 0
	}
	l.version++
	l.digest -= k.digest
	k.member, k.version, k.digest = m, l.version, m.digest()
	l.digest += k.digest
	return true
}

// sort ranks the routers by how many followers their VMs can serve as hub, the most first. Ties are broken by a
// hash that all routers compute alike.
func (l *List) sort() {
	sort.Slice(l.ranked, func(i, j int) bool {
		a, b := l.ranked[i], l.ranked[j]
		if a.member.Bears != b.member.Bears {
			return a.member.Bears > b.member.Bears
		}
		return a.hash > b.hash
	})
}

// Len returns the number of known routers.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byName)
}

// All returns all known routers.
func (l *List) All() (routers []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.ranked {
		routers = append(routers, k.member)
	}
	return routers
}

// Others returns the known routers other than the one with the name that are not known to have failed.
func (l *List) Others(self string) (routers []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.ranked {
		if k.member.Name != self && !k.suspect {
			routers = append(routers, k.member)
		}
	}
	return routers
}

// HasHost reports whether a router's address has the host, an IP address.
func (l *List) HasHost(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.ranked {
		h, _, err := net.SplitHostPort(k.member.Address)
		if err == nil && h == host {
			return true
		}
	}
	return false
}

// NameHashes returns the name hashes of all known routers.
func (l *List) NameHashes() (hashes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.ranked {
		hashes = append(hashes, k.hash)
	}
	return hashes
}

// InSample reports whether the router is one of n that all routers choose alike, whatever their VMs bear. If there are no more
// than n, all are.
func (l *List) InSample(name string, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ranked) <= n {
		return true
	}
	own, before := Hash(name), 0
	for _, k := range l.ranked {
		if k.hash < own {
			before++
		}
	}
	return before < n
}

// Contains returns whether the router is known with the same values, ignoring the start time of its process.
func (l *List) Contains(m Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byName[m.Name]
	if k == nil {
		return false
	}
	m.Started = k.member.Started
	return k.member == m
}

// Since returns the routers that changed after the given version, and the current version. It returns no routers
// if the caller's list has the same digest.
func (l *List) Since(after int64, digest uint64) (changed []Member, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if digest == l.digest {
		return nil, l.version
	}
	for _, k := range l.ranked {
		if k.version > after {
			changed = append(changed, k.member)
		}
	}
	return changed, l.version
}

// Digest returns a digest of the list's contents that does not depend on the order in which the routers were
// added.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// MarkFailed records that a router did not answer or failed as a hub, and schedules the next retry.
func (l *List) MarkFailed(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byName[name]
	if k == nil {
		return
	}
	k.suspect, k.retryAt = true, now.Add(min(retryMin<<min(k.failures, 16), retryMax))
	k.failures++
}

// MarkReached records that a connection to the router succeeded. The failure count is kept until the router has served
// as hub.
func (l *List) MarkReached(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byName[name]; k != nil {
		k.suspect = false
	}
}

// MarkServed records that a router served as hub, and resets its failure count.
func (l *List) MarkServed(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byName[name]; k != nil {
		k.suspect, k.failures = false, 0
	}
}
