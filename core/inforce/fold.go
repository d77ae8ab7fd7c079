package inforce

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/note"
	"savoryfall/core/service"
	"savoryfall/core/version"
)

// MaxNotes bounds how many verdicts on notes are remembered; at 13,000 notes a day it is more than a day.
const MaxNotes = 16384

// Kinds of records on the stream of the configuration.
const (
	recordNote     = "releaseNote"
	recordSnapshot = "snapshot"
)

type record struct {
	Kind     string          `json:"kind"`
	Text     string          `json:"text,omitempty"`
	Snapshot json.RawMessage `json:"snapshot,omitempty"`
}

// NoteRecord is the record that publishes the text of a release note.
func NoteRecord(text string) []byte {
	data, err := json.Marshal(record{Kind: recordNote, Text: text})
	if err != nil {
		panic("inforce: a string that JSON cannot hold: " + err.Error())
	}
	return data
}

// Apply returns the configuration after the record at the offset, by the same rule on every router.
// A record already applied changes nothing; a gap is an error, because a missed note could be the one that
// a later note conflicts with, and two routers would then disagree for good.
func (c *Configuration) Apply(offset int64, data []byte) (next *Configuration, err error) {
	if offset < c.next {
		return c, nil
	}
	if offset > c.next {
		return c, GapError{Want: c.next, Got: offset}
	}
	next = c.clone()
	next.next = offset + 1
	var r record
	if json.Unmarshal(data, &r) != nil || r.Kind != recordNote {
		return next, nil
	}
	n, err := note.Parse("note", []byte(r.Text))
	if err != nil {
		return next, nil
	}
	next.fold(offset, n)
	return next, nil
}

// GapError says that records between Want and Got were not seen.
type GapError struct{ Want, Got int64 }

func (e GapError) Error() string {
	return fmt.Sprintf("gap on the configuration stream: want offset %d, got %d", e.Want, e.Got)
}

func (c *Configuration) clone() *Configuration {
	next := *c
	return &next
}

// fold gives a verdict on the note once; a retry of a publisher that lost the answer finds the first verdict.
func (c *Configuration) fold(offset int64, n *note.Note) {
	if _, met := c.notes[n.ID()]; met {
		return
	}
	refusal := c.Check(n)
	c.remember(n.ID(), verdict{offset: offset, refusal: refusal})
	if refusal != "" {
		return
	}
	c.own(n)
	for _, i := range append(slices.Clone(n.Added()), n.Changed()...) {
		c.put(offset, n.ID(), i)
	}
	for _, i := range n.Withdrawn() {
		c.withdraw(offset, n.ID(), i)
	}
	c.current = n.ID()
}

// own copies the maps that the note touches, because older configurations are still being read.
func (c *Configuration) own(n *note.Note) {
	c.items = cloned(c.items)
	touched := map[string]bool{}
	for _, i := range n.Touched() {
		touched[i.Kind()] = true
	}
	c.ownKinds(touched)
}

func (c *Configuration) ownKinds(touched map[string]bool) {
	if touched[note.KindModels] {
		c.models = maps.Clone(c.models)
	}
	if touched[note.KindAccounts] {
		c.accounts = maps.Clone(c.accounts)
	}
	if touched[note.KindServices] {
		c.services = maps.Clone(c.services)
	}
	if touched[note.KindVersions] || touched[note.KindAdapters] {
		c.versions = maps.Clone(c.versions)
	}
	if touched[note.KindEndpoints] {
		c.endpoints = maps.Clone(c.endpoints)
		c.addresses = maps.Clone(c.addresses)
	}
	c.makeMaps()
}

func (c *Configuration) makeMaps() {
	if c.models == nil {
		c.models = map[string]bool{}
	}
	if c.accounts == nil {
		c.accounts = map[string]account.Account{}
	}
	if c.services == nil {
		c.services = map[string]service.Service{}
	}
	if c.versions == nil {
		c.versions = map[string]version.Version{}
	}
	if c.endpoints == nil {
		c.endpoints = map[string]endpoint.Endpoint{}
		c.addresses = map[string]string{}
	}
}

func cloned(m map[string]entry) map[string]entry {
	if m == nil {
		return map[string]entry{}
	}
	return maps.Clone(m)
}

func (c *Configuration) remember(id string, v verdict) {
	c.notes = maps.Clone(c.notes)
	if c.notes == nil {
		c.notes = map[string]verdict{}
	}
	c.notes[id] = v
	c.noteOrder = append(slices.Clip(c.noteOrder), id)
	if len(c.noteOrder) > MaxNotes {
		delete(c.notes, c.noteOrder[0])
		c.noteOrder = c.noteOrder[1:]
	}
}

func (c *Configuration) put(offset int64, noteID string, i note.Item) {
	c.remove(i.Key())
	c.items[i.Key()] = entry{item: i, offset: offset, noteID: noteID}
	c.digest += digestOf(i)
	c.index(i)
}

func (c *Configuration) withdraw(offset int64, noteID string, i note.Item) {
	c.remove(i.Key())
	c.items[i.Key()] = entry{item: note.NewItem(i.Kind(), i.Name(), nil), offset: offset, noteID: noteID, withdrawn: true}
}

func (c *Configuration) remove(key string) {
	old, ok := c.items[key]
	if !ok || old.withdrawn {
		return
	}
	c.digest -= digestOf(old.item)
	switch old.item.Kind() {
	case note.KindModels:
		delete(c.models, old.item.Name())
	case note.KindAccounts:
		delete(c.accounts, account.Read(old.item.Table()).KeyDigest())
	case note.KindServices:
		delete(c.services, old.item.Name())
	case note.KindVersions, note.KindAdapters:
		delete(c.versions, old.item.Key())
	case note.KindEndpoints:
		delete(c.addresses, c.endpoints[old.item.Name()].Address())
		delete(c.endpoints, old.item.Name())
	}
}

func (c *Configuration) index(i note.Item) {
	switch i.Kind() {
	case note.KindModels:
		c.models[i.Name()] = true
	case note.KindAccounts:
		a := account.Read(i.Table())
		c.accounts[a.KeyDigest()] = a
	case note.KindServices:
		c.services[i.Name()] = service.Read(i.Table())
	case note.KindVersions:
		c.versions[i.Key()] = version.Read(i.Table())
	case note.KindAdapters:
		c.versions[i.Key()] = version.ReadAdapter(i.Table())
	case note.KindEndpoints:
		e := endpoint.Read(i.Table())
		c.endpoints[i.Name()] = e
		c.addresses[e.Address()] = e.Name()
	}
}
