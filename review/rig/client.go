package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// sent is one client attempt and its answer.
type sent struct {
	id, router string
	at         time.Time
	// status is 0 if the channel ended without a complete answer.
	status int
	// reused is set if the attempt went on a channel that had carried another one before.
	reused bool
	took   time.Duration
	err    error
}

// client keeps one channel to one router.
type client struct {
	router *router
	http   *http.Client
	used   bool
	// mu is held by who uses the client, where several may.
	mu sync.Mutex
}

func newClient(r *router) *client {
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return d.DialContext(ctx, "tcp4", r.clients) },
	}
	return &client{router: r, http: &http.Client{Transport: t}}
}

const host = "host.example"

// attempt sends a request and reads its answer.
func (c *client) attempt(method, path, key string, deadline time.Duration, body []byte) (s sent) {
	s = sent{id: fmt.Sprintf("%016x", rand.Uint64()), router: c.router.name, reused: c.used}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		s.err = err
		return s
	}
	req.GetBody = nil
	req.Header.Set("X-Savoryfall-Attempt-Id", s.id)
	req.Header.Set("X-Savoryfall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	s.at = time.Now()
	resp, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.took, s.err, c.used = time.Since(s.at), err, err == nil
	if err == nil {
		s.status = resp.StatusCode
	}
	return s
}
