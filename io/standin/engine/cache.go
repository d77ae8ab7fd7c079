package engine

import (
	"container/list"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// prefix is a prompt up to and including one of its messages.
type prefix struct {
	hash   uint64
	tokens int
}

const (
	bytesPerToken         = 4
	messageOverheadTokens = 4
	hashDigits            = 16
)

// promptPrefixes returns the prefixes that end at each message; the hash of each covers all messages up to its end.
func promptPrefixes(messages []message) (prompt []prefix) {
	h := xxhash.New()
	for _, m := range messages {
		text := m.text()
		_, _ = h.WriteString(m.Role + "\x00" + text + "\x00")
		prompt = append(prompt, prefix{hash: h.Sum64(), tokens: len(text)/bytesPerToken + messageOverheadTokens})
	}
	return prompt
}

func totalTokens(prompt []prefix) (n int) {
	for _, p := range prompt {
		n += p.tokens
	}
	return n
}

// prefixCache is a cache of prefixes with a capacity in tokens and least-recently-used eviction.
type prefixCache struct {
	capacity int
	used     int
	recency  *list.List
	byHash   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), byHash: map[uint64]*list.Element{}}
}

// lookUp returns how many tokens of the prompt need no prefill; the last message always needs it.
func (c *prefixCache) lookUp(prompt []prefix) (tokens int) {
	for i, p := range prompt {
		e, ok := c.byHash[p.hash]
		if !ok || i == len(prompt)-1 {
			break
		}
		c.recency.MoveToFront(e)
		tokens += p.tokens
	}
	return tokens
}

// add caches the prefixes, and returns the events for what was added and evicted.
func (c *prefixCache) add(prompt []prefix) (events []Event) {
	for i := len(prompt) - 1; i >= 0; i-- {
		p := prompt[i]
		if e, ok := c.byHash[p.hash]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.byHash[p.hash] = c.recency.PushFront(p)
		c.used += p.tokens
		events = append(events, Event{Kind: eventStored, Prefix: p.hexHash()})
	}
	for c.used > c.capacity && c.recency.Len() > 0 {
		events = append(events, c.evict())
	}
	return events
}

func (c *prefixCache) evict() Event {
	e := c.recency.Back()
	p := c.recency.Remove(e).(prefix)
	delete(c.byHash, p.hash)
	c.used -= p.tokens
	return Event{Kind: eventRemoved, Prefix: p.hexHash()}
}

func (p prefix) hexHash() string {
	return fmt.Sprintf("%0*x", hashDigits, p.hash)
}
