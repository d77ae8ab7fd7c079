package engine

import (
	"container/list"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// prefix is the prompt up to and including one message.
type prefix struct {
	hash   uint64
	tokens int
}

const (
	bytesPerToken     = 4
	tokensPerMessage  = 4
	hexadecimalDigits = 16
)

// prefixes cuts the prompt at its messages; each hash covers all messages before it.
func prefixes(messages []message) (cut []prefix) {
	h := xxhash.New()
	for _, m := range messages {
		text := m.text()
		_, _ = h.WriteString(m.Role + "\x00" + text + "\x00")
		cut = append(cut, prefix{hash: h.Sum64(), tokens: len(text)/bytesPerToken + tokensPerMessage})
	}
	return cut
}

func totalTokens(cut []prefix) (n int) {
	for _, p := range cut {
		n += p.tokens
	}
	return n
}

// prefixCache forgets the prefix that was used longest ago when its memory is full.
type prefixCache struct {
	limit int
	used  int
	order *list.List
	by    map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), by: map[uint64]*list.Element{}}
}

// hit is how many tokens of the prompt need no prefill; the last message always does.
func (c *prefixCache) hit(cut []prefix) (tokens int) {
	for i, p := range cut {
		e, ok := c.by[p.hash]
		if !ok || i == len(cut)-1 {
			break
		}
		c.order.MoveToFront(e)
		tokens += p.tokens
	}
	return tokens
}

// put keeps the prefixes, and returns the events of what was added and forgotten.
func (c *prefixCache) put(cut []prefix) (events []Event) {
	for i := len(cut) - 1; i >= 0; i-- {
		p := cut[i]
		if e, ok := c.by[p.hash]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.by[p.hash] = c.order.PushFront(p)
		c.used += p.tokens
		events = append(events, Event{Kind: eventStored, Prefix: p.name()})
	}
	for c.used > c.limit && c.order.Len() > 0 {
		events = append(events, c.evict())
	}
	return events
}

func (c *prefixCache) evict() Event {
	e := c.order.Back()
	p := c.order.Remove(e).(prefix)
	delete(c.by, p.hash)
	c.used -= p.tokens
	return Event{Kind: eventRemoved, Prefix: p.name()}
}

func (p prefix) name() string {
	return fmt.Sprintf("%0*x", hexadecimalDigits, p.hash)
}
