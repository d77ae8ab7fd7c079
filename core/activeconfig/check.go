package activeconfig

import (
	"fmt"

	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/releasenote"
	"savoryfall/core/version"
)

// Check returns the reason why the release note would be refused if it were published now, or "" if it would be
// accepted.
func (c *Configuration) Check(n *releasenote.Note) (refusal string) {
	if result, known := c.notes[n.ID()]; known {
		return fmt.Sprintf("the id %q is taken by the note at offset %d", n.ID(), result.offset)
	}
	baseOffset, refusal := c.baseOffset(n)
	if refusal != "" {
		return refusal
	}
	for _, check := range []func() string{
		func() string { return c.checkConflicts(n, baseOffset) },
		func() string { return c.checkExistence(n) },
		func() string { return c.checkReferences(n) },
	} {
		if refusal = check(); refusal != "" {
			return refusal
		}
	}
	return ""
}

const beforeFirst = -1

// baseOffset returns the log offset of the note named by basedOn, or beforeFirst for a note without one.
func (c *Configuration) baseOffset(n *releasenote.Note) (offset int64, refusal string) {
	if n.BasedOn() == "" {
		return beforeFirst, ""
	}
	result, known := c.notes[n.BasedOn()]
	if !known || result.refusal != "" {
		return 0, fmt.Sprintf("basedOn names %q, which is not an accepted note", n.BasedOn())
	}
	return result.offset, ""
}

// checkConflicts refuses a release note that touches an item which was changed after the note's base. Otherwise the
// later of two concurrent publishers would silently overwrite the earlier one.
func (c *Configuration) checkConflicts(n *releasenote.Note, base int64) string {
	for _, i := range n.Items() {
		if e, ok := c.items[i.Key()]; ok && e.offset > base {
			return fmt.Sprintf("%s was changed by note %q at offset %d, after the note that this one is based on",
				i.Key(), e.noteID, e.offset)
		}
	}
	return ""
}

func (c *Configuration) checkExistence(n *releasenote.Note) string {
	for _, i := range n.Added() {
		if c.inForce(i.Key()) {
			return i.Key() + " is added, but is in force already"
		}
	}
	for _, i := range append(append([]releasenote.Item{}, n.Changed()...), n.Withdrawn()...) {
		if !c.inForce(i.Key()) {
			return i.Key() + " is changed or withdrawn, but is not in force"
		}
	}
	return ""
}

func (c *Configuration) inForce(key string) bool {
	e, ok := c.items[key]
	return ok && !e.withdrawn
}

// nextItems tells which items will be in force after the note is applied.
type nextItems struct {
	c         *Configuration
	withdrawn map[string]bool
	put       map[string]bool
}

func (n nextItems) inForce(kind, name string) bool {
	key := kind + "/" + name
	return n.put[key] || n.c.inForce(key) && !n.withdrawn[key]
}

func (c *Configuration) checkReferences(n *releasenote.Note) string {
	next := nextItems{c: c, withdrawn: map[string]bool{}, put: map[string]bool{}}
	for _, i := range n.Withdrawn() {
		next.withdrawn[i.Key()] = true
	}
	puts := append(append([]releasenote.Item{}, n.Added()...), n.Changed()...)
	for _, i := range puts {
		next.put[i.Key()] = true
	}
	if refusal := checkDuplicates(puts); refusal != "" {
		return refusal
	}
	for _, i := range puts {
		if refusal := next.checkItem(i); refusal != "" {
			return refusal
		}
	}
	return next.checkDangling()
}

func (n nextItems) checkItem(i releasenote.Item) string {
	switch i.Kind() {
	case releasenote.KindEndpoints:
		return n.checkEndpoint(endpoint.Read(i.Table()))
	case releasenote.KindVersions, releasenote.KindAdapters:
		if v := version.Read(i.Table()); !n.inForce(releasenote.KindModels, v.Model()) {
			return fmt.Sprintf("%s is of the model %q, which is not in force", i.Key(), v.Model())
		}
	case releasenote.KindAccounts:
		a := account.Read(i.Table())
		if other, taken := n.c.accounts[a.KeyDigest()]; taken && other.Name() != a.Name() {
			return fmt.Sprintf("%s has the key of account %q", i.Key(), other.Name())
		}
	}
	return ""
}

func (n nextItems) checkEndpoint(e endpoint.Endpoint) string {
	for _, m := range e.Models() {
		if !n.inForce(releasenote.KindModels, m) {
			return fmt.Sprintf("endpoint %q serves the model %q, which is not in force", e.Name(), m)
		}
	}
	if e.Service() != "" && !n.inForce(releasenote.KindServices, e.Service()) {
		return fmt.Sprintf("endpoint %q belongs to the service %q, which is not in force", e.Name(), e.Service())
	}
	other, taken := n.c.nameByAddress[e.Address()]
	if taken && other != e.Name() && !n.withdrawn[releasenote.KindEndpoints+"/"+other] {
		return fmt.Sprintf("endpoint %q has the address %s of endpoint %q", e.Name(), e.Address(), other)
	}
	return ""
}

// checkDangling refuses to withdraw a model or service that a remaining endpoint refers to.
func (n nextItems) checkDangling() string {
	if len(n.withdrawn) == 0 {
		return ""
	}
	for _, e := range n.c.endpoints {
		key := releasenote.KindEndpoints + "/" + e.Name()
		if n.withdrawn[key] || n.put[key] {
			continue
		}
		for _, m := range e.Models() {
			if n.withdrawn[releasenote.KindModels+"/"+m] {
				return fmt.Sprintf("models/%s is withdrawn, but endpoint %q serves it", m, e.Name())
			}
		}
		if n.withdrawn[releasenote.KindServices+"/"+e.Service()] {
			return fmt.Sprintf("services/%s is withdrawn, but endpoint %q belongs to it", e.Service(), e.Name())
		}
	}
	return ""
}

// checkDuplicates refuses two items of one note that use the same address or the same API key.
func checkDuplicates(puts []releasenote.Item) string {
	seen := map[string]string{}
	for _, i := range puts {
		identity := ""
		switch i.Kind() {
		case releasenote.KindEndpoints:
			identity = "address " + endpoint.Read(i.Table()).Address()
		case releasenote.KindAccounts:
			identity = "key " + account.Read(i.Table()).KeyDigest()
		default:
			continue
		}
		if first, duplicate := seen[identity]; duplicate {
			return fmt.Sprintf("%s and %s have the same %s", first, i.Key(), identity)
		}
		seen[identity] = i.Key()
	}
	return ""
}
