package fakestore

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryfall/core/compactedlog"
)

// The topics of a fleet.
const (
	ConfigurationTopic = "configuration"
	RegistryTopic      = "registry"
	RoutersTopic       = "routers"
)

// Store is an in-memory store that counts the calls of all routers.
type Store struct {
	mu          sync.Mutex
	topics      map[string][]compactedlog.Record
	firstOffset map[string]int64
	// generation rises with each restore.
	generation int64
	// seen is the highest generation that was answered to each router, with any topic.
	seen     map[string]*atomic.Int64
	refused  func(router string) bool
	silent   func(router string) bool
	calls    int
	lastSent time.Time
	newsCh   chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string][]compactedlog.Record{}, firstOffset: map[string]int64{}, seen: map[string]*atomic.Int64{}, newsCh: make(chan struct{})}
}

// Put writes the value of a key, or removes the key if the value is empty.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], compactedlog.Record{
		Key: key, Value: []byte(value), Offset: int64(len(s.topics[topic])), Removed: value == "",
	})
	close(s.newsCh)
	s.newsCh = make(chan struct{})
}

// Count returns the number of records of a topic.
func (s *Store) Count(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// Keys returns the keys of a topic.
func (s *Store) Keys(topic string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKey := map[string]bool{}
	for _, r := range s.topics[topic] {
		byKey[r.Key] = true
	}
	return slices.Sorted(maps.Keys(byKey))
}

// Refuse makes the store refuse the calls of the routers for which refused returns true, or of none if it is nil.
func (s *Store) Refuse(refused func(router string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = refused
}

// Silence makes the store not answer the calls of the routers for which silent returns true, or answer all if it is nil. silent is
// asked once a call, one call after the other.
func (s *Store) Silence(silent func(router string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Restore replaces the store's contents by a copy that lacks the last records of each topic, and writes the newest record
// of each key among them again, as the operator and the endpoints do.
func (s *Store) Restore(lost map[string]int) { s.Rewrite(s.LoseRecords(lost)) }

// LoseRecords replaces the store's contents by a copy that lacks the last records of each topic. It returns the newest
// value of each key among them, by topic.
func (s *Store) LoseRecords(lost map[string]int) (newest map[string]map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	newest = map[string]map[string]string{}
	for topic, n := range lost {
		newest[topic] = map[string]string{}
		end := len(s.topics[topic])
		for _, r := range s.topics[topic][end-n:] {
			newest[topic][r.Key] = string(r.Value)
		}
		s.topics[topic] = slices.Clone(s.topics[topic][:end-n])
	}
	return newest
}

// Rewrite writes the values that LoseRecords returned.
func (s *Store) Rewrite(newest map[string]map[string]string) {
	for topic, values := range newest {
		for _, key := range slices.Sorted(maps.Keys(values)) {
			s.Put(topic, key, values[key])
		}
	}
}

// Compact drops the history: only the newest record of each key can still be read.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, records := range s.topics {
		s.firstOffset[topic] = int64(len(records)) + 1
	}
}

// TakeCalls returns the number of calls since it was called last.
func (s *Store) TakeCalls() (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, s.calls = s.calls, 0
	return calls
}

// recordRead records that a read sent at that time was answered up to the end of the log.
func (s *Store) recordRead(sent time.Time) {
	if sent.After(s.lastSent) {
		s.lastSent = sent
	}
}

// LastRead returns when the last read that was answered had been sent, by the clock of a fleet that began at the given time.
func (s *Store) LastRead(began time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Hour + s.lastSent.Sub(began)
}

// ForRouter returns a topic of the store as seen from one router.
func (s *Store) ForRouter(router, name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[router] == nil {
		s.seen[router] = &atomic.Int64{}
	}
	return &topic{Store: s, router: router, name: name, seen: s.seen[router]}
}

type topic struct {
	*Store
	router, name string
	seen         *atomic.Int64
}

// Generation returns the highest generation that was answered to the router.
func (s *topic) Generation() int64 { return s.seen.Load() }

var errRefused = errors.New("503")

// readSize is how many records an answer holds. It is small so that routers read the log in parts.
const readSize = 3

// storeLatency is the time that the store takes to answer a call.
const storeLatency = 4 * time.Millisecond

// call counts a call, and returns after the store's latency or when the context ends.
func (s *topic) call(ctx context.Context) (err error) {
	s.mu.Lock()
	s.calls++
	refused := s.refused != nil && s.refused(s.router)
	silent := s.silent != nil && s.silent(s.router)
	s.mu.Unlock()
	select {
	case <-time.After(storeLatency):
	case <-ctx.Done():
		return ctx.Err()
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if refused {
		return errRefused
	}
	return nil
}

// Newest returns the newest record of each key.
func (s *topic) Newest(ctx context.Context) (p compactedlog.Page, err error) {
	sent := time.Now()
	err = s.call(ctx)
	if err != nil {
		return p, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRead(sent)
	newest := map[string]compactedlog.Record{}
	for _, r := range s.topics[s.name] {
		newest[r.Key] = r
	}
	s.seen.Store(s.generation)
	for _, r := range newest {
		if !r.Removed {
			r.Generation = s.generation
			p.Records = append(p.Records, r)
		}
	}
	p.Next, p.Generation = int64(len(s.topics[s.name])), s.generation
	p.LogEnd = p.Next
	return p, nil
}

// Since returns the records from an offset on, and waits for one if there are none.
func (s *topic) Since(ctx context.Context, from int64, wait time.Duration) (p compactedlog.Page, err error) {
	sent := time.Now()
	err = s.call(ctx)
	for err == nil {
		s.mu.Lock()
		records, firstOffset, newsCh, generation := s.topics[s.name], s.firstOffset[s.name], s.newsCh, s.generation
		end := int64(len(records))
		next := min(from+readSize, end)
		if next == end {
			s.recordRead(sent)
		}
		s.mu.Unlock()
		s.seen.Store(generation)
		if from < firstOffset && from < end || from > end {
			return p, compactedlog.TrimmedError{Requested: from, First: firstOffset}
		}
		left := wait - time.Since(sent)
		if end > from || left <= 0 {
			p = compactedlog.Page{Records: slices.Clone(records[from:next]), Next: next, LogEnd: end, Generation: generation}
			for i := range p.Records {
				p.Records[i].Generation = generation
			}
			return p, nil
		}
		select {
		case <-newsCh:
		case <-time.After(left):
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return p, err
}

// Put writes the value of a key.
func (s *topic) Put(ctx context.Context, key string, value []byte) (err error) {
	err = s.call(ctx)
	if err == nil {
		s.Store.Put(s.name, key, string(value))
	}
	return err
}
