package inforce

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/note"
	"savoryfall/core/service"
	"savoryfall/core/version"
)

// Configuration is what is in force after a number of records of the log; it is never changed, only replaced.
// The zero value is the configuration before the first record.
type Configuration struct {
	next      int64
	current   string
	digest    uint64
	items     map[string]entry
	notes     map[string]verdict
	noteOrder []string
	models    map[string]bool
	versions  map[string]version.Version
	accounts  map[string]account.Account
	services  map[string]service.Service
	endpoints map[string]endpoint.Endpoint
	addresses map[string]string
}

// entry outlives a withdrawal, so that a note written before it still conflicts.
type entry struct {
	item      note.Item
	offset    int64
	noteID    string
	withdrawn bool
}

type verdict struct {
	offset  int64
	refusal string
}

// Next is the offset of the first record that is not applied yet.
func (c *Configuration) Next() int64 { return c.next }

// Current is the id of the newest accepted note.
func (c *Configuration) Current() string { return c.current }

// Digest is equal for two routers that have the same items in force.
func (c *Configuration) Digest() string { return fmt.Sprintf("%016x", c.digest) }

// Account finds a client account by the digest of its key.
func (c *Configuration) Account(keyDigest string) (a account.Account, ok bool) {
	a, ok = c.accounts[keyDigest]
	return a, ok
}

// Accounts is how many client accounts are in force.
func (c *Configuration) Accounts() int { return len(c.accounts) }

// HasModel tells whether the model is in force.
func (c *Configuration) HasModel(name string) bool { return c.models[name] }

// Models are the names of the models in force, sorted.
func (c *Configuration) Models() []string { return slices.Sorted(maps.Keys(c.models)) }

// Versions are the versions and adapters in force, sorted by model and name.
func (c *Configuration) Versions() []version.Version {
	return slices.SortedFunc(maps.Values(c.versions), func(a, b version.Version) int {
		return strings.Compare(a.Model()+"@"+a.Name(), b.Model()+"@"+b.Name())
	})
}

// Endpoints are the endpoints in force, sorted by name.
func (c *Configuration) Endpoints() []endpoint.Endpoint {
	return slices.SortedFunc(maps.Values(c.endpoints), func(a, b endpoint.Endpoint) int {
		return strings.Compare(a.Name(), b.Name())
	})
}

// Service finds the plain service with the longest prefix of the path.
func (c *Configuration) Service(path string) (s service.Service, ok bool) {
	for _, candidate := range c.services {
		if strings.HasPrefix(path, candidate.Path()) && len(candidate.Path()) > len(s.Path()) {
			s, ok = candidate, true
		}
	}
	return s, ok
}

// Refusal tells why the note was refused; known is false while the fold has not met the note.
func (c *Configuration) Refusal(noteID string) (reason string, known bool) {
	v, known := c.notes[noteID]
	return v.refusal, known
}

// Items are the items in force, sorted by key.
func (c *Configuration) Items() (items []note.Item) {
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if e := c.items[key]; !e.withdrawn {
			items = append(items, e.item)
		}
	}
	return items
}

// digestOf adds up over items, so that applying a note costs only what the note touches.
func digestOf(i note.Item) uint64 {
	values, err := json.Marshal(i.Values())
	if err != nil {
		panic("inforce: values of TOML that JSON cannot hold: " + err.Error())
	}
	return xxhash.Sum64String(i.Key() + "\x00" + string(values))
}

// Endpoint finds an endpoint by its name.
func (c *Configuration) Endpoint(name string) (e endpoint.Endpoint, ok bool) {
	e, ok = c.endpoints[name]
	return e, ok
}
