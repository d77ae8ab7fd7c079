package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// rawServer is a stand-in of one server that writes its answers byte by byte, so that it can write one too many.
type rawServer struct {
	server
	slots, queue int
	// extras is the share of the answers after which it sends further bytes, when the next request has arrived on the channel.
	extras atomic.Pointer[float64]
	// note records what it does.
	note func(format string, args ...any)

	busyMu           sync.Mutex
	running, waiting int
}

func newRawServer(id, service string, work time.Duration, slots, queue int) (s *rawServer, err error) {
	s = &rawServer{server: server{id: id, service: service, born: time.Now().UnixMilli(), work: work}, slots: slots, queue: queue}
	s.set(0)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *rawServer) set(extras float64) { s.extras.Store(&extras) }

// serve answers the requests of a channel one after the other.
func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	extraAfter := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Savoryfall-Attempt-Id")
		if extraAfter != "" {
			s.note("%s sends additional bytes after its answer to %s, as %s has arrived", s.id, extraAfter, id)
			_, _ = io.WriteString(c, additional)
			extraAfter = ""
		}
		_, err = io.WriteString(c, s.answer(req, id))
		if err != nil {
			return
		}
		if rand.Float64() < *s.extras.Load() {
			extraAfter = id
		}
	}
}

// additional are bytes after a complete answer, which belong to no request. They bear neither an id nor a signature.
const additional = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// answer runs a request, or refuses it.
func (s *rawServer) answer(req *http.Request, id string) string {
	refusal := "X-Savoryfall-Attempt-Id: " + id + "\r\nX-Savoryfall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	if expected := req.Header.Get("X-Savoryfall-Expect-Instance"); expected != "" && expected != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Savoryfall-Instance-Id: " + s.id + "\r\n" + refusal
	}
	if !s.enter() {
		return "HTTP/1.1 503 Service Unavailable\r\n" + refusal
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, server: s.id, tenant: req.Header.Get("X-Savoryfall-Tenant"), at: time.Now()})
	s.mu.Unlock()
	time.Sleep(s.work)
	running, waiting := s.leave()
	body := "answer of " + s.id + " to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Savoryfall-Attempt-Id: %s\r\nX-Savoryfall-Server-Signature: sig.%s.%s\r\n"+
		"X-Savoryfall-Server-Load: %d,%d,%d\r\nContent-Length: %s\r\n\r\n%s",
		id, s.id, id, running, waiting, s.slots, strconv.Itoa(len(body)), body)
}

// enter waits for a slot, and returns false if the queue is full.
func (s *rawServer) enter() bool {
	s.busyMu.Lock()
	if s.running+s.waiting >= s.slots+s.queue {
		s.busyMu.Unlock()
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		s.busyMu.Unlock()
		time.Sleep(time.Millisecond)
		s.busyMu.Lock()
	}
	s.waiting--
	s.running++
	s.busyMu.Unlock()
	return true
}

func (s *rawServer) leave() (running, waiting int) {
	s.busyMu.Lock()
	defer s.busyMu.Unlock()
	s.running--
	return s.running, s.waiting
}
