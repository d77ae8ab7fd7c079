package spills

import (
	"encoding/binary"
	"sync"
	"time"
)

// Table is a directory of exceptions: chats that were placed elsewhere than where their key ranks first, because that
// endpoint was full or had just come. All other chats are found by their rank and stand nowhere. Routers tell each
// other their own entries, so that a chat which returns through another router without a ticket is found as well.
// The zero value is empty.
type Table struct {
	mu    sync.Mutex
	by    map[uint32]entry
	order []aged
	own   []spill
	first uint64
}

type entry struct {
	endpoint uint16
	at       time.Time
}

type aged struct {
	chat uint32
	at   time.Time
}

type spill struct {
	chat     uint32
	endpoint uint16
}

const (
	// life is how long an entry is of use; prefixes of idle chats are evicted within about that time.
	life = 10 * time.Minute
	// most bounds the memory: at 24 bytes an entry and its age it is about 6 MB.
	most = 1 << 17
	// ownMost is how many own entries are kept for peers that have not heard them.
	ownMost    = 4096
	entryBytes = 6
)

func shortChat(hash uint64) uint32 { return uint32(hash >> 32) }

// shortEndpoint may be shared by a few of thousands of endpoints; a chat sent to the wrong one of them is cold there,
// as it would be without the entry.
func shortEndpoint(hash uint64) uint16 { return uint16(hash >> 48) }

// Add notes where a chat is warm, by the hashes of its key and of the endpoint's name, for this router and its peers.
func (t *Table) Add(chat, endpoint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := spill{chat: shortChat(chat), endpoint: shortEndpoint(endpoint)}
	t.put(s, now)
	t.own = append(t.own, s)
	if n := len(t.own) - ownMost; n > 0 {
		t.own = t.own[n:]
		t.first += uint64(n)
	}
}

func (t *Table) put(s spill, now time.Time) {
	if t.by == nil {
		t.by = map[uint32]entry{}
	}
	t.by[s.chat] = entry{endpoint: s.endpoint, at: now}
	t.order = append(t.order, aged{chat: s.chat, at: now})
	for len(t.order) > most || now.Sub(t.order[0].at) > life {
		old := t.order[0]
		t.order = t.order[1:]
		if t.by[old.chat].at.Equal(old.at) {
			delete(t.by, old.chat)
		}
	}
}

// Find tells whether a chat is known to be warm elsewhere, and whether it is at that endpoint.
func (t *Table) Find(chat uint64) (endpoint uint16, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.by[shortChat(chat)]
	return e.endpoint, ok
}

// Names tells whether an entry is about the endpoint with that hash.
func Names(endpoint uint16, hash uint64) bool { return endpoint == shortEndpoint(hash) }

// Since are the own entries that a peer has not had, at most max, and the cursor to ask with next time.
func (t *Table) Since(cursor uint64, max int) (data []byte, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := int(min(uint64(len(t.own)), cursor-min(cursor, t.first)))
	if cursor < t.first {
		from = 0
	}
	end := min(from+max, len(t.own))
	for _, s := range t.own[from:end] {
		data = binary.BigEndian.AppendUint32(data, s.chat)
		data = binary.BigEndian.AppendUint16(data, s.endpoint)
	}
	return data, t.first + uint64(end)
}

// Take reads a peer's entries; what is not whole is dropped.
func (t *Table) Take(data []byte, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(data) >= entryBytes {
		t.put(spill{chat: binary.BigEndian.Uint32(data), endpoint: binary.BigEndian.Uint16(data[4:])}, now)
		data = data[entryBytes:]
	}
}

// Len is how many chats are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.by)
}
