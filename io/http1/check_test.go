package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	report      = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport"
	otherAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
)

// straying is an endpoint that writes an answer that belongs to no request to the first check on its first connection, before the
// report or after it.
type straying struct {
	first               string
	connections, checks atomic.Int64
	requested           []int64
}

func (s *straying) connect(context.Context, string) (net.Conn, error) {
	here, there := net.Pipe()
	number := s.connections.Add(1)
	go func() {
		r := newConn(there).r
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer := okLine + "Id: 1\r\nContent-Length: 0\r\n\r\n"
			switch {
			case req.URL.Path != "/check":
				s.requested = append(s.requested, number)
			case s.checks.Add(1) == 1:
				answer = s.first
			default:
				answer = report
			}
			_, err = io.WriteString(there, answer)
			if err != nil {
				return
			}
		}
	}()
	return here, nil
}

// Guards against a request that is sent to a process of which nothing is known, because an answer that belongs to no request was taken
// for the process's report.
func TestStrayAnswerIsNoReport(t *testing.T) {
	for name, s := range map[string]*straying{
		"before the report": {first: otherAnswer}, "with the report": {first: otherAnswer + report}, "after the report": {first: report + otherAnswer},
	} {
		p := NewPool(s.connect)
		ask := func(check *Check) error {
			r := requestFor("GET")
			r.Check = check
			resp, err := p.Do(context.Background(), r)
			if err == nil {
				_, err = resp.ReadAll(10, nil)
				resp.Close()
			}
			return err
		}
		assert.NilError(t, ask(nil), name)
		errOther := errors.New("another process")
		err := ask(&Check{Target: "/check", Accept: func(_ int, body []byte) error {
			if !strings.Contains(string(body), "report") {
				return ErrNotAnswered
			}
			return errOther
		}})
		assert.ErrorIs(t, err, errOther, name)
		assert.Equal(t, s.connections.Load(), int64(2), name)
		assert.DeepEqual(t, s.requested, []int64{1})
	}
}
