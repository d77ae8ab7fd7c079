package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"savoryfall/platform/standin/client"
)

// request is one attempt of a client and what came of it.
type request struct {
	id, kind, key string
	router        *router
	boot          int
	sent, ended   time.Time
	answer        client.Answer
	// quit tells that the client left before the answer was whole.
	quit bool
}

// ask sends one request by the newest key and waits for its answer, on the connection when there is one.
func (w *world) ask(r *router, c *client.Conn, kind string) client.Answer {
	w.mu.Lock()
	key := w.key
	w.mu.Unlock()
	return w.askWith(r, c, kind, key)
}

func (w *world) askWith(r *router, c *client.Conn, kind, key string) client.Answer {
	q := &request{id: fmt.Sprint("r", w.number.Add(1)), kind: kind, key: key, router: r, sent: time.Now()}
	q.boot = r.life()
	msg := client.Request{Method: http.MethodPost, Host: host, Path: "/" + kind + "/" + q.id, ID: q.id, Key: key}
	if c == nil {
		q.answer = client.Ask(r.clients, msg)
	} else if c.Send(msg) == nil {
		q.answer = c.Read(http.MethodPost)
	}
	q.ended = time.Now()
	w.note(q)
	return q.answer
}

// quit sends a stream's request and leaves before it can be whole.
func (w *world) quit(r *router) {
	c, err := client.Dial(r.clients)
	if err != nil {
		return
	}
	w.mu.Lock()
	key := w.key
	w.mu.Unlock()
	q := &request{id: fmt.Sprint("r", w.number.Add(1)), kind: "draft", key: key, router: r, sent: time.Now(), quit: true}
	q.boot = r.life()
	_ = c.Send(client.Request{Method: http.MethodPost, Host: host, Path: "/draft/" + q.id, ID: q.id, Key: key})
	<-time.After(2 * step)
	c.Close()
	q.ended = time.Now()
	w.note(q)
}

func (w *world) note(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, q)
}

// client uses one connection after the other, each for many requests until it ends, also while its router is stopping.
func (w *world) client(random *rand.Rand) {
	for {
		r := w.routers[random.IntN(len(w.routers))]
		c, err := r.dial()
		if err != nil {
			if w.over(20 * time.Millisecond) {
				return
			}
			continue
		}
		for n := 1 + random.IntN(30); n > 0 && c.Usable(); n-- {
			if w.over(time.Duration(random.IntN(20)) * time.Millisecond) {
				c.Close()
				return
			}
			w.one(r, c, random)
		}
		c.Close()
	}
}

func (w *world) one(r *router, c *client.Conn, random *rand.Rand) {
	kinds := []string{"read", "book", "draft", "talk"}
	switch random.IntN(12) {
	case 0:
		w.quit(r)
	case 1, 2:
		w.mu.Lock()
		old := fmt.Sprint("key", random.IntN(w.version+1))
		w.mu.Unlock()
		w.askWith(r, c, kinds[random.IntN(len(kinds))], old)
	default:
		w.ask(r, c, kinds[random.IntN(len(kinds))])
	}
}

// over waits, and tells whether the run has ended.
func (w *world) over(d time.Duration) bool {
	select {
	case <-w.done:
		return true
	case <-time.After(d):
		return false
	}
}
