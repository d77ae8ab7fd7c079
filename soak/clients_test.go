package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
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
	// conn is the connection if it may serve several, since when it was idle, and parts in how many the request was sent.
	conn  *conn
	since time.Time
	parts int
	// whole is when the last byte was sent, zero when that failed.
	whole time.Time
}

// conn is a connection that a client uses for one request after the other.
type conn struct {
	*client.Conn
	habit habit
	dice  *rand.Rand
	// since is when the last answer came, or the connection was made.
	since time.Time
}

// habit is for how long a client leaves its connection idle between two requests.
type habit int

const (
	// brisk is for some milliseconds, patient for as long as it may, late for longer: its request may meet the router's
	// end of the connection.
	brisk habit = iota
	patient
	late
)

// dial connects a client, and notes when nobody accepts.
func (r *router) dial(h habit, dice *rand.Rand) (c *conn, err error) {
	raw, err := client.Dial(r.clients)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closed = append(r.closed, time.Now())
	}
	return &conn{Conn: raw, habit: h, dice: dice, since: time.Now()}, err
}

// idleFor is for how long the client leaves the connection idle.
func (w *world) idleFor(c *conn) (d time.Duration) {
	switch c.habit {
	case patient:
		return w.mayIdle() - time.Duration(c.dice.IntN(2)*c.dice.IntN(1000))*time.Millisecond
	case late:
		return w.knownIdle() + time.Duration(c.dice.IntN(2500))*time.Millisecond
	}
	return time.Duration(c.dice.IntN(20)) * time.Millisecond
}

// send writes the request, some times in parts.
func (c *conn) send(q *request, msg client.Request) (err error) {
	q.conn, q.since = c, c.since
	if c.dice.IntN(4) == 0 {
		msg.Body = strings.Repeat("x", c.dice.IntN(2)*c.dice.IntN(4000))
		q.parts = 2 + c.dice.IntN(2)
	}
	err = c.SendInParts(msg, q.parts, time.Duration(10+c.dice.IntN(60))*time.Millisecond)
	if err == nil {
		q.whole = time.Now()
	}
	return err
}

// ask sends one request by the newest key and waits for its answer, on the connection when there is one.
func (w *world) ask(r *router, c *conn, kind string) client.Answer {
	w.mu.Lock()
	key := w.key
	w.mu.Unlock()
	return w.askWith(r, c, kind, key)
}

func (w *world) askWith(r *router, c *conn, kind, key string) client.Answer {
	q := &request{id: fmt.Sprint("r", w.number.Add(1)), kind: kind, key: key, router: r, sent: time.Now(), parts: 1}
	q.since, q.boot = q.sent, r.life()
	msg := client.Request{Method: http.MethodPost, Host: host, Path: "/" + kind + "/" + q.id, ID: q.id, Key: key}
	if c == nil {
		q.answer = client.Ask(r.clients, msg)
	} else {
		err := c.send(q, msg)
		if err == nil {
			q.answer = c.Read(http.MethodPost)
		} else {
			q.answer.Err = err
		}
		c.since = time.Now()
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
	q := &request{id: fmt.Sprint("r", w.number.Add(1)), kind: "draft", key: key, router: r, sent: time.Now(), quit: true, parts: 1}
	q.since, q.boot = q.sent, r.life()
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
func (w *world) client(random *rand.Rand, h habit) {
	for {
		r := w.routers[random.IntN(len(w.routers))]
		c, err := r.dial(h, random)
		if err != nil {
			if w.over(20 * time.Millisecond) {
				return
			}
			continue
		}
		for n := 1 + random.IntN(30); n > 0 && c.Usable(); n-- {
			if w.over(w.idleFor(c)) {
				c.Close()
				return
			}
			if h != late && time.Since(c.since) > w.mayIdle()+slack {
				break
			}
			w.one(r, c, random)
		}
		c.Close()
	}
}

func (w *world) one(r *router, c *conn, random *rand.Rand) {
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
