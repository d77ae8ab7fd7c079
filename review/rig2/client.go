package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attempt is one attempt of a client. Its status is 0 if it got no answer.
type attempt struct {
	id      string
	router  string
	status  int
	signed  string
	body    string
	err     error
	retryIn time.Duration
}

// promised reports whether the status promises that the request has not run and never will.
func (a *attempt) promised() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// request is what a client wants done: a method and a path, within a time.
type request struct {
	method, path, body string
	deadline           time.Duration
	headers            map[string]string
}

// once makes one attempt on a channel of its own.
func (r *rig) once(x *router, q request, left time.Duration) (a *attempt) {
	r.mu.Lock()
	r.attempts++
	a = &attempt{id: fmt.Sprintf("9c41d07b%08x", r.attempts), router: x.name}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+x.client+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Savoryfall-Attempt-Id", a.id)
	req.Header.Set("X-Savoryfall-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range q.headers {
		req.Header.Set(name, value)
	}
	r.note("client sends %s %s %s to %s", a.id, q.method, q.path, x.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Savoryfall-Server-Signature")
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		a.retryIn = time.Duration(seconds * float64(time.Second))
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body = string(body)
	}
	a.err = err
	r.note("client gets %d for %s, signature %q, error %v", a.status, a.id, a.signed, err)
	return a
}

// unsafe makes a request that may run once for each attempt. It retries once, and only after a promise that it has not run.
func (r *rig) unsafe(x, other *router, q request) (attempts []*attempt) {
	until := time.Now().Add(q.deadline)
	a := r.once(x, q, q.deadline)
	attempts = append(attempts, a)
	left := time.Until(until)
	if !a.promised() || left < 50*time.Millisecond {
		return attempts
	}
	time.Sleep(min(a.retryIn, left/3))
	return append(attempts, r.once(other, q, time.Until(until)))
}
