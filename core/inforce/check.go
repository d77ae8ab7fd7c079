package inforce

import (
	"fmt"

	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/note"
	"savoryfall/core/version"
)

// Check tells why the note would be refused now; empty means that it would be accepted.
func (c *Configuration) Check(n *note.Note) (refusal string) {
	if v, met := c.notes[n.ID()]; met {
		return fmt.Sprintf("the id %q is taken by the note at offset %d", n.ID(), v.offset)
	}
	base, refusal := c.base(n)
	if refusal != "" {
		return refusal
	}
	for _, check := range []func() string{
		func() string { return c.checkBase(n, base) },
		func() string { return c.checkPresence(n) },
		func() string { return c.checkReferences(n) },
	} {
		if refusal = check(); refusal != "" {
			return refusal
		}
	}
	return ""
}

const beforeFirst = -1

// base is the offset of the note that this one builds on.
func (c *Configuration) base(n *note.Note) (offset int64, refusal string) {
	if n.BasedOn() == "" {
		return beforeFirst, ""
	}
	v, met := c.notes[n.BasedOn()]
	if !met || v.refusal != "" {
		return 0, fmt.Sprintf("basedOn names %q, which is not an accepted note", n.BasedOn())
	}
	return v.offset, ""
}

// checkBase refuses a note whose author had not read the newest change of an item that the note touches.
// Without it the later of two racing operators would silently undo the earlier one.
func (c *Configuration) checkBase(n *note.Note, base int64) string {
	for _, i := range n.Touched() {
		if e, ok := c.items[i.Key()]; ok && e.offset > base {
			return fmt.Sprintf("%s was changed by note %q at offset %d, after the note that this one is based on",
				i.Key(), e.noteID, e.offset)
		}
	}
	return ""
}

func (c *Configuration) checkPresence(n *note.Note) string {
	for _, i := range n.Added() {
		if c.has(i.Key()) {
			return i.Key() + " is added, but is in force already"
		}
	}
	for _, i := range append(append([]note.Item{}, n.Changed()...), n.Withdrawn()...) {
		if !c.has(i.Key()) {
			return i.Key() + " is changed or withdrawn, but is not in force"
		}
	}
	return ""
}

func (c *Configuration) has(key string) bool {
	e, ok := c.items[key]
	return ok && !e.withdrawn
}

// references answers what will be in force once the note is applied.
type references struct {
	c         *Configuration
	withdrawn map[string]bool
	put       map[string]bool
}

func (r references) has(kind, name string) bool {
	key := kind + "/" + name
	return r.put[key] || r.c.has(key) && !r.withdrawn[key]
}

func (c *Configuration) checkReferences(n *note.Note) string {
	r := references{c: c, withdrawn: map[string]bool{}, put: map[string]bool{}}
	for _, i := range n.Withdrawn() {
		r.withdrawn[i.Key()] = true
	}
	puts := append(append([]note.Item{}, n.Added()...), n.Changed()...)
	for _, i := range puts {
		r.put[i.Key()] = true
	}
	if refusal := checkTwins(puts); refusal != "" {
		return refusal
	}
	for _, i := range puts {
		if refusal := r.checkItem(i); refusal != "" {
			return refusal
		}
	}
	return r.checkOrphans()
}

func (r references) checkItem(i note.Item) string {
	switch i.Kind() {
	case note.KindEndpoints:
		return r.checkEndpoint(endpoint.Read(i.Table()))
	case note.KindVersions, note.KindAdapters:
		if v := version.Read(i.Table()); !r.has(note.KindModels, v.Model()) {
			return fmt.Sprintf("%s is of the model %q, which is not in force", i.Key(), v.Model())
		}
	case note.KindAccounts:
		a := account.Read(i.Table())
		if other, taken := r.c.accounts[a.KeyDigest()]; taken && other.Name() != a.Name() {
			return fmt.Sprintf("%s has the key of account %q", i.Key(), other.Name())
		}
	}
	return ""
}

func (r references) checkEndpoint(e endpoint.Endpoint) string {
	for _, m := range e.Models() {
		if !r.has(note.KindModels, m) {
			return fmt.Sprintf("endpoint %q serves the model %q, which is not in force", e.Name(), m)
		}
	}
	if e.Service() != "" && !r.has(note.KindServices, e.Service()) {
		return fmt.Sprintf("endpoint %q belongs to the service %q, which is not in force", e.Name(), e.Service())
	}
	other, taken := r.c.addresses[e.Address()]
	if taken && other != e.Name() && !r.withdrawn[note.KindEndpoints+"/"+other] {
		return fmt.Sprintf("endpoint %q has the address %s of endpoint %q", e.Name(), e.Address(), other)
	}
	return ""
}

// checkOrphans refuses to withdraw what an endpoint that stays still names.
func (r references) checkOrphans() string {
	if len(r.withdrawn) == 0 {
		return ""
	}
	for _, e := range r.c.endpoints {
		key := note.KindEndpoints + "/" + e.Name()
		if r.withdrawn[key] || r.put[key] {
			continue
		}
		for _, m := range e.Models() {
			if r.withdrawn[note.KindModels+"/"+m] {
				return fmt.Sprintf("models/%s is withdrawn, but endpoint %q serves it", m, e.Name())
			}
		}
		if r.withdrawn[note.KindServices+"/"+e.Service()] {
			return fmt.Sprintf("services/%s is withdrawn, but endpoint %q belongs to it", e.Service(), e.Name())
		}
	}
	return ""
}

// checkTwins refuses two items of one note that claim the same address or the same key.
func checkTwins(puts []note.Item) string {
	seen := map[string]string{}
	for _, i := range puts {
		identity := ""
		switch i.Kind() {
		case note.KindEndpoints:
			identity = "address " + endpoint.Read(i.Table()).Address()
		case note.KindAccounts:
			identity = "key " + account.Read(i.Table()).KeyDigest()
		default:
			continue
		}
		if first, twice := seen[identity]; twice {
			return fmt.Sprintf("%s and %s have the same %s", first, i.Key(), identity)
		}
		seen[identity] = i.Key()
	}
	return ""
}
