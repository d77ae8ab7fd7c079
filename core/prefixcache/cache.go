package prefixcache

import (
	"savoryfall/core/prompt"
)

// Cache models which prompt parts an endpoint has in its prefix cache. Engines evict the least recently used parts
// first, which is approximated with two generations: a part that is used goes into the recent one, and when that holds
// half the capacity, it replaces the previous one. This keeps the recently used parts without an LRU list. The zero
// value is empty; it is not safe for concurrent use.
type Cache struct {
	recent, previous map[uint64]struct{}
	recentTokens     int
}

// Read records that the endpoint has processed the chain; capacity is the size of its cache in tokens.
func (c *Cache) Read(chain prompt.Chain, capacity int) {
	for _, p := range chain {
		c.touch(p, capacity)
	}
}

func (c *Cache) touch(p prompt.Part, capacity int) {
	if _, ok := c.recent[p.ID]; ok {
		return
	}
	if c.recent == nil {
		c.recent = map[uint64]struct{}{}
	}
	c.recent[p.ID] = struct{}{}
	c.recentTokens += p.Tokens
	if 2*c.recentTokens > capacity {
		c.previous, c.recent, c.recentTokens = c.recent, nil, 0
	}
}

// CachedTokens returns how many leading tokens of the chain the endpoint is expected to have cached.
func (c *Cache) CachedTokens(chain prompt.Chain) (tokens int) {
	if len(c.recent) == 0 && len(c.previous) == 0 {
		return 0
	}
	for _, p := range chain {
		_, recent := c.recent[p.ID]
		_, previous := c.previous[p.ID]
		if !recent && !previous {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}
