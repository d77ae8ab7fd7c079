package releasenote

import (
	"fmt"

	"savoryfall/core/tomldoc"
)

// MaxBytes bounds the size of a release note, so that it fits into a log record with room to spare.
const MaxBytes = 1 << 20

// Note is a release note. It lists the items to add, change and withdraw, and names the note that it is based on.
type Note struct {
	id        string
	basedOn   string
	text      string
	added     []Item
	changed   []Item
	withdrawn []Item
}

// ID returns the id of the note. A note that is published twice under the same id is applied once.
func (n *Note) ID() string { return n.id }

// BasedOn returns the id of the newest note that was in force when this one was written. It is empty for the first
// note.
func (n *Note) BasedOn() string { return n.basedOn }

// Text returns the TOML source of the note.
func (n *Note) Text() string { return n.text }

// Added returns the items to add. They must not be in force yet.
func (n *Note) Added() []Item { return n.added }

// Changed returns the items that replace one in force.
func (n *Note) Changed() []Item { return n.changed }

// Withdrawn returns the items to remove. They have a kind and a name only.
func (n *Note) Withdrawn() []Item { return n.withdrawn }

// Items returns all items of the note.
func (n *Note) Items() []Item {
	all := append([]Item{}, n.added...)
	all = append(all, n.changed...)
	return append(all, n.withdrawn...)
}

// Parse parses and validates a release note. The error is a tomldoc.Errors that lists all errors.
func Parse(file string, data []byte) (n *Note, err error) {
	if len(data) > MaxBytes {
		return nil, tomldoc.Errors{{
			File: file, Line: 1, Key: "size",
			Got: fmt.Sprintf("%d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", MaxBytes),
		}}
	}
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	n = readNote(doc.Root())
	n.text = string(data)
	err = doc.Err()
	if err != nil {
		return nil, err
	}
	return n, nil
}

func readNote(t *tomldoc.Table) (n *Note) {
	n = &Note{id: t.RequiredString("id"), basedOn: t.String("basedOn", "")}
	seen := map[string]string{}
	n.added = readItems(t.Table("added"), seen)
	n.changed = readItems(t.Table("changed"), seen)
	n.withdrawn = readWithdrawn(t.Table("withdrawn"), seen)
	if len(seen) == 0 {
		t.AddError("added", "an empty note", "at least one item that is added, changed or withdrawn")
	}
	if n.id != "" && n.id == n.basedOn {
		t.AddError("basedOn", "the note's own id", "the id of an earlier note")
	}
	return n
}

func readItems(t *tomldoc.Table, seen map[string]string) (items []Item) {
	for _, kind := range Kinds {
		for _, table := range t.Tables(kind) {
			i := readItem(kind, table)
			checkDuplicate(table, "name", i, table.Path(), seen)
			items = append(items, i)
		}
	}
	return items
}

func readWithdrawn(t *tomldoc.Table, seen map[string]string) (items []Item) {
	for _, kind := range Kinds {
		for _, name := range t.Strings(kind) {
			i := Item{kind: kind, name: name}
			checkDuplicate(t, kind, i, t.Path()+"."+kind, seen)
			items = append(items, i)
		}
	}
	return items
}

func checkDuplicate(t *tomldoc.Table, key string, i Item, location string, seen map[string]string) {
	if first, duplicate := seen[i.Key()]; duplicate {
		t.AddError(key, i.Key()+" a second time", "each item only once; it first appears at "+first)
		return
	}
	seen[i.Key()] = location
}
