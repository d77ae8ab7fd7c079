package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"savoryfall/platform/standin/testclient"
)

// request is one request of a client and its result.
type request struct {
	id, route, key string
	router         *router
	routerStart    int
	sent, ended    time.Time
	answer         testclient.Response
	// takesUp is the request whose stream this one takes up, nil for none, and resumes the one that brought the first event.
	takesUp, resumes *request
	// versionServes is set if two engines of the stream's version could take it when the request was sent.
	versionServes bool
	// abandon is set if the client disconnected before the answer was complete.
	abandon bool
	// conn is set if the connection can be reused, idleSince is when the connection became idle, and parts is the
	// number of writes that the request was split into.
	conn      *conn
	idleSince time.Time
	parts     int
	// fullySent is when the last byte was sent, or zero if sending failed.
	fullySent time.Time
}

// conn is a connection that a client uses for several requests in sequence.
type conn struct {
	*testclient.Conn
	idleBehavior idleBehavior
	random       *rand.Rand
	// idleSince is when the last answer was read, or when the connection was opened.
	idleSince time.Time
}

// idleBehavior determines how long a client leaves its connection idle between two requests.
type idleBehavior int

const (
	// idlesBriefly means a few milliseconds, idlesWithinLimit at most the idle limit, and idlesPastLimit longer than
	// the limit, so that the request may arrive while the router is closing the connection.
	idlesBriefly idleBehavior = iota
	idlesWithinLimit
	idlesPastLimit
)

// dial opens a client connection, and records the time if the router refuses it.
func (r *router) dial(idling idleBehavior, random *rand.Rand) (c *conn, err error) {
	raw, err := testclient.Dial(r.clientAddress)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refusedDials = append(r.refusedDials, time.Now())
	}
	return &conn{Conn: raw, idleBehavior: idling, random: random, idleSince: time.Now()}, err
}

// idleTime returns how long the client leaves the connection idle before its next request.
func (h *harness) idleTime(c *conn) (d time.Duration) {
	switch c.idleBehavior {
	case idlesWithinLimit:
		return h.safeIdleTime() - time.Duration(c.random.IntN(2)*c.random.IntN(1000))*time.Millisecond
	case idlesPastLimit:
		return h.knownIdleLimit() + time.Duration(c.random.IntN(2500))*time.Millisecond
	}
	return time.Duration(c.random.IntN(20)) * time.Millisecond
}

// send writes the request, sometimes in several parts.
func (c *conn) send(q *request, msg testclient.Request) (err error) {
	q.conn, q.idleSince = c, c.idleSince
	if c.random.IntN(4) == 0 {
		msg.Body = strings.Repeat("x", c.random.IntN(2)*c.random.IntN(4000))
		q.parts = 2 + c.random.IntN(2)
	}
	err = c.SendInParts(msg, q.parts, time.Duration(10+c.random.IntN(60))*time.Millisecond)
	if err == nil {
		q.fullySent = time.Now()
	}
	return err
}

// send sends one request with the newest key and waits for its answer; a nil connection means a new one.
func (h *harness) send(r *router, c *conn, route string) testclient.Response {
	return h.sendWithKey(r, c, route, h.newestKey())
}

func (h *harness) sendWithKey(r *router, c *conn, route, key string) testclient.Response {
	return h.sendRequest(c, &request{route: route, key: key, router: r}).answer
}

// sendRequest sends a request whose route, key and router are set, and waits for its answer.
func (h *harness) sendRequest(c *conn, q *request) *request {
	msg := h.prepare(q)
	if c == nil {
		q.answer = testclient.Send(q.router.clientAddress, msg)
	} else {
		err := c.send(q, msg)
		if err == nil {
			q.answer = c.Read(http.MethodPost)
		} else {
			q.answer.Err = err
		}
		c.idleSince = time.Now()
	}
	q.ended = time.Now()
	h.recordRequest(q)
	return q
}

// prepare returns the message of a request that is about to be sent.
func (h *harness) prepare(q *request) (msg testclient.Request) {
	q.id, q.sent, q.parts = fmt.Sprint("r", h.nextID.Add(1)), time.Now(), 1
	q.idleSince, q.routerStart = q.sent, q.router.startCount()
	msg = testclient.Request{Method: http.MethodPost, Host: host, Path: "/" + q.route + "/" + q.id, ID: q.id, Key: q.key}
	if q.takesUp != nil {
		msg.LastEventID, msg.Resumes = fmt.Sprint(q.takesUp.lastEvent()), q.resumes.id
	}
	return msg
}

// abandon sends a streaming request and disconnects before the answer can be complete.
func (h *harness) abandon(r *router) {
	c, err := testclient.Dial(r.clientAddress)
	if err != nil {
		return
	}
	q := &request{route: "draft", key: h.newestKey(), router: r, abandon: true}
	_ = c.Send(h.prepare(q))
	<-time.After(2 * eventInterval)
	c.Close()
	q.ended = time.Now()
	h.recordRequest(q)
}

func (h *harness) recordRequest(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, q)
}

// runClient opens connections one after the other and sends many requests on each until it ends, even while its router
// is stopping.
func (h *harness) runClient(random *rand.Rand, idling idleBehavior, send func(r *router, c *conn, random *rand.Rand)) {
	for {
		r := h.routers[random.IntN(len(h.routers))]
		c, err := r.dial(idling, random)
		if err != nil {
			if h.doneWithin(20 * time.Millisecond) {
				return
			}
			continue
		}
		for remaining := 1 + random.IntN(30); remaining > 0 && c.Reusable(); remaining-- {
			if h.doneWithin(h.idleTime(c)) {
				c.Close()
				return
			}
			if idling != idlesPastLimit && time.Since(c.idleSince) > h.safeIdleTime()+latencySlack {
				break
			}
			send(r, c, random)
		}
		c.Close()
	}
}

func (h *harness) sendRandomRequest(r *router, c *conn, random *rand.Rand) {
	routes := []string{"read", "book", "draft", "talk"}
	switch random.IntN(12) {
	case 0:
		h.abandon(r)
	case 3, 4:
		h.stream("talkon", maxTakeUps, r, c, random)
	case 1, 2:
		h.mu.Lock()
		old := fmt.Sprint("key", random.IntN(h.version+1))
		h.mu.Unlock()
		h.sendWithKey(r, c, routes[random.IntN(len(routes))], old)
	default:
		h.send(r, c, routes[random.IntN(len(routes))])
	}
}

// doneWithin waits for d, and returns true if the run ends within that time.
func (h *harness) doneWithin(d time.Duration) bool {
	select {
	case <-h.done:
		return true
	case <-time.After(d):
		return false
	}
}
