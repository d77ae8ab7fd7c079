package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Check asks the endpoint's process for something before it is sent a request. A connection belongs to one process, so that
// what it answers holds for the request, whatever runs at the address later.
type Check struct {
	// Target is the path of the check, a GET request.
	Target string
	// Accept returns an error if the request must not be sent, ErrNotAnswered if the answer does not answer the check.
	Accept func(status int, body []byte) error
}

// maxCheckBytes limits the body of the answer.
const maxCheckBytes = 64 << 10

// errCheckFailed is returned if the check was not answered, or the connection cannot be used after it.
var errCheckFailed = errors.New("the check before the request failed")

// ErrNotAnswered is the error of an answer that does not answer the check: it may belong to no request, or to another one.
var ErrNotAnswered = errors.New("what was received does not answer the check")

// make makes the check. On a connection that was used before, bytes that belong to no request may follow an earlier answer: the
// answer must be one to the check, and nothing may follow it.
func (k *Check) make(c *conn, host string) (err error) {
	status, body, err := k.ask(c, host)
	if err == nil && c.r.Buffered() > 0 {
		err = ErrNotAnswered
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errCheckFailed, err)
	}
	err = k.Accept(status, body)
	if !errors.Is(err, ErrNotAnswered) {
		return err
	}
	if c.reused {
		return fmt.Errorf("%w: %w", errCheckFailed, err)
	}
	return nil
}

func (k *Check) ask(c *conn, host string) (status int, body []byte, err error) {
	_, err = c.Write(encodeHead(Request{Method: http.MethodGet, Target: k.Target, Host: host, Header: http.Header{}}).Bytes())
	if err != nil {
		return 0, nil, err
	}
	h, err := c.readHead(http.MethodGet)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(newBody(h, c.r), maxCheckBytes+1))
	if err == nil && (h.closes || !h.framed() || len(body) > maxCheckBytes) {
		err = io.ErrUnexpectedEOF
	}
	return h.status, body, err
}
