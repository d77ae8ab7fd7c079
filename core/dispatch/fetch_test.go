package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/dispatch"
)

// without returns the entries but the one with the id.
func without(entries []directory.Entry, id string) []directory.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e directory.Entry) bool { return e.ID == id })
}

// An engine that is replaced serves for some seconds after it has left the directory, and no other engine caches what
// it has read: its prompts must be fetched from it, and read again only when it is gone.
func TestPromptIsFetchedFromAnEngineThatLeaves(t *testing.T) {
	for _, when := range []struct {
		after time.Duration
		fetch bool
	}{{after: 0, fetch: true}, {after: 2500 * time.Millisecond, fetch: true}, {after: 4 * time.Second}} {
		d, entries := newDispatcher(4)
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 1)}, start)
		a.RecordFirstBytes(dispatch.Load{}, start)
		a.End(dispatch.Served, start)
		left := a.Endpoint()
		d.Update(without(entries, left.ID), start)
		next := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 2)}, start.Add(when.after))
		assert.Assert(t, next.Endpoint().ID != left.ID)
		assert.Equal(t, next.FetchSource() == left.Address, when.fetch, "%s after it left", when.after)
	}
}

// A lost engine leaves the directory too. Nothing may be fetched from an engine that did not answer, nor from one that
// another process has replaced at its address.
func TestNothingIsFetchedFromALostEngine(t *testing.T) {
	for name, lose := range map[string]func(d *dispatch.Dispatcher, a *dispatch.Attempt){
		"silent":   func(_ *dispatch.Dispatcher, a *dispatch.Attempt) { a.End(dispatch.Silent, start) },
		"replaced": func(d *dispatch.Dispatcher, a *dispatch.Attempt) { d.MarkReplaced(a.Endpoint().ID) },
	} {
		d, entries := newDispatcher(4)
		a := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 1)}, start)
		lose(d, a)
		d.Update(without(entries, a.Endpoint().ID), start)
		next := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 2)}, start)
		assert.Equal(t, next.FetchSource(), "", name)
	}
}

// An engine is dropped from the directory by mistake and comes back. What it has cached must still be known, and it
// must not be its own fetch source.
func TestRelistedEngineKeepsItsCacheRecord(t *testing.T) {
	d, entries := newDispatcher(4)
	a := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 1)}, start)
	a.End(dispatch.Served, start)
	d.Update(without(entries, a.Endpoint().ID), start)
	d.Update(entries, start)
	next := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 2)}, start)
	assert.Equal(t, next.Endpoint().ID, a.Endpoint().ID)
	assert.Equal(t, next.MissingTokens(), 300)
	assert.Equal(t, next.FetchSource(), "")
}

// The address of an engine that has left is given to another endpoint, which caches nothing of what the engine had.
func TestNothingIsFetchedFromAnAddressUsedAgain(t *testing.T) {
	d, entries := newDispatcher(4)
	a := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 1)}, start)
	a.End(dispatch.Served, start)
	others := without(entries, a.Endpoint().ID)
	d.Update(others, start)
	d.Update(append(others, directory.Entry{ID: "new", Service: "other", Address: a.Endpoint().Address}), start)
	next := choose(t, d, dispatch.Query{Service: models, Prompt: document(1, 2)}, start)
	assert.Equal(t, next.FetchSource(), "")
}
