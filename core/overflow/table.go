package overflow

import (
	"encoding/binary"
	"sync"
	"time"
)

// Table holds the exceptions to the ranking: chats that were placed on another endpoint than the highest-ranked one for
// their key, because that one was full or had recently started. All other chats are found by rank and have no entry.
// Routers exchange their own entries, so that a chat that returns through another router without a ticket is found too.
// The zero value is empty.
type Table struct {
	mu         sync.Mutex
	entries    map[uint32]entry
	insertions []insertion
	ownEntries []chatLocation
	firstOwn   uint64
}

type entry struct {
	endpoint uint16
	at       time.Time
}

type insertion struct {
	chat uint32
	at   time.Time
}

type chatLocation struct {
	chat     uint32
	endpoint uint16
}

const (
	// entryTTL is how long an entry is useful; engines evict the prefixes of idle chats within about that time.
	entryTTL = 10 * time.Minute
	// maxEntries bounds the memory: at 24 bytes for an entry and its insertion time, it is about 6 MB.
	maxEntries = 1 << 17
	// maxOwnEntries is how many of this router's own entries are kept for peers that haven't received them.
	maxOwnEntries = 4096
	entryBytes    = 6
)

func truncateChat(hash uint64) uint32 { return uint32(hash >> 32) }

// truncateEndpoint returns a short hash that a few out of thousands of endpoints may share. A chat sent to the wrong
// one finds no cached prefix there, as would be the case without the entry.
func truncateEndpoint(hash uint64) uint16 { return uint16(hash >> 48) }

// Add records the endpoint on which a chat is cached, given the hashes of its key and of the endpoint name, and queues
// the entry for the peers.
func (t *Table) Add(chat, endpoint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := chatLocation{chat: truncateChat(chat), endpoint: truncateEndpoint(endpoint)}
	t.insert(s, now)
	t.ownEntries = append(t.ownEntries, s)
	if n := len(t.ownEntries) - maxOwnEntries; n > 0 {
		t.ownEntries = t.ownEntries[n:]
		t.firstOwn += uint64(n)
	}
}

func (t *Table) insert(s chatLocation, now time.Time) {
	if t.entries == nil {
		t.entries = map[uint32]entry{}
	}
	t.entries[s.chat] = entry{endpoint: s.endpoint, at: now}
	t.insertions = append(t.insertions, insertion{chat: s.chat, at: now})
	for len(t.insertions) > maxEntries || now.Sub(t.insertions[0].at) > entryTTL {
		oldest := t.insertions[0]
		t.insertions = t.insertions[1:]
		if t.entries[oldest.chat].at.Equal(oldest.at) {
			delete(t.entries, oldest.chat)
		}
	}
}

// Find returns the truncated hash of the endpoint on which a chat is cached; ok is false if there is no entry.
func (t *Table) Find(chat uint64) (endpoint uint16, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[truncateChat(chat)]
	return e.endpoint, ok
}

// Matches reports whether the truncated endpoint hash of an entry matches the given endpoint hash.
func Matches(endpoint uint16, hash uint64) bool { return endpoint == truncateEndpoint(hash) }

// OwnSince encodes this router's own entries from the cursor on, at most max, and returns the cursor for the next call.
func (t *Table) OwnSince(cursor uint64, max int) (data []byte, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := int(min(uint64(len(t.ownEntries)), cursor-min(cursor, t.firstOwn)))
	if cursor < t.firstOwn {
		from = 0
	}
	end := min(from+max, len(t.ownEntries))
	for _, s := range t.ownEntries[from:end] {
		data = binary.BigEndian.AppendUint32(data, s.chat)
		data = binary.BigEndian.AppendUint16(data, s.endpoint)
	}
	return data, t.firstOwn + uint64(end)
}

// Merge adds a peer's entries; an incomplete trailing entry is dropped.
func (t *Table) Merge(data []byte, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(data) >= entryBytes {
		t.insert(chatLocation{chat: binary.BigEndian.Uint32(data), endpoint: binary.BigEndian.Uint16(data[4:])}, now)
		data = data[entryBytes:]
	}
}

// Len returns the number of chats with an entry.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
