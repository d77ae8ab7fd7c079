package endpoint_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/header"
	"savoryfall/core/outcome"
	"savoryfall/io/endpoint"
)

// flakyServer answers the first request on each connection and closes the connection on the second without a response,
// like a server whose idle timeout races with a new request. It counts the requests that it receives.
func flakyServer(t *testing.T) (address string, reached *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	reached = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerFirstRequest(c, reached)
		}
	}()
	return l.Addr().String(), reached
}

func answerFirstRequest(c net.Conn, reached *atomic.Int64) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		reached.Add(1)
		if n == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// A pooled connection fails during a POST that carries an Idempotency-Key and has no body. By itself, Go's transport
// sends such a request again on a new connection, and the endpoint runs it twice. The client hides the body from the
// transport to prevent this, and must return the outcome unknown.
func TestTransportNeverSendsTwice(t *testing.T) {
	address, reached := flakyServer(t)
	c := endpoint.New(nil)
	call := endpoint.Call{Address: address, Method: http.MethodPost, Path: "/issue", Header: http.Header{}}
	call.Header.Set(header.IdempotencyKey, "k1")
	resp, err := c.Do(t.Context(), call)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = c.Do(t.Context(), call)
	var f *endpoint.AttemptError
	assert.Assert(t, errors.As(err, &f))
	assert.Equal(t, f.Outcome, outcome.Unknown)
	assert.Equal(t, reached.Load(), int64(2))
}

// Shows the failure without the protection: the unmodified transport sends the second request again, without its
// user's knowledge.
func TestPlainTransportSendsTwice(t *testing.T) {
	address, reached := flakyServer(t)
	plain := &http.Transport{}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/issue", nil)
		assert.NilError(t, err)
		r.Header.Set(header.IdempotencyKey, "k1")
		resp, err := plain.RoundTrip(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, reached.Load(), int64(3))
}

// The outcome may be notRun only if the endpoint cannot have processed the request: its connection was refused, or the
// endpoint said so. An endpoint that breaks off after it received the request may have processed it, so the outcome is
// unknown.
func TestOutcomeOfFailedAttempts(t *testing.T) {
	breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer breaks.Close()
	refuses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Outcome, string(outcome.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refuses.Close()
	crosses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Attempt, "another")
	}))
	defer crosses.Close()
	refusesConnections := httptest.NewServer(http.NotFoundHandler())
	refusesConnections.Close()
	c := endpoint.New(nil)
	for _, test := range []struct {
		name, url string
		want      outcome.Outcome
	}{
		{"breaks off", breaks.URL, outcome.Unknown},
		{"refuses", refuses.URL, outcome.NotRun},
		{"answers another attempt", crosses.URL, outcome.Unknown},
		{"is not there", refusesConnections.URL, outcome.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := c.Do(t.Context(), endpoint.Call{
				Address: strings.TrimPrefix(test.url, "http://"), Method: http.MethodPost, Path: "/", Attempt: "mine",
				Body: strings.NewReader("x"), Length: 1,
			})
			var f *endpoint.AttemptError
			assert.Assert(t, errors.As(err, &f))
			assert.Equal(t, f.Outcome, test.want)
		})
	}
}
