package note

import (
	"fmt"

	"savoryfall/core/tomldoc"
)

// MaxBytes bounds a release note, so that one fits a record of the log with room to spare.
const MaxBytes = 1 << 20

// Note is one release note: what is added, changed and withdrawn, and the note that its author had read.
type Note struct {
	id        string
	basedOn   string
	text      string
	added     []Item
	changed   []Item
	withdrawn []Item
}

// ID names the note; a note published twice under one id is applied once.
func (n *Note) ID() string { return n.id }

// BasedOn is the id of the newest note in force when this one was written; empty for the first.
func (n *Note) BasedOn() string { return n.basedOn }

// Text is the TOML that the note was read from.
func (n *Note) Text() string { return n.text }

// Added are the items that must not be in force yet.
func (n *Note) Added() []Item { return n.added }

// Changed are the items that replace one in force.
func (n *Note) Changed() []Item { return n.changed }

// Withdrawn are the items, by kind and name only, that leave.
func (n *Note) Withdrawn() []Item { return n.withdrawn }

// Touched are all items of the note.
func (n *Note) Touched() []Item {
	all := append([]Item{}, n.added...)
	all = append(all, n.changed...)
	return append(all, n.withdrawn...)
}

// Parse reads and checks a note; the error is a tomldoc.Faults with every fault.
func Parse(file string, data []byte) (n *Note, err error) {
	if len(data) > MaxBytes {
		return nil, tomldoc.Faults{{
			File: file, Line: 1, Key: "size",
			Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
		}}
	}
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	n = read(doc.Root())
	n.text = string(data)
	err = doc.Err()
	if err != nil {
		return nil, err
	}
	return n, nil
}

func read(t *tomldoc.Table) (n *Note) {
	n = &Note{id: t.Required("id"), basedOn: t.Text("basedOn", "")}
	seen := map[string]string{}
	n.added = readItems(t.Table("added"), seen)
	n.changed = readItems(t.Table("changed"), seen)
	n.withdrawn = readWithdrawn(t.Table("withdrawn"), seen)
	if len(seen) == 0 {
		t.Fault("added", "an empty note", "at least one item that is added, changed or withdrawn")
	}
	if n.id != "" && n.id == n.basedOn {
		t.Fault("basedOn", "the note's own id", "the id of an earlier note")
	}
	return n
}

func readItems(t *tomldoc.Table, seen map[string]string) (items []Item) {
	for _, kind := range Kinds {
		for _, sub := range t.Tables(kind) {
			i := readItem(kind, sub)
			once(sub, "name", i, sub.Path(), seen)
			items = append(items, i)
		}
	}
	return items
}

func readWithdrawn(t *tomldoc.Table, seen map[string]string) (items []Item) {
	for _, kind := range Kinds {
		for _, name := range t.Texts(kind) {
			i := Item{kind: kind, name: name}
			once(t, kind, i, t.Path()+"."+kind, seen)
			items = append(items, i)
		}
	}
	return items
}

func once(t *tomldoc.Table, key string, i Item, place string, seen map[string]string) {
	if first, twice := seen[i.Key()]; twice {
		t.Fault(key, i.Key()+" again", "each item once; it stands first at "+first)
		return
	}
	seen[i.Key()] = place
}
