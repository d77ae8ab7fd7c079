package inforce

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"savoryfall/core/annotate"
	"savoryfall/core/note"
)

// PartBytes bounds the data in one record of a snapshot, so that the log takes it like any other record.
const PartBytes = 256 << 10

type snapshot struct {
	Next    int64           `json:"next"`
	Current string          `json:"current"`
	Digest  string          `json:"digest"`
	Items   []snapshotItem  `json:"items"`
	Notes   []snapshotNotes `json:"notes"`
}

type snapshotItem struct {
	Kind      string         `json:"kind"`
	Name      string         `json:"name"`
	Values    map[string]any `json:"values,omitempty"`
	Offset    int64          `json:"offset"`
	Note      string         `json:"note"`
	Withdrawn bool           `json:"withdrawn,omitempty"`
}

type snapshotNotes struct {
	ID      string `json:"id"`
	Offset  int64  `json:"offset"`
	Refusal string `json:"refusal,omitempty"`
}

// Snapshot is the configuration as JSON, from which Restore makes it again.
func (c *Configuration) Snapshot() (data []byte, err error) {
	defer annotate.Error(&err, "write snapshot of the configuration")
	s := snapshot{Next: c.next, Current: c.current, Digest: c.Digest()}
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		e := c.items[key]
		s.Items = append(s.Items, snapshotItem{
			Kind: e.item.Kind(), Name: e.item.Name(), Values: e.item.Values(),
			Offset: e.offset, Note: e.noteID, Withdrawn: e.withdrawn,
		})
	}
	for _, id := range c.noteOrder {
		s.Notes = append(s.Notes, snapshotNotes{ID: id, Offset: c.notes[id].offset, Refusal: c.notes[id].refusal})
	}
	return json.Marshal(s)
}

// Restore makes the configuration of a snapshot; the error says when its items do not have the digest it states.
func Restore(data []byte) (c *Configuration, err error) {
	defer annotate.Error(&err, "read snapshot of the configuration")
	var s snapshot
	err = json.Unmarshal(data, &s)
	if err != nil {
		return nil, err
	}
	c = &Configuration{items: map[string]entry{}, notes: map[string]verdict{}}
	c.makeMaps()
	for _, i := range s.Items {
		c.restoreItem(i)
	}
	for _, n := range s.Notes {
		c.notes[n.ID] = verdict{offset: n.Offset, refusal: n.Refusal}
		c.noteOrder = append(c.noteOrder, n.ID)
	}
	c.next, c.current = s.Next, s.Current
	if c.Digest() != s.Digest {
		return nil, fmt.Errorf("items have digest %s, the snapshot states %s", c.Digest(), s.Digest)
	}
	return c, nil
}

func (c *Configuration) restoreItem(i snapshotItem) {
	e := entry{item: note.NewItem(i.Kind, i.Name, i.Values), offset: i.Offset, noteID: i.Note, withdrawn: i.Withdrawn}
	c.items[e.item.Key()] = e
	if i.Withdrawn {
		return
	}
	c.digest += digestOf(e.item)
	c.index(e.item)
}

// part is one record of a snapshot.
type part struct {
	ID    string `json:"id"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SnapshotRecords are the records that carry the snapshot on the stream; id tells attempts to write one apart.
func SnapshotRecords(id string, snapshot []byte) (records [][]byte, err error) {
	defer annotate.Error(&err, "cut snapshot into records")
	chunks := slices.Collect(slices.Chunk(snapshot, PartBytes))
	for n, chunk := range chunks {
		raw, err := json.Marshal(part{ID: id, Part: n, Parts: len(chunks), Data: chunk})
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

// Recovery finds the newest whole snapshot among the records that the log still keeps; the zero value has none.
type Recovery struct {
	partial map[string][][]byte
	best    *Configuration
}

// Read takes the next record of the stream, and ignores what is not part of a sound snapshot.
func (r *Recovery) Read(data []byte) {
	var rec record
	var p part
	if json.Unmarshal(data, &rec) != nil || rec.Kind != recordSnapshot || json.Unmarshal(rec.Snapshot, &p) != nil {
		return
	}
	if r.partial == nil {
		r.partial = map[string][][]byte{}
	}
	if p.Part != len(r.partial[p.ID]) {
		return
	}
	r.partial[p.ID] = append(r.partial[p.ID], p.Data)
	if len(r.partial[p.ID]) < p.Parts {
		return
	}
	c, err := Restore(slices.Concat(r.partial[p.ID]...))
	delete(r.partial, p.ID)
	if err == nil && (r.best == nil || c.next > r.best.next) {
		r.best = c
	}
}

// Best is the newest configuration that was found, or nil.
func (r *Recovery) Best() *Configuration { return r.best }

// IsSnapshot tells whether the record is part of a snapshot.
func IsSnapshot(data []byte) bool {
	var r struct {
		Kind string `json:"kind"`
	}
	return json.Unmarshal(data, &r) == nil && r.Kind == recordSnapshot
}
