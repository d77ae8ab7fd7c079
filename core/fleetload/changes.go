package fleetload

import (
	"sync"

	"savoryfall/core/directory"
)

// Change describes an endpoint that was added, changed or removed.
type Change struct {
	Entry  directory.Entry
	Usable bool
	// Recorded says that the entry's software version was in the record of versions before. Routers of earlier releases do not
	// set it.
	Recorded bool
}

// ChangeLog keeps the latest change of each endpoint under an increasing version, for routers that follow the
// endpoints through the hub. Heartbeats that change nothing, which are most of the records written, are never
// added. The zero value is empty.
type ChangeLog struct {
	mu      sync.Mutex
	byID    map[string]versionedChange
	version int64
}

type versionedChange struct {
	change  Change
	version int64
}

// Add records a change.
func (c *ChangeLog) Add(change Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[string]versionedChange{}
	}
	c.version++
	c.byID[change.Entry.ID] = versionedChange{change: change, version: c.version}
}

// Since returns the changes after the given version, and the current version.
func (c *ChangeLog) Since(after int64) (changes []Change, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range c.byID {
		if entry.version > after {
			changes = append(changes, entry.change)
		}
	}
	return changes, c.version
}
