package versionhistory

import (
	"time"

	"savoryfall/core/versionrecord"
)

// recordState is what this router knows of the record in the store.
type recordState struct {
	// last is the record as last read or written, at the time in at. The zero time stands for none.
	last versionrecord.Record
	at   time.Time
	// coveredSince is from when on no stream can have begun at a version that is not in the record, and covered whether such a
	// time is known.
	coveredSince time.Time
	covered      bool
}

// listLag is longer than the lists of two routers that are in touch with the store may differ.
const listLag = 5 * time.Second

// covers reports whether the record has all versions since the given time.
func (r *recordState) covers(from time.Time) bool {
	return r.covered && !r.coveredSince.Add(listLag).After(from)
}

// SetRecord takes over the record that a read found, which was sent at the given time. known says whether the record proves
// that no stream began, within what it covers, at a version that it does not have.
func (h *History) SetRecord(r versionrecord.Record, sent time.Time, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.covered = true
	h.record.coveredSince = sent
	if known {
		h.record.coveredSince = sent.Add(-r.Covered())
		if !h.confirmed.IsZero() {
			// The record has all versions at which streams have begun until then.
			h.confirmed = later(h.confirmed, sent)
		}
	}
	if h.began.IsZero() || sent.Before(h.began) {
		// What was recorded and left between the read and this router's first list is in neither.
		h.record.covered = false
	}
	h.setRecord(r, sent)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordWritten takes over the record that this router has written with a call that was sent at the given time.
func (h *History) RecordWritten(r versionrecord.Record, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setRecord(r, sent)
}

func (h *History) setRecord(r versionrecord.Record, sent time.Time) {
	h.record.last, h.record.at = r, sent
	for name, versions := range r.AbsentMs {
		s := h.service(name)
		for version, ms := range versions {
			s.recorded[version] = sent.Add(-time.Duration(ms) * time.Millisecond)
			if ms == 0 && s.listed[version] {
				s.offered[version] = true
			}
		}
	}
}

// Covered reports whether the record was read since this router last missed changes.
func (h *History) Covered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.covered
}

// Uncover records that streams may have begun until now at versions that are not in the record.
func (h *History) Uncover(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.coveredSince = now
}

// Offer records that another router has found the listed version in the record.
func (h *History) Offer(name, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.service(name); s.listed[version] {
		s.offered[version] = true
	}
}

// Offered reports whether streams may begin at listed endpoints of the version.
func (h *History) Offered(name, version string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	return s != nil && s.offered[version]
}

// Waiting reports whether a listed version of a service for which that is required is not in the record yet, as far as this
// router knows. Endpoints of such a version are not used.
func (h *History) Waiting(required func(service string) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.services {
		if len(s.offered) < len(s.listed) && required(name) {
			return true
		}
	}
	return false
}

// NextRecord returns the record that is to be written now, for a store of the generation, and whether it says more than the last
// one.
func (h *History) NextRecord(generation int64, now time.Time) (r versionrecord.Record, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r = versionrecord.Record{Generation: generation, WrittenAt: now.UnixMilli(), AbsentMs: map[string]map[string]int64{}}
	if h.record.covered {
		r.SetCovered(now.Sub(h.record.coveredSince))
	}
	for name, s := range h.services {
		for version := range s.recorded {
			r.SetAbsent(name, version, s.absent(version, now))
		}
		for version := range s.listed {
			r.SetAbsent(name, version, 0)
		}
	}
	return r, h.record.at.IsZero() || r.SaysMore(h.record.last)
}

// absent returns for how long no endpoint of the version has been listed.
func (s *service) absent(version string, now time.Time) time.Duration {
	last := s.recorded[version]
	if at, ok := s.seen[version]; ok && at.After(last) {
		last = at
	}
	if s.listed[version] || last.After(now) {
		return 0
	}
	return now.Sub(last)
}
