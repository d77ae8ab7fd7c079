package activeconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/releasenote"
	"savoryfall/core/service"
	"savoryfall/core/version"
)

// MaxNotes bounds the number of release notes whose results are remembered; at 13,000 notes a day it covers more than a
// day.
const MaxNotes = 16384

// Kinds of records on the configuration stream.
const (
	recordNote     = "releaseNote"
	recordSnapshot = "snapshot"
)

type record struct {
	Kind     string          `json:"kind"`
	Text     string          `json:"text,omitempty"`
	Snapshot json.RawMessage `json:"snapshot,omitempty"`
}

// NoteRecord encodes the stream record that publishes a release note.
func NoteRecord(text string) []byte {
	data, err := json.Marshal(record{Kind: recordNote, Text: text})
	if err != nil {
		panic("activeconfig: cannot encode release note as JSON: " + err.Error())
	}
	return data
}

// Apply returns the configuration after the record at the given offset; it is deterministic, so that all routers agree.
// A record that was already applied changes nothing. A gap is an error: the missed release note could conflict with a
// later one, and this router would then differ from the others permanently.
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
	n, err := releasenote.Parse("note", []byte(r.Text))
	if err != nil {
		return next, nil
	}
	next.applyNote(offset, n)
	return next, nil
}

// GapError reports that the records from Want up to Got were not received.
type GapError struct{ Want, Got int64 }

func (e GapError) Error() string {
	return fmt.Sprintf("gap in the configuration stream: want offset %d, got %d", e.Want, e.Got)
}

func (c *Configuration) clone() *Configuration {
	next := *c
	return &next
}

// applyNote checks and applies a release note. A note id is handled only once: when a publisher retries because it lost
// the response, the first result stands.
func (c *Configuration) applyNote(offset int64, n *releasenote.Note) {
	if _, known := c.notes[n.ID()]; known {
		return
	}
	refusal := c.Check(n)
	c.rememberResult(n.ID(), noteResult{offset: offset, refusal: refusal})
	if refusal != "" {
		return
	}
	c.cloneMapsFor(n)
	for _, i := range append(slices.Clone(n.Added()), n.Changed()...) {
		c.putItem(offset, n.ID(), i)
	}
	for _, i := range n.Withdrawn() {
		c.withdrawItem(offset, n.ID(), i)
	}
	c.currentNote = n.ID()
}

// cloneMapsFor copies the maps that the note touches, because older configurations that share them may still be in use.
func (c *Configuration) cloneMapsFor(n *releasenote.Note) {
	c.items = cloneEntries(c.items)
	kinds := map[string]bool{}
	for _, i := range n.Items() {
		kinds[i.Kind()] = true
	}
	c.cloneMapsOfKinds(kinds)
}

func (c *Configuration) cloneMapsOfKinds(kinds map[string]bool) {
	if kinds[releasenote.KindModels] {
		c.models = maps.Clone(c.models)
	}
	if kinds[releasenote.KindAccounts] {
		c.accounts = maps.Clone(c.accounts)
	}
	if kinds[releasenote.KindServices] {
		c.services = maps.Clone(c.services)
	}
	if kinds[releasenote.KindVersions] || kinds[releasenote.KindAdapters] {
		c.versions = maps.Clone(c.versions)
	}
	if kinds[releasenote.KindEndpoints] {
		c.endpoints = maps.Clone(c.endpoints)
		c.nameByAddress = maps.Clone(c.nameByAddress)
	}
	c.initMaps()
}

func (c *Configuration) initMaps() {
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
		c.nameByAddress = map[string]string{}
	}
}

func cloneEntries(m map[string]entry) map[string]entry {
	if m == nil {
		return map[string]entry{}
	}
	return maps.Clone(m)
}

func (c *Configuration) rememberResult(id string, result noteResult) {
	c.notes = maps.Clone(c.notes)
	if c.notes == nil {
		c.notes = map[string]noteResult{}
	}
	c.notes[id] = result
	c.noteIDs = append(slices.Clip(c.noteIDs), id)
	if len(c.noteIDs) > MaxNotes {
		delete(c.notes, c.noteIDs[0])
		c.noteIDs = c.noteIDs[1:]
	}
}

func (c *Configuration) putItem(offset int64, noteID string, i releasenote.Item) {
	c.removeItem(i.Key())
	c.items[i.Key()] = entry{item: i, offset: offset, noteID: noteID}
	c.digest += itemDigest(i)
	c.indexItem(i)
}

func (c *Configuration) withdrawItem(offset int64, noteID string, i releasenote.Item) {
	c.removeItem(i.Key())
	c.items[i.Key()] = entry{item: releasenote.NewItem(i.Kind(), i.Name(), nil), offset: offset, noteID: noteID, withdrawn: true}
}

func (c *Configuration) removeItem(key string) {
	old, ok := c.items[key]
	if !ok || old.withdrawn {
		return
	}
	c.digest -= itemDigest(old.item)
	switch old.item.Kind() {
	case releasenote.KindModels:
		delete(c.models, old.item.Name())
	case releasenote.KindAccounts:
		delete(c.accounts, account.Read(old.item.Table()).KeyDigest())
	case releasenote.KindServices:
		delete(c.services, old.item.Name())
	case releasenote.KindVersions, releasenote.KindAdapters:
		delete(c.versions, old.item.Key())
	case releasenote.KindEndpoints:
		delete(c.nameByAddress, c.endpoints[old.item.Name()].Address())
		delete(c.endpoints, old.item.Name())
	}
}

func (c *Configuration) indexItem(i releasenote.Item) {
	switch i.Kind() {
	case releasenote.KindModels:
		c.models[i.Name()] = true
	case releasenote.KindAccounts:
		a := account.Read(i.Table())
		c.accounts[a.KeyDigest()] = a
	case releasenote.KindServices:
		c.services[i.Name()] = service.Read(i.Table())
	case releasenote.KindVersions:
		c.versions[i.Key()] = version.Read(i.Table())
	case releasenote.KindAdapters:
		c.versions[i.Key()] = version.ReadAdapter(i.Table())
	case releasenote.KindEndpoints:
		e := endpoint.Read(i.Table())
		c.endpoints[i.Name()] = e
		c.nameByAddress[e.Address()] = e.Name()
	}
}
