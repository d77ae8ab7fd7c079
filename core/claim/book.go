package claim

import (
	"encoding/json"
	"time"

	"savoryfall/core/outcome"
)

// Book knows the claims within the window; every router that has read as far holds an equal one.
// The zero value remembers nothing; make one with NewBook.
type Book struct {
	window time.Duration
	next   int64
	claims map[id]*claim
	order  []aged
	from   time.Time
}

type id struct{ account, key string }

type aged struct {
	id id
	at time.Time
}

type claim struct {
	attempt string
	digest  string
	offset  int64
	at      time.Time
	settled bool
	result  Record
}

// Kinds of records on the stream of claims.
const (
	KindClaim   = "claim"
	KindOutcome = "outcome"
)

// Record is one claim or one outcome; one record of the log holds a list of them.
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

// Encode writes records as the data of one record of the log.
func Encode(records []Record) []byte {
	data, err := json.Marshal(records)
	if err != nil {
		panic("claim: records that JSON cannot hold: " + err.Error())
	}
	return data
}

// NewBook remembers keys for the window, measured between the times that the log gave its records.
func NewBook(window time.Duration) *Book {
	return &Book{window: window, claims: map[id]*claim{}}
}

// Next is the offset of the first record that is not applied yet.
func (b *Book) Next() int64 { return b.next }

// SkipTo starts at a later offset, because the log has trimmed the earlier ones; keys may have been claimed there.
func (b *Book) SkipTo(offset int64, from time.Time) {
	b.next = offset
	b.from = from
}

// Covers tells whether every claim of the window before now was read.
func (b *Book) Covers(now time.Time) bool {
	return b.from.IsZero() || now.Sub(b.from) >= b.window
}

// From is the time since which every claim was read; zero means since the first.
func (b *Book) From() time.Time { return b.from }

// Apply takes the next record of the stream; one already applied changes nothing.
func (b *Book) Apply(offset int64, at time.Time, data []byte) {
	if offset < b.next {
		return
	}
	b.next = offset + 1
	b.expire(at)
	var records []Record
	if json.Unmarshal(data, &records) != nil {
		return
	}
	for _, r := range records {
		b.apply(offset, at, r)
	}
}

func (b *Book) expire(now time.Time) {
	for len(b.order) > 0 && now.Sub(b.order[0].at) > b.window {
		old := b.order[0]
		b.order = b.order[1:]
		if c := b.claims[old.id]; c != nil && c.at.Equal(old.at) {
			delete(b.claims, old.id)
		}
	}
}

func (b *Book) apply(offset int64, at time.Time, r Record) {
	key := id{account: r.Account, key: r.Key}
	c := b.claims[key]
	switch r.Kind {
	case KindClaim:
		// An attempt that has given its key back does not take it again: its claim was appended twice, because an answer
		// was lost, and the second one landed late.
		if c != nil && (!c.free() || c.attempt == r.Attempt) {
			return
		}
		b.claims[key] = &claim{attempt: r.Attempt, digest: r.Digest, offset: offset, at: at}
		b.order = append(b.order, aged{id: key, at: at})
	case KindOutcome:
		if c == nil || c.attempt != r.Attempt || c.settled {
			return
		}
		c.settled, c.result = true, r
	}
}

// free tells whether the key may be claimed anew: only when its call is known not to have run. An open claim stays
// taken even when its writer is gone, because nobody knows whether it had sent the call.
func (c *claim) free() bool {
	return c.settled && c.result.Outcome == outcome.NotRun
}

// Standing is what the book says of one attempt's claim.
type Standing string

// The standings of a claim.
const (
	// Free means that nobody owns the key.
	Free Standing = "free"
	// Owner means that the attempt may send the call, once.
	Owner Standing = "owner"
	// Open means that another attempt owns the key, and its outcome is not known.
	Open Standing = "open"
	// Settled means that the call has run, or may have; the record says what is known.
	Settled Standing = "settled"
	// Mismatch means that the key was claimed for another request.
	Mismatch Standing = "mismatch"
)

// Stand tells how an attempt with that digest stands to the key, and the recorded outcome when there is one.
func (b *Book) Stand(account, key, attempt, digest string) (s Standing, result Record) {
	c := b.claims[id{account: account, key: key}]
	switch {
	case c == nil || c.free() && c.attempt != attempt:
		return Free, Record{}
	case c.digest != digest:
		return Mismatch, Record{}
	case c.settled:
		return Settled, c.result
	case c.attempt == attempt:
		return Owner, Record{}
	}
	return Open, Record{}
}

// Len is how many keys are remembered.
func (b *Book) Len() int { return len(b.claims) }

// Window is how long a key is remembered.
func (b *Book) Window() time.Duration { return b.window }
