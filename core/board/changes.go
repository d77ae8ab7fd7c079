package board

import (
	"sync"

	"savoryfall/core/directory"
)

// Change is an endpoint that came, changed or went.
type Change struct {
	Entry  directory.Entry
	Usable bool
}

// Changes keeps the newest change of each endpoint in order, for routers that follow the endpoints through the hub.
// Heartbeats that change nothing never get here, and they are most of what is written. The zero value is empty.
type Changes struct {
	mu     sync.Mutex
	by     map[string]numbered
	number int64
}

type numbered struct {
	change Change
	number int64
}

// Put notes a change.
func (c *Changes) Put(change Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]numbered{}
	}
	c.number++
	c.by[change.Entry.ID] = numbered{change: change, number: c.number}
}

// Since are the changes after the number, and the number to go on from.
func (c *Changes) Since(n int64) (changes []Change, number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.by {
		if k.number > n {
			changes = append(changes, k.change)
		}
	}
	return changes, c.number
}
