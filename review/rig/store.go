package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store with the calls log-append, log-read and log-newest. A read returns at most
// max_kb of records, 1,024 if the call names no other number.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	wake   chan struct{}
	// rejected are the routers, by the address at which they call, whose calls the store rejects with 503.
	rejected map[string]bool
}

func newStore() *store {
	return &store{topics: map[string][][]byte{}, wake: make(chan struct{}), rejected: map[string]bool{}}
}

// The limits of PROTOCOL.md.
const (
	defaultMaxKB   = 1024
	newestMaxItems = 500
	newestMaxBytes = 1 << 20
	recordBytes    = 262144
)

// serve serves the store to one router at a free loopback port and returns its address.
func (s *store) serve() (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

// reject makes the store reject the calls of a router, or serve them again.
func (s *store) reject(r *router, yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[r.store] = yes
}

func (s *store) rejects(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected[r.Host]
}

// put writes the value of a key as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) (err error) {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	if len(raw) > recordBytes {
		return fmt.Errorf("a record of %d bytes is larger than the store allows", len(raw))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, raw)
	return nil
}

func (s *store) append(topic string, raw []byte) {
	s.topics[topic] = append(s.topics[topic], raw)
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP serves the calls of the routers.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.rejects(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	offset := len(s.topics[topic])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.append(topic, body[4:4+n])
		body = body[4+n:]
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = defaultMaxKB
	}
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		response, found, wake := s.read(q.Get("topic"), from, maxKB<<10)
		if s.rejects(r) {
			// The call waited when the store began to reject this router.
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if found {
			_, _ = w.Write(response)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			_, _ = w.Write(response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the end, the first retained offset and as many records as fit into max bytes, at least one.
func (s *store) read(topic string, from, limit int) (response []byte, found bool, wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	response = binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	response = binary.BigEndian.AppendUint64(response, 0)
	for i := from; i < len(records); i++ {
		if found && len(response)+4+len(records[i]) > limit {
			break
		}
		response = binary.BigEndian.AppendUint32(response, uint32(len(records[i])))
		response = append(response, records[i]...)
		found = true
	}
	return response, found, s.wake
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	response := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       int    `json:"end"`
	}{Items: []item{}}
	q := r.URL.Query()
	newest := map[string]item{}
	s.mu.Lock()
	records := s.topics[q.Get("topic")]
	response.End = len(records)
	for i, raw := range records {
		key, value := string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
		delete(newest, key)
		if len(value) > 0 && key > q.Get("after") {
			newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: i}
		}
	}
	s.mu.Unlock()
	keys := make([]string, 0, len(newest))
	for key := range newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		size += len(newest[key].Value)
		if len(response.Items) > 0 && (len(response.Items) == newestMaxItems || size > newestMaxBytes) {
			response.Truncated = true
			break
		}
		response.Items = append(response.Items, newest[key])
	}
	writeJSON(w, response)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
