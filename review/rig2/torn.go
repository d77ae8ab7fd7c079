package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lookups is how many lookups the clients make, and lookupInterval the time between two of them.
	lookups        = 4000
	lookupInterval = 25 * time.Millisecond
	// failingShare is the share of lookups that the servers answer with 500, as on the site.
	failingShare = 0.14
	// extraShare is the share of their answers that faulty servers send a second time. They do so for garbleFor, and not for the rest
	// of garblePeriod.
	extraShare   = 0.03
	garbleFor    = 5 * time.Second
	garblePeriod = 7 * time.Second
)

// given is an answer as a server has given it.
type given struct {
	status int
	body   string
}

// tornServer is a stand-in of a plain server that writes its answers by itself. A faulty one sends a second copy of some answers: late,
// as the answer to the next request on the channel is due, and broken off in the third line.
type tornServer struct {
	rig      *rig
	id       string
	address  string
	faulty   bool
	born     int64
	sequence atomic.Int64
	answers  atomic.Int64
	given    *sync.Map
	extras   *atomic.Int64
}

func (s *tornServer) start() (err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.rig.closers = append(s.rig.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	s.register()
	s.rig.beats.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-s.rig.done:
				return
			case <-ticker.C:
				s.register()
			}
		}
	})
	return nil
}

func (s *tornServer) register() {
	entry, err := json.Marshal(map[string]any{
		"service": plainPool, "address": s.address, "zone": "westvale-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	if err == nil {
		s.rig.store.Put("keyed.servers", s.id, entry)
	}
}

// serve serves the requests on a channel.
func (s *tornServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	extra := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		time.Sleep(15 * time.Millisecond)
		line, answer := s.answer(req)
		if extra != "" {
			s.extras.Add(1)
			s.rig.note("server %s sends %q before its answer to %s", s.id, extra, req.Header.Get("X-Savoryfall-Attempt-Id"))
		}
		_, err = io.WriteString(c, extra+answer)
		if err != nil {
			return
		}
		extra = ""
		if s.garbles() && rand.Float64() < extraShare {
			// The beginning of a second answer to this request.
			extra = line + "X-Savoryfall-Server-Load: 1,0,"
		}
	}
}

// garbles reports whether the server is faulty at this moment.
func (s *tornServer) garbles() bool {
	return s.faulty && time.Since(s.rig.began)%garblePeriod < garbleFor
}

// answer returns the status line of the answer to a request, and the whole answer.
func (s *tornServer) answer(req *http.Request) (line, answer string) {
	id := req.Header.Get("X-Savoryfall-Attempt-Id")
	if expected := req.Header.Get("X-Savoryfall-Expect-Instance"); expected != "" && expected != s.id {
		line = "HTTP/1.1 421 Misdirected Request\r\n"
		return line, line + "X-Savoryfall-Server-Load: 0,0,6\r\nX-Savoryfall-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	s.rig.ran(id, s.id)
	n := s.answers.Add(1)
	signature := fmt.Sprintf("3e1b.07.%s.%d", s.id, n)
	g := given{status: http.StatusOK, body: fmt.Sprintf("%d bins are free for %s\n", n%50, id)}
	if rand.Float64() < failingShare {
		g = given{status: http.StatusInternalServerError, body: "the slots cannot be read\n"}
	}
	s.given.Store(signature, g)
	s.rig.note("server %s answers %d to %s, signature %s", s.id, g.status, id, signature)
	line = fmt.Sprintf("HTTP/1.1 %d %s\r\n", g.status, http.StatusText(g.status))
	return line, line + fmt.Sprintf("X-Savoryfall-Server-Load: 1,0,6\r\nX-Savoryfall-Attempt-Id: %s\r\nX-Savoryfall-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, signature, len(g.body), g.body)
}

// tornExtra has two of four servers send a second copy of three in a hundred of their answers, late and broken off.
func tornExtra(r *rig) (broken []string, err error) {
	err = r.configure(plainState(1))
	if err != nil {
		return nil, err
	}
	var answers sync.Map
	var extras atomic.Int64
	for i := range 4 {
		s := &tornServer{rig: r, id: fmt.Sprintf("i-booking%d", i), faulty: r.trouble && i < 2, given: &answers, extras: &extras}
		err = s.start()
		if err != nil {
			return nil, err
		}
	}
	err = r.startRouters(3)
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range lookups {
		x := r.routers[i%3]
		clients.Go(func() {
			a := r.once(x, request{method: http.MethodGet, path: "/read/slot", deadline: time.Second}, time.Second)
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, judgeAnswer(a, &answers)...)
		})
		time.Sleep(lookupInterval)
	}
	clients.Wait()
	r.note("%d second answers were sent in part", extras.Load())
	return broken, nil
}

// judgeAnswer returns what an answer shows that its server has not given.
func judgeAnswer(a *attempt, answers *sync.Map) (broken []string) {
	if a.err != nil || a.signed == "" {
		if a.err == nil && a.status == http.StatusOK {
			return []string{"MIXED: a success for " + a.id + " has no signature"}
		}
		return nil
	}
	v, known := answers.Load(a.signed)
	if !known {
		return []string{"MIXED: the signature of the answer to " + a.id + " is no server's"}
	}
	g := v.(given)
	switch {
	case a.status != g.status:
		return []string{fmt.Sprintf("MIXED: %s was answered %d with signature %s, the server gave %d, %q", a.id, a.status, a.signed, g.status, g.body)}
	case a.status == http.StatusOK && a.body != g.body:
		return []string{fmt.Sprintf("MIXED: %s got %q, the server gave %q", a.id, a.body, g.body)}
	}
	return nil
}
