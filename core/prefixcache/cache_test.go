package prefixcache_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/prefixcache"
	"savoryfall/core/prompt"
)

func chain(ids ...uint64) (c prompt.Chain) {
	for _, id := range ids {
		c = append(c, prompt.Part{ID: id, Tokens: 100})
	}
	return c
}

// A cached part counts only if all parts before it are cached too.
func TestOnlyALeadingRunIsCached(t *testing.T) {
	var c prefixcache.Cache
	assert.Equal(t, c.CachedTokens(chain(1)), 0)
	c.Read(chain(1, 2, 3), 10000)
	assert.Equal(t, c.CachedTokens(chain(1, 2, 9)), 200)
	assert.Equal(t, c.CachedTokens(chain(9, 2, 3)), 0)
}

// Recently used parts are kept while others are read; parts that are not used are evicted.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	var c prefixcache.Cache
	c.Read(chain(1), 1000)
	c.Read(chain(2), 1000)
	for id := uint64(10); id < 40; id++ {
		c.Read(chain(id), 1000)
		c.Read(chain(1), 1000)
	}
	assert.Equal(t, c.CachedTokens(chain(1)), 100)
	assert.Equal(t, c.CachedTokens(chain(2)), 0)
}
