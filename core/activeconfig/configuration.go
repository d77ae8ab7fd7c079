package activeconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/releasenote"
	"savoryfall/core/service"
	"savoryfall/core/version"
)

// Configuration is the active configuration after a prefix of the configuration stream. Values are immutable: Apply
// returns a new one. The zero value is the configuration before the first record.
type Configuration struct {
	next          int64
	currentNote   string
	digest        uint64
	items         map[string]entry
	notes         map[string]noteResult
	noteIDs       []string
	models        map[string]bool
	versions      map[string]version.Version
	accounts      map[string]account.Account
	services      map[string]service.Service
	endpoints     map[string]endpoint.Endpoint
	nameByAddress map[string]string
}

// entry is the newest version of an item. Withdrawn items keep their entry, so that a note written before the
// withdrawal is still detected as conflicting.
type entry struct {
	item      releasenote.Item
	offset    int64
	noteID    string
	withdrawn bool
}

type noteResult struct {
	offset  int64
	refusal string
}

// NextOffset returns the offset of the first record that is not applied yet.
func (c *Configuration) NextOffset() int64 { return c.next }

// CurrentNoteID returns the id of the newest accepted release note.
func (c *Configuration) CurrentNoteID() string { return c.currentNote }

// Digest returns a hash of the items in force. It is equal on two routers that have the same items in force.
func (c *Configuration) Digest() string { return fmt.Sprintf("%016x", c.digest) }

// AccountByKeyDigest looks up a client account by the digest of its API key.
func (c *Configuration) AccountByKeyDigest(keyDigest string) (a account.Account, ok bool) {
	a, ok = c.accounts[keyDigest]
	return a, ok
}

// AccountCount returns the number of client accounts in force.
func (c *Configuration) AccountCount() int { return len(c.accounts) }

// HasModel reports whether the model is in force.
func (c *Configuration) HasModel(name string) bool { return c.models[name] }

// Models returns the names of the models in force, sorted.
func (c *Configuration) Models() []string { return slices.Sorted(maps.Keys(c.models)) }

// Versions returns the versions and adapters in force, sorted by model and name.
func (c *Configuration) Versions() []version.Version {
	return slices.SortedFunc(maps.Values(c.versions), func(a, b version.Version) int {
		return strings.Compare(a.Model()+"@"+a.Name(), b.Model()+"@"+b.Name())
	})
}

// Endpoints returns the endpoints in force, sorted by name.
func (c *Configuration) Endpoints() []endpoint.Endpoint {
	return slices.SortedFunc(maps.Values(c.endpoints), func(a, b endpoint.Endpoint) int {
		return strings.Compare(a.Name(), b.Name())
	})
}

// ServiceForPath returns the plain service whose path is the longest prefix of the given path.
func (c *Configuration) ServiceForPath(path string) (s service.Service, ok bool) {
	for _, candidate := range c.services {
		if strings.HasPrefix(path, candidate.Path()) && len(candidate.Path()) > len(s.Path()) {
			s, ok = candidate, true
		}
	}
	return s, ok
}

// Refusal returns the reason why the release note was refused, "" if it was accepted. known is false if the note has
// not been applied or its result was discarded (see MaxNotes).
func (c *Configuration) Refusal(noteID string) (reason string, known bool) {
	result, known := c.notes[noteID]
	return result.refusal, known
}

// Items returns the items in force, sorted by key.
func (c *Configuration) Items() (items []releasenote.Item) {
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if e := c.items[key]; !e.withdrawn {
			items = append(items, e.item)
		}
	}
	return items
}

// itemDigest hashes one item. The digest of the configuration is the sum of these hashes, so that updating it costs
// only as much as the items that a note touches.
func itemDigest(i releasenote.Item) uint64 {
	values, err := json.Marshal(i.Values())
	if err != nil {
		panic("activeconfig: cannot encode item values as JSON: " + err.Error())
	}
	return xxhash.Sum64String(i.Key() + "\x00" + string(values))
}

// Endpoint looks up an endpoint by name.
func (c *Configuration) Endpoint(name string) (e endpoint.Endpoint, ok bool) {
	e, ok = c.endpoints[name]
	return e, ok
}
