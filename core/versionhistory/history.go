package versionhistory

import (
	"maps"
	"sync"
	"time"

	"savoryfall/core/directory"
)

// History keeps, for each service, the versions that are listed and when others were last seen, by this router and by those
// that wrote the record in the store. A service with one version needs no record of where streams began. The zero value is
// empty.
type History struct {
	mu    sync.Mutex
	began time.Time
	// confirmed is when it was last known that no change was missing. It is zero for a history that is not told.
	confirmed time.Time
	services  map[string]*service
	record    recordState
}

type service struct {
	// seen is when an endpoint of the version was last listed or reported.
	seen map[string]time.Time
	// listed are the versions of the listed endpoints.
	listed map[string]bool
	// recorded is when, by the record in the store, an endpoint of the version may last have been listed.
	recorded map[string]time.Time
	// offered are the listed versions at which streams may begin, because they were in the record before.
	offered map[string]bool
}

func (h *History) service(name string) *service {
	if h.services == nil {
		h.services = map[string]*service{}
	}
	s := h.services[name]
	if s == nil {
		s = &service{seen: map[string]time.Time{}, listed: map[string]bool{}, recorded: map[string]time.Time{}, offered: map[string]bool{}}
		h.services[name] = s
	}
	return s
}

// Saw records an endpoint that is or was in use, also one that is leaving or gone.
func (h *History) Saw(e directory.Entry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(e.Service).seen[e.Version] = now
}

// SetListed sets the endpoints that may get new work.
func (h *History) SetListed(entries []directory.Entry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.began.IsZero() {
		h.began = now
	}
	for _, s := range h.services {
		for version := range s.listed {
			s.seen[version] = now
		}
		s.listed = map[string]bool{}
	}
	for _, e := range entries {
		s := h.service(e.Service)
		s.seen[e.Version], s.listed[e.Version] = now, true
	}
	for _, s := range h.services {
		maps.DeleteFunc(s.offered, func(version string, _ bool) bool { return !s.listed[version] })
	}
	h.forget(now)
}

// retention is how long a version that is no longer listed is kept; it bounds the window of Only.
const retention = 10 * time.Minute

// forget drops the versions that were seen too long ago, so that a service keeps few of them.
func (h *History) forget(now time.Time) {
	for _, s := range h.services {
		for version, at := range s.seen {
			if !s.listed[version] && now.Sub(at) > retention {
				delete(s.seen, version)
			}
		}
		maps.DeleteFunc(s.recorded, func(version string, lastListed time.Time) bool {
			return !s.listed[version] && now.Sub(lastListed) > retention
		})
	}
}

// Only returns the version of all endpoints that the service has had within the window, which must be below ten minutes. ok
// is false if there were several, none, or one that is unknown, or if this router does not know the whole window.
func (h *History) Only(name string, window time.Duration, now time.Time) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil || !h.knows(window, now) {
		return "", false
	}
	return s.only(window, now)
}

// OnlySeen is Only for the part of the window that this router knows.
func (h *History) OnlySeen(name string, window time.Duration, now time.Time) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil {
		return "", false
	}
	return s.only(window, now)
}

func (s *service) only(window time.Duration, now time.Time) (version string, ok bool) {
	found := map[string]bool{}
	for v, at := range s.seen {
		if s.listed[v] || now.Sub(at) <= window {
			version, found[v] = v, true
		}
	}
	for v, lastListed := range s.recorded {
		if now.Sub(lastListed) <= window {
			version, found[v] = v, true
		}
	}
	if len(found) != 1 || version == "" || !s.listed[version] {
		return "", false
	}
	return version, true
}

// Began reports whether a list of endpoints has been set.
func (h *History) Began() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.began.IsZero()
}

// Confirm records that no change is missing.
func (h *History) Confirm(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = now
}

// outdated reports whether other routers may know of versions that have come since this one last read or was told of changes.
func (h *History) outdated(now time.Time) bool {
	return !h.confirmed.IsZero() && now.Sub(h.confirmed) > maxAge
}

// maxAge is after how long without a read or news a router may not know of a version at which others begin streams. News come several
// times a second.
const maxAge = 1500 * time.Millisecond

// Missed records that endpoints may have come and gone unseen until now: what this router has seen before says nothing of that
// time, and the record has to be read again.
func (h *History) Missed(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.began.IsZero() {
		h.began, h.record.covered = now, false
	}
}

// Knows reports whether all versions of the window are known.
func (h *History) Knows(window time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knows(window, now)
}

// knows reports whether the history reaches back to the beginning of the window: by the lists that this router has had, or by
// the record in the store. The endpoints that are listed now say nothing of those that were listed before.
func (h *History) knows(window time.Duration, now time.Time) bool {
	from := now.Add(-window)
	if h.began.IsZero() || h.outdated(now) {
		return false
	}
	return !h.began.After(from) || h.record.covers(from)
}

// Listed reports whether this router has had lists of endpoints for the whole window.
func (h *History) Listed(window time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.began.IsZero() && !h.began.After(now.Add(-window))
}

// Settled reports whether the service has had a single known version for a while, by what this router has itself seen.
func (h *History) Settled(name string, now time.Time) bool {
	h.mu.Lock()
	began := h.began
	h.mu.Unlock()
	if began.IsZero() || now.Sub(began) < settleTime {
		return false
	}
	_, ok := h.OnlySeen(name, settleTime, now)
	return ok
}

// Services returns the names of all services that have had endpoints.
func (h *History) Services() (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.services {
		names = append(names, name)
	}
	return names
}

// settleTime is longer than the lists of two routers that are in touch with the store may differ.
const settleTime = 5 * time.Second
