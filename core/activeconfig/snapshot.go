package activeconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"savoryfall/core/annotate"
	"savoryfall/core/releasenote"
)

// PartBytes bounds the snapshot data in one record, so that it fits the log's limit on record size.
const PartBytes = 256 << 10

type snapshot struct {
	Next    int64          `json:"next"`
	Current string         `json:"current"`
	Digest  string         `json:"digest"`
	Items   []snapshotItem `json:"items"`
	Notes   []snapshotNote `json:"notes"`
}

type snapshotItem struct {
	Kind      string         `json:"kind"`
	Name      string         `json:"name"`
	Values    map[string]any `json:"values,omitempty"`
	Offset    int64          `json:"offset"`
	Note      string         `json:"note"`
	Withdrawn bool           `json:"withdrawn,omitempty"`
}

type snapshotNote struct {
	ID      string `json:"id"`
	Offset  int64  `json:"offset"`
	Refusal string `json:"refusal,omitempty"`
}

// Snapshot encodes the configuration as JSON, to be decoded by Restore.
func (c *Configuration) Snapshot() (data []byte, err error) {
	defer annotate.Error(&err, "write snapshot of the configuration")
	s := snapshot{Next: c.next, Current: c.currentNote, Digest: c.Digest()}
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		e := c.items[key]
		s.Items = append(s.Items, snapshotItem{
			Kind: e.item.Kind(), Name: e.item.Name(), Values: e.item.Values(),
			Offset: e.offset, Note: e.noteID, Withdrawn: e.withdrawn,
		})
	}
	for _, id := range c.noteIDs {
		s.Notes = append(s.Notes, snapshotNote{ID: id, Offset: c.notes[id].offset, Refusal: c.notes[id].refusal})
	}
	return json.Marshal(s)
}

// Restore decodes a snapshot. It returns an error if the digest of the items differs from the one stored in the
// snapshot.
func Restore(data []byte) (c *Configuration, err error) {
	defer annotate.Error(&err, "read snapshot of the configuration")
	var s snapshot
	err = json.Unmarshal(data, &s)
	if err != nil {
		return nil, err
	}
	c = &Configuration{items: map[string]entry{}, notes: map[string]noteResult{}}
	c.initMaps()
	for _, i := range s.Items {
		c.restoreItem(i)
	}
	for _, n := range s.Notes {
		c.notes[n.ID] = noteResult{offset: n.Offset, refusal: n.Refusal}
		c.noteIDs = append(c.noteIDs, n.ID)
	}
	c.next, c.currentNote = s.Next, s.Current
	if c.Digest() != s.Digest {
		return nil, fmt.Errorf("digest mismatch: items have digest %s, snapshot states %s", c.Digest(), s.Digest)
	}
	return c, nil
}

func (c *Configuration) restoreItem(i snapshotItem) {
	e := entry{item: releasenote.NewItem(i.Kind, i.Name, i.Values), offset: i.Offset, noteID: i.Note, withdrawn: i.Withdrawn}
	c.items[e.item.Key()] = e
	if i.Withdrawn {
		return
	}
	c.digest += itemDigest(e.item)
	c.indexItem(e.item)
}

// snapshotPart is one record of a snapshot.
type snapshotPart struct {
	ID    string `json:"id"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SnapshotRecords splits a snapshot into stream records. The id must be unique to this attempt, so that the parts of
// concurrent or interrupted attempts are not mixed up.
func SnapshotRecords(id string, snapshot []byte) (records [][]byte, err error) {
	defer annotate.Error(&err, "split snapshot into records")
	chunks := slices.Collect(slices.Chunk(snapshot, PartBytes))
	for n, chunk := range chunks {
		raw, err := json.Marshal(snapshotPart{ID: id, Part: n, Parts: len(chunks), Data: chunk})
		if err != nil {
			return nil, err
		}
		data, err := json.Marshal(record{Kind: recordSnapshot, Snapshot: raw})
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	return records, nil
}

// SnapshotAssembler reassembles snapshots from stream records and keeps the newest complete one. The zero value is
// ready to use.
type SnapshotAssembler struct {
	parts  map[string][][]byte
	newest *Configuration
}

// Add processes the next record of the stream. Records that are not part of a valid snapshot are ignored.
func (a *SnapshotAssembler) Add(data []byte) {
	var envelope record
	var p snapshotPart
	if json.Unmarshal(data, &envelope) != nil || envelope.Kind != recordSnapshot || json.Unmarshal(envelope.Snapshot, &p) != nil {
		return
	}
	if a.parts == nil {
		a.parts = map[string][][]byte{}
	}
	if p.Part != len(a.parts[p.ID]) {
		return
	}
	a.parts[p.ID] = append(a.parts[p.ID], p.Data)
	if len(a.parts[p.ID]) < p.Parts {
		return
	}
	c, err := Restore(slices.Concat(a.parts[p.ID]...))
	delete(a.parts, p.ID)
	if err == nil && (a.newest == nil || c.next > a.newest.next) {
		a.newest = c
	}
}

// Newest returns the newest configuration found so far, or nil.
func (a *SnapshotAssembler) Newest() *Configuration { return a.newest }

// IsSnapshotPart reports whether the record is part of a snapshot.
func IsSnapshotPart(data []byte) bool {
	var r struct {
		Kind string `json:"kind"`
	}
	return json.Unmarshal(data, &r) == nil && r.Kind == recordSnapshot
}
