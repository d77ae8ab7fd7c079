package hub_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"savoryfall/core/keyed"
)

const (
	configurationTopic = "configuration"
	registryTopic      = "registry"
	routersTopic       = "routers"
)

// sharedStore is a store that counts the calls of all routers.
type sharedStore struct {
	mu      sync.Mutex
	topics  map[string][]keyed.Record
	first   map[string]int64
	refused func(router string) bool
	calls   int
	last    time.Time
	news    chan struct{}
}

func newSharedStore() *sharedStore {
	return &sharedStore{topics: map[string][]keyed.Record{}, first: map[string]int64{}, news: make(chan struct{})}
}

func (s *sharedStore) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], keyed.Record{
		Key: key, Value: []byte(value), Offset: int64(len(s.topics[topic])), Removed: value == "",
	})
	close(s.news)
	s.news = make(chan struct{})
}

func (s *sharedStore) refuse(refused func(router string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = refused
}

// forget drops the history, so that only the newest records of each key can be read.
func (s *sharedStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, records := range s.topics {
		s.first[topic] = int64(len(records)) + 1
	}
}

func (s *sharedStore) called() (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, s.calls = s.calls, 0
	return calls
}

// answered notes that a read which was sent then is answered.
func (s *sharedStore) answered(sent time.Time) {
	if sent.After(s.last) {
		s.last = sent
	}
}

func (s *sharedStore) lastRead(began time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Hour + s.last.Sub(began)
}

func (s *sharedStore) of(router, topic string) *storeTopic { return &storeTopic{s, router, topic} }

type storeTopic struct {
	*sharedStore
	router, name string
}

var errRefused = errors.New("503")

// storeTakes is how long the store takes for a call.
const storeTakes = 4 * time.Millisecond

// call is one call to the store, answered when it has been served.
func (s *storeTopic) call(ctx context.Context) (err error) {
	s.mu.Lock()
	s.calls++
	refused := s.refused != nil && s.refused(s.router)
	s.mu.Unlock()
	select {
	case <-time.After(storeTakes):
	case <-ctx.Done():
		return ctx.Err()
	}
	if refused {
		return errRefused
	}
	return nil
}

func (s *storeTopic) Newest(ctx context.Context) (p keyed.Page, err error) {
	sent := time.Now()
	err = s.call(ctx)
	if err != nil {
		return p, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered(sent)
	newest := map[string]keyed.Record{}
	for _, r := range s.topics[s.name] {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if !r.Removed {
			p.Records = append(p.Records, r)
		}
	}
	p.Next = int64(len(s.topics[s.name]))
	return p, nil
}

func (s *storeTopic) Since(ctx context.Context, from int64, wait time.Duration) (p keyed.Page, err error) {
	sent := time.Now()
	err = s.call(ctx)
	for err == nil {
		s.mu.Lock()
		records, first, news := s.topics[s.name], s.first[s.name], s.news
		s.answered(sent)
		s.mu.Unlock()
		if from < first && from < int64(len(records)) {
			return p, keyed.TrimmedError{Want: from, First: first}
		}
		left := wait - time.Since(sent)
		if int64(len(records)) > from || left <= 0 {
			return keyed.Page{Records: records[from:], Next: int64(len(records))}, nil
		}
		select {
		case <-news:
		case <-time.After(left):
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return p, err
}

func (s *storeTopic) Put(ctx context.Context, key string, value []byte) (err error) {
	err = s.call(ctx)
	if err == nil {
		s.put(s.name, key, string(value))
	}
	return err
}
