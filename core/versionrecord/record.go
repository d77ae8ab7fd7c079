package versionrecord

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"savoryfall/core/annotate"
)

// Record is what is known of the software versions of all services at the time of writing. A version is in it before a router
// offers its endpoints for streams.
type Record struct {
	// Generation is that of the store for which the record was written.
	Generation int64 `json:"generation"`
	// WrittenAt is when it was written, in Unix milliseconds by the writer's clock.
	WrittenAt int64 `json:"writtenAt"`
	// RoutersEnd is where the store's list of routers ended when its entries were last looked at.
	RoutersEnd int64 `json:"routersEnd"`
	// CoveredMs is for how long before, in milliseconds and at the least, no stream can have begun at a version that is not in
	// the record.
	CoveredMs int64 `json:"coveredMs"`
	// AbsentMs holds, by service and version, for how long at the least no endpoint of the version has been listed, in
	// milliseconds, and 0 for versions that are listed.
	AbsentMs map[string]map[string]int64 `json:"absentMs"`
}

// Retention is for how long a version that is no longer listed stays in the record. It is longer than any stream is remembered.
const Retention = 150 * time.Second

const (
	// RefreshInterval is the longest time between two writes of the record while a router runs.
	RefreshInterval = 30 * time.Second
	// maxClockDifference is how far the clocks of two routers may differ. Each of them may be five seconds off.
	maxClockDifference = 10 * time.Second
)

var errNegative = errors.New("a time is negative")

// Decode decodes a record.
func Decode(data []byte) (r Record, err error) {
	defer annotate.Error(&err, "decode the record of software versions")
	err = json.Unmarshal(data, &r)
	if err != nil {
		return Record{}, err
	}
	if r.CoveredMs < 0 {
		return Record{}, errNegative
	}
	for service, versions := range r.AbsentMs {
		for version, ms := range versions {
			if ms < 0 {
				return Record{}, fmt.Errorf("service %q, version %q: %w", service, version, errNegative)
			}
		}
	}
	return r, nil
}

// Encode returns the record as it is stored.
func (r Record) Encode() (data []byte, err error) { return json.Marshal(r) }

// Unusable is why a record proves nothing about the time before it was read.
type Unusable string

// The reasons. The zero value says that the record is usable.
const (
	// OtherGeneration means that the store came back from an older copy since: it may lack versions that were recorded.
	OtherGeneration Unusable = "otherGeneration"
	// Old means that no router that writes the record has run for a while, so that others may have.
	Old Unusable = "old"
	// Missing means that the store has no record, although it has had one or came back from an older copy.
	Missing Unusable = "missing"
	// OlderRouters means that routers that write no record may have run since the record was written.
	OlderRouters Unusable = "olderRouters"
	// Unreadable means that the record is not one that a router has written.
	Unreadable Unusable = "unreadable"
	// Early means that the record was written by a clock that is ahead of this one by more than clocks may differ.
	Early Unusable = "early"
)

// Check returns why the record, read from a store of the generation, proves nothing about the time before it was read.
func (r Record) Check(generation int64, now time.Time) (u Unusable) {
	age := now.Sub(time.UnixMilli(r.WrittenAt))
	switch {
	case r.Generation != generation:
		return OtherGeneration
	case age > RefreshInterval+maxClockDifference:
		return Old
	case age < -maxClockDifference:
		return Early
	}
	return ""
}

// Versions returns how many versions the record has.
func (r Record) Versions() (n int) {
	for _, versions := range r.AbsentMs {
		n += len(versions)
	}
	return n
}

// Covered returns for how long before the time of writing the record has all versions.
func (r Record) Covered() time.Duration { return time.Duration(r.CoveredMs) * time.Millisecond }

// maxCovered bounds what a record says it covers. It is longer than any stream is remembered.
const maxCovered = 10 * time.Minute

// Complete returns the record for a store in which nothing was ever recorded, because no router has run: it covers all streams.
func Complete(generation int64, now time.Time) Record {
	return Record{Generation: generation, WrittenAt: now.UnixMilli(), CoveredMs: maxCovered.Milliseconds()}
}

// SetCovered sets what the record covers.
func (r *Record) SetCovered(d time.Duration) { r.CoveredMs = min(max(d, 0), maxCovered).Milliseconds() }

// SetAbsent sets for how long no endpoint of the version has been listed. A version that has left for longer than any stream is
// remembered is left out.
func (r *Record) SetAbsent(service, version string, d time.Duration) {
	versions := r.AbsentMs[service]
	if d >= Retention {
		delete(versions, version)
		return
	}
	if versions == nil {
		versions = map[string]int64{}
		r.AbsentMs[service] = versions
	}
	versions[version] = d.Milliseconds()
}

// The record is written again each time that what it says of a time has grown by a step, so that little is lost with all
// routers. Most streams last shorter than fineUntil.
const (
	fineStep  = 5 * time.Second
	fineUntil = 30 * time.Second
)

// steps returns how many steps a time has.
func steps(ms int64) int64 {
	d := time.Duration(ms) * time.Millisecond
	if d < fineUntil {
		return int64(d / fineStep)
	}
	return int64(fineUntil/fineStep) - 1 + int64(min(d, Retention)/RefreshInterval)
}

// SaysMore reports whether the record should be written in place of the one before it, which this router read or wrote.
func (r Record) SaysMore(before Record) bool {
	written := time.UnixMilli(r.WrittenAt).Sub(time.UnixMilli(before.WrittenAt))
	if r.Generation != before.Generation || written >= RefreshInterval || steps(r.CoveredMs) != steps(before.CoveredMs) {
		return true
	}
	for service, versions := range before.AbsentMs {
		for version := range versions {
			if _, kept := r.AbsentMs[service][version]; !kept {
				return true
			}
		}
	}
	for service, versions := range r.AbsentMs {
		for version, ms := range versions {
			earlier, known := before.AbsentMs[service][version]
			if !known || (ms == 0) != (earlier == 0) || steps(ms) != steps(earlier) {
				return true
			}
		}
	}
	return false
}
