package claim

import (
	"encoding/json"
	"time"

	"savoryfall/core/outcome"
)

// Table holds the claims made within the window, as read from the claim stream. All routers that have read up to the
// same offset hold the same claims. The zero value has no window; create one with NewTable.
type Table struct {
	window        time.Duration
	next          int64
	claims        map[claimID]*claim
	insertions    []insertion
	completeSince time.Time
}

type claimID struct{ account, key string }

type insertion struct {
	claimID claimID
	at      time.Time
}

type claim struct {
	attempt string
	digest  string
	offset  int64
	at      time.Time
	settled bool
	result  Record
}

// Kinds of records in the claim stream.
const (
	KindClaim   = "claim"
	KindOutcome = "outcome"
)

// Record is one claim or one outcome. A log record contains a list of them.
type Record struct {
	Kind        string          `json:"kind"`
	Account     string          `json:"account"`
	Key         string          `json:"key"`
	Attempt     string          `json:"attempt"`
	Digest      string          `json:"digest,omitempty"`
	Outcome     outcome.Outcome `json:"outcome,omitempty"`
	Status      int             `json:"status,omitempty"`
	ContentType string          `json:"contentType,omitempty"`
	Body        []byte          `json:"body,omitempty"`
}

// Encode encodes records as the data of one log record.
func Encode(records []Record) []byte {
	data, err := json.Marshal(records)
	if err != nil {
		panic("claim: encode records as JSON: " + err.Error())
	}
	return data
}

// NewTable returns a table that keeps keys for the window, measured by the timestamps that the log assigns to its
// records.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, claims: map[claimID]*claim{}}
}

// Next returns the offset of the first record that has not been applied.
func (t *Table) Next() int64 { return t.next }

// SkipTo continues at a later offset because the log has trimmed the records before it. Keys may have been claimed in
// the skipped records, so the table is complete only from the given time on.
func (t *Table) SkipTo(offset int64, completeSince time.Time) {
	t.next = offset
	t.completeSince = completeSince
}

// CompleteAt reports whether every claim within the window before now has been read.
func (t *Table) CompleteAt(now time.Time) bool {
	return t.completeSince.IsZero() || now.Sub(t.completeSince) >= t.window
}

// CompleteSince returns the time since which every claim has been read; zero means since the first record.
func (t *Table) CompleteSince() time.Time { return t.completeSince }

// Apply applies the next record of the stream; a record that was already applied is ignored.
func (t *Table) Apply(offset int64, at time.Time, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.expire(at)
	var records []Record
	if json.Unmarshal(data, &records) != nil {
		return
	}
	for _, r := range records {
		t.apply(offset, at, r)
	}
}

func (t *Table) expire(now time.Time) {
	for len(t.insertions) > 0 && now.Sub(t.insertions[0].at) > t.window {
		oldest := t.insertions[0]
		t.insertions = t.insertions[1:]
		if c := t.claims[oldest.claimID]; c != nil && c.at.Equal(oldest.at) {
			delete(t.claims, oldest.claimID)
		}
	}
}

func (t *Table) apply(offset int64, at time.Time, r Record) {
	key := claimID{account: r.Account, key: r.Key}
	c := t.claims[key]
	switch r.Kind {
	case KindClaim:
		// An attempt that has released its key must not claim it again. Such a claim is a duplicate: its append was
		// repeated because the first response was lost, and the second copy reached the log late.
		if c != nil && (!c.claimable() || c.attempt == r.Attempt) {
			return
		}
		t.claims[key] = &claim{attempt: r.Attempt, digest: r.Digest, offset: offset, at: at}
		t.insertions = append(t.insertions, insertion{claimID: key, at: at})
	case KindOutcome:
		if c == nil || c.attempt != r.Attempt || c.settled {
			return
		}
		c.settled, c.result = true, r
	}
}

// claimable reports whether the key may be claimed again, which requires that its call is known not to have run. An
// unsettled claim stays taken even if its writer is gone, because it is unknown whether the call was sent.
func (c *claim) claimable() bool {
	return c.settled && c.result.Outcome == outcome.NotRun
}

// Ownership is the status of one attempt's claim.
type Ownership string

// The statuses of a claim.
const (
	// Unclaimed means that the key is not claimed.
	Unclaimed Ownership = "free"
	// Owner means that the attempt may send the call, once.
	Owner Ownership = "owner"
	// Pending means that another attempt owns the key and its outcome is not known yet.
	Pending Ownership = "open"
	// Settled means that the call has run or may have run; the record holds what is known.
	Settled Ownership = "settled"
	// Mismatch means that the key was claimed for a different request.
	Mismatch Ownership = "mismatch"
)

// OwnershipOf returns the status of an attempt's claim to the key, for a request with the given digest, and the
// recorded outcome if there is one.
func (t *Table) OwnershipOf(account, key, attempt, digest string) (s Ownership, result Record) {
	c := t.claims[claimID{account: account, key: key}]
	switch {
	case c == nil || c.claimable() && c.attempt != attempt:
		return Unclaimed, Record{}
	case c.digest != digest:
		return Mismatch, Record{}
	case c.settled:
		return Settled, c.result
	case c.attempt == attempt:
		return Owner, Record{}
	}
	return Pending, Record{}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.claims) }

// Window returns how long a key is kept.
func (t *Table) Window() time.Duration { return t.window }
